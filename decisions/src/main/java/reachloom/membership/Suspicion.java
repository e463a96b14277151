package reachloom.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The timeout within which a suspected member must refute the accusation. It starts at its maximum,
 * and each further independent accuser shortens it, down to a minimum that is enough for a
 * refutation to spread through the cluster (Lifeguard, section IV-B).
 */
final class Suspicion {
  // HashiCorp's memberlist uses 4 periods per power of ten of the cluster size; here the final
  // pings replace the fourth.
  private static final double MIN_TIMEOUT_PERIODS_PER_DECADE = 3;
  private static final double MAX_TIMEOUT_FACTOR = 6; // maximum timeout / minimum timeout
  private static final int CONFIRMATIONS = 2; // further accusers that reduce it to the minimum

  private final Set<String> accusers = new LinkedHashSet<>();
  private final long minTimeoutNanos;
  private long startedAtNanos;
  private int finalPings;
  private long finalPingDeadlineNanos;

  Suspicion(long nowNanos, long periodNanos, int clusterSize, String accuser) {
    startedAtNanos = nowNanos;
    double decades = Math.max(1, Math.log10(Math.max(1, clusterSize)));
    minTimeoutNanos = (long) (MIN_TIMEOUT_PERIODS_PER_DECADE * decades * periodNanos);
    accusers.add(accuser);
  }

  /**
   * Adds an accuser; returns true if it is new and counts, so that the accusation is disseminated.
   */
  boolean confirm(String accuser) {
    return accusers.size() <= CONFIRMATIONS && accusers.add(accuser);
  }

  /** Postpones the timeout: a pause of this process does not count against the member. */
  void extend(long nanos) {
    startedAtNanos += nanos;
  }

  /** Returns when the member's time to refute expires. */
  long deadlineNanos() {
    double confirmed = Math.log(accusers.size()) / Math.log(CONFIRMATIONS + 1);
    double factor = MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1) * confirmed;
    return Math.max(startedAtNanos + (long) (minTimeoutNanos * factor), finalPingDeadlineNanos);
  }

  /**
   * Records a final ping, which the member must answer with a higher incarnation before the
   * deadline.
   */
  void onFinalPing(long deadlineNanos) {
    finalPings++;
    finalPingDeadlineNanos = deadlineNanos;
  }

  /** Returns how often the member was pinged after its timeout had expired. */
  int finalPings() {
    return finalPings;
  }

  long minTimeoutNanos() {
    return minTimeoutNanos;
  }
}
