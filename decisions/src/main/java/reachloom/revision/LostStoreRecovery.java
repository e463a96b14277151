package reachloom.revision;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * How an issuer that has lost its store finds out from which number on it may vote again: it asks
 * the others what they know. Answers count only once no message from before the loss can be on its
 * way any more. See {@link Acceptor} for why this is safe.
 */
final class LostStoreRecovery {
  private static final long SECOND = 1_000_000_000; // nanoseconds

  /** No message is older than that: gossip rejects those of 30 s and more. */
  private static final long MAX_MESSAGE_AGE_NANOS = 60 * SECOND;

  private static final long QUERY_INTERVAL_NANOS = 5 * SECOND;

  private final int quorum;
  private final long startedAtNanos;
  private final Map<String, Long> knownNumbers = new TreeMap<>();
  private long nextQueryNanos;

  /**
   * Begins at the start of the process.
   *
   * @param quorum how many of the others have to answer
   */
  LostStoreRecovery(int quorum, long startedAtNanos) {
    this.quorum = quorum;
    this.startedAtNanos = startedAtNanos;
  }

  /** Another issuer tells the newest number that it knows. */
  void onKnownNumber(long nowNanos, String issuer, long number) {
    if (nowNanos - startedAtNanos >= MAX_MESSAGE_AGE_NANOS) {
      knownNumbers.put(issuer, number);
    }
  }

  /**
   * What a majority of the others knows at most. Of all majorities that which knows least is taken:
   * one that tells too much cannot shorten the abstention of others.
   */
  OptionalLong knownToMajority() {
    return knownNumbers.size() < quorum
        ? OptionalLong.empty()
        : knownNumbers.values().stream().sorted().skip(quorum - 1L).mapToLong(n -> n).findFirst();
  }

  /** Whether the others have to be asked again; then the next query is due an interval later. */
  boolean isQueryDue(long nowNanos) {
    if (nowNanos < nextQueryNanos) {
      return false;
    }
    nextQueryNanos = nowNanos + QUERY_INTERVAL_NANOS;
    return true;
  }
}
