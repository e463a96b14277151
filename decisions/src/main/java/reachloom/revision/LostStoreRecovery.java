package reachloom.revision;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Determines the number from which an issuer that has lost its store may vote again, by querying
 * the other issuers for their newest known numbers. Answers count only once no message from before
 * the loss can still be in transit. {@link Acceptor} explains why this is safe.
 */
final class LostStoreRecovery {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /**
   * Upper bound for the age of a message. Gossip rejects a stated time that is more than 30 s from
   * the receiver's; a message passes for 60 s if the sender's clock is 30 s ahead.
   */
  private static final long MAX_MESSAGE_AGE_NANOS = 60 * NANOS_PER_SECOND;

  private static final long QUERY_INTERVAL_NANOS = 5 * NANOS_PER_SECOND;

  private final int quorum;
  private final long startedAtNanos;
  private final Map<String, Long> knownNumbers = new TreeMap<>();
  private long nextQueryNanos;

  /**
   * Starts the recovery at the start of the process.
   *
   * @param quorum number of other issuers that must answer
   */
  LostStoreRecovery(int quorum, long startedAtNanos) {
    this.quorum = quorum;
    this.startedAtNanos = startedAtNanos;
  }

  /** Records the newest number that another issuer reports to know. */
  void onKnownNumber(long nowNanos, String issuer, long number) {
    if (nowNanos - startedAtNanos >= MAX_MESSAGE_AGE_NANOS) {
      knownNumbers.put(issuer, number);
    }
  }

  /**
   * Returns the highest number among the lowest answers that make a quorum; empty until a quorum
   * has answered. Any quorum gives a safe bound. If more issuers than a quorum have answered, the
   * lowest answers are used, so that an issuer that reports too high a number does not prolong the
   * abstention.
   */
  OptionalLong maxOfLowestQuorum() {
    return knownNumbers.size() < quorum
        ? OptionalLong.empty()
        : knownNumbers.values().stream().sorted().skip(quorum - 1L).mapToLong(n -> n).findFirst();
  }

  /** Returns whether a query is due, and if so, schedules the next one. */
  boolean isQueryDue(long nowNanos) {
    if (nowNanos < nextQueryNanos) {
      return false;
    }
    nextQueryNanos = nowNanos + QUERY_INTERVAL_NANOS;
    return true;
  }
}
