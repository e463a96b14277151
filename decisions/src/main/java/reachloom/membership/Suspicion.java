package reachloom.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The time that a suspected member has to refute the accusation. It starts long, and each further
 * independent accuser shortens it, down to a minimum that is enough for a refutation to get round
 * (Lifeguard, section IV-B).
 */
final class Suspicion {
  // Periods for each decade of members; the last pings that follow make up for memberlist's fourth.
  private static final double MIN_TIMEOUT_PERIODS = 3;
  private static final double MAX_TIMEOUT_FACTOR = 6; // the longest timeout in shortest ones
  private static final int CONFIRMATIONS = 2; // further accusers that shorten it to the minimum

  private final Set<String> accusers = new LinkedHashSet<>();
  private final long minTimeoutNanos;
  private long startedAtNanos;
  private int lastPings;
  private long lastPingDeadlineNanos;

  Suspicion(long nowNanos, long periodNanos, int clusterSize, String accuser) {
    startedAtNanos = nowNanos;
    double decades = Math.max(1, Math.log10(Math.max(1, clusterSize)));
    minTimeoutNanos = (long) (MIN_TIMEOUT_PERIODS * decades * periodNanos);
    accusers.add(accuser);
  }

  /** Takes one more accuser; true where it is a new one that counts, and is to be passed on. */
  boolean confirm(String accuser) {
    return accusers.size() <= CONFIRMATIONS && accusers.add(accuser);
  }

  /** Moves the start of the timeout: a pause of this process does not count against the member. */
  void extend(long nanos) {
    startedAtNanos += nanos;
  }

  /** When the member's time is up. */
  long deadlineNanos() {
    double confirmed = Math.log(accusers.size()) / Math.log(CONFIRMATIONS + 1);
    double factor = MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1) * confirmed;
    return Math.max(startedAtNanos + (long) (minTimeoutNanos * factor), lastPingDeadlineNanos);
  }

  /** The member has been pinged once more, and has until then to acknowledge. */
  void onLastPing(long deadlineNanos) {
    lastPings++;
    lastPingDeadlineNanos = deadlineNanos;
  }

  /** How often the member was pinged after its time was up. */
  int lastPings() {
    return lastPings;
  }

  long minTimeoutNanos() {
    return minTimeoutNanos;
  }
}
