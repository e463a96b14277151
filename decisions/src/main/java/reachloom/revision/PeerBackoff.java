package reachloom.revision;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Backoff of peers that did not answer, did not prove a claimed revision, or sent invalid data: no
 * requests are sent to them. It doubles with each unproven claim and with invalid data, not with a
 * missing answer. Bounded. Times are nanoseconds of the clock that the caller passes in; confined
 * to the thread of {@link RevisionDissemination}.
 */
final class PeerBackoff {
  /** Why a peer is backed off. */
  enum Misbehaviour {
    /** It did not answer: a packet may have been lost, or the peer is overloaded. */
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

  /** First backoff; short, since an honest peer may just have lost a packet. */
  private static final long FIRST_BACKOFF_NANOS = 2_000_000_000;

  /** Maximum number of doublings, for a backoff of 512 s. */
  private static final int MAX_DOUBLINGS = 8;

  private final TreeMap<String, Backoff> backoffs = new TreeMap<>(); // by name of the peer

  /**
   * Starts or extends the backoff of a peer, during which no requests are sent to it.
   *
   * @param claimedNumber the revision that it did not prove; 0 for none
   */
  void penalize(long nowNanos, String name, Misbehaviour reason, long claimedNumber) {
    Backoff backoff = backoffs.get(name);
    if (backoff == null) {
      if (backoffs.size() >= MAX_BACKED_OFF) {
        evictEarliest();
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

  private void evictEarliest() {
    Comparator<Map.Entry<String, Backoff>> byEnd =
        Comparator.comparingLong(e -> e.getValue().untilNanos);
    backoffs.remove(Collections.min(backoffs.entrySet(), byEnd).getKey());
  }

  /**
   * Ends the backoff of a peer that has sent data of that revision, even late, unless the peer has
   * sent invalid data or claims a newer revision.
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

  /** Returns whether a peer is backed off for invalid data; its notices and chunks are ignored. */
  boolean isDistrusted(long nowNanos, String name) {
    return isBackedOff(nowNanos, name) && backoffs.get(name).sentInvalidData;
  }

  /** Moves the ends of all backoffs: the time of a process pause does not count. */
  void shift(long byNanos) {
    backoffs.values().forEach(b -> b.untilNanos += byNanos);
  }

  /** Returns a status line for each peer that is backed off, in the status protocol. */
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
