package reachloom.revision;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Peers that are asked for nothing for a while, as they did not answer, did not prove what they
 * claim, or sent invalid data. Bounded. Times are nanoseconds of the clock handed in; confined to
 * the thread of {@link RevisionDissemination}.
 */
final class PeerBackoff {
  /** Why a peer is backed off. */
  enum Misbehaviour {
    /** It did not answer; a packet may have been lost, or it is overloaded. */
    UNRESPONSIVE,
    /** It did not prove a revision that it claims to know; its backoff doubles. */
    UNPROVEN_CLAIM,
    /** It sent invalid data; its backoff doubles, and its revisions and chunks are ignored. */
    INVALID_DATA
  }

  private static final class Backoff {
    private long untilNanos;
    private int doublings;
    private long claimedNumber;
    private boolean sentInvalidData;
  }

  private static final int MAX_BACKED_OFF = 256;

  /** After the first offence: an honest peer may just have had a packet lost. */
  private static final long FIRST_BACKOFF_NANOS = 2_000_000_000;

  /** Doublings of the backoff at most: 512 s. */
  private static final int MAX_DOUBLINGS = 8;

  private final TreeMap<String, Backoff> backoffs = new TreeMap<>(); // by name of the peer

  /**
   * Backs a peer off: it is asked for nothing for a while.
   *
   * @param claimedNumber the revision that it did not prove; 0 for none
   */
  void penalize(long nowNanos, String name, Misbehaviour reason, long claimedNumber) {
    Backoff backoff = backoffs.get(name);
    if (backoff == null) {
      if (backoffs.size() >= MAX_BACKED_OFF) {
        dropShortest();
      }
      backoff = new Backoff();
      backoffs.put(name, backoff);
    }
    long pauseNanos = FIRST_BACKOFF_NANOS << Math.min(backoff.doublings, MAX_DOUBLINGS);
    backoff.untilNanos = Math.max(backoff.untilNanos, nowNanos + pauseNanos);
    backoff.doublings += reason == Misbehaviour.UNRESPONSIVE ? 0 : 1;
    backoff.sentInvalidData |= reason == Misbehaviour.INVALID_DATA;
    backoff.claimedNumber = Math.max(backoff.claimedNumber, claimedNumber);
  }

  private void dropShortest() {
    Comparator<Map.Entry<String, Backoff>> byEnd =
        Comparator.comparingLong(e -> e.getValue().untilNanos);
    backoffs.remove(Collections.min(backoffs.entrySet(), byEnd).getKey());
  }

  /**
   * A peer has sent what belongs to that revision, if late: its backoff ends, unless it has sent
   * invalid data or claims a newer revision.
   */
  void forgive(String name, long number) {
    Backoff backoff = backoffs.get(name);
    if (backoff != null && !backoff.sentInvalidData && number >= backoff.claimedNumber) {
      backoffs.remove(name);
    }
  }

  boolean isBackedOff(long nowNanos, String name) {
    Backoff backoff = backoffs.get(name);
    return backoff != null && nowNanos < backoff.untilNanos;
  }

  /** Whether a peer is backed off for invalid data; what it sends is ignored then. */
  boolean isDistrusted(long nowNanos, String name) {
    return isBackedOff(nowNanos, name) && backoffs.get(name).sentInvalidData;
  }

  /** Moves all ends of backoffs: time in which this process stood still does not count. */
  void shift(long byNanos) {
    backoffs.values().forEach(b -> b.untilNanos += byNanos);
  }

  /** The peers that are backed off, for the status lines. */
  List<String> statusLines(long nowNanos) {
    return backoffs.entrySet().stream()
        .filter(e -> nowNanos < e.getValue().untilNanos)
        .map(
            e ->
                "rested: "
                    + e.getKey()
                    + (e.getValue().sentInvalidData ? " (told what is not so)" : ""))
        .toList();
  }
}
