package reachloom.scheduler;

import static reachloom.scheduler.Nanoseconds.PER_MILLISECOND;

/**
 * The periodic tick of the scheduler. A late tick shows that the gateway itself has stalled:
 * timeouts must not count that time, and load reports read right after it may be old.
 */
final class TickClock {
  /** Between two ticks. */
  static final long INTERVAL_NANOS = 25 * PER_MILLISECOND;

  /** Time since the last tick above which the gateway has stalled. */
  private static final long STALL_THRESHOLD_NANOS = 2 * INTERVAL_NANOS;

  private long lastTickNanos;
  private long stalledUntilNanos;

  /** Creates a clock that starts now. */
  TickClock(long nowNanos) {
    lastTickNanos = nowNanos;
  }

  /** Records a tick. */
  void tick(long nowNanos) {
    lastTickNanos = nowNanos;
  }

  /**
   * The time by which a stall that ends now exceeds the threshold, in nanoseconds, or 0; each stall
   * is returned once.
   */
  long takeStall(long nowNanos) {
    long stall = nowNanos - lastTickNanos - STALL_THRESHOLD_NANOS;
    if (stall <= 0) {
      return 0;
    }
    stalledUntilNanos = nowNanos;
    lastTickNanos = nowNanos;
    return stall;
  }

  /** The end of the latest stall; 0 if there was none. */
  long stalledUntilNanos() {
    return stalledUntilNanos;
  }
}
