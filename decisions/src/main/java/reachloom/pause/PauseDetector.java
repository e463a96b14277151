package reachloom.pause;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects spans in which the process did not run, because it was suspended or had no processor,
 * from the times at which its threads report that they run. What arrived in such a span is noticed
 * only after it, so that it has been waiting since the span began at the longest.
 *
 * <p>Thread-safe. All times are nanoseconds on the monotonic clock of the process.
 */
public final class PauseDetector {
  /** A process that runs reports at least this often. */
  public static final long REPORT_INTERVAL_NANOS = 25_000_000;

  /**
   * A longer time between two reports is a pause. What has arrived is noticed within this time if
   * there was none.
   */
  public static final long MIN_PAUSE_NANOS = 2 * REPORT_INTERVAL_NANOS;

  /** A thread that waits for an event goes on at most this long after it, if the process runs. */
  public static final long MAX_WAKE_UP_DELAY_NANOS = 250_000_000;

  /** The pauses that are remembered; what is noticed late has waited for few of them. */
  private static final int MAX_PAUSES = 8;

  /**
   * A span in which the process did not run, or somewhat less.
   *
   * @param beganAtNanos the last report before the pause
   * @param endedAtNanos the first report after the pause
   */
  private record Pause(long beganAtNanos, long endedAtNanos) {}

  /** The latest pauses, oldest first. */
  private final Deque<Pause> pauses = new ArrayDeque<>();

  private boolean hasReported;
  private long lastReportNanos;

  /** Reports that the process runs. Times that are earlier than a previous one are ignored. */
  public synchronized void report(long nowNanos) {
    if (hasReported && nowNanos - lastReportNanos > MIN_PAUSE_NANOS) {
      pauses.addLast(new Pause(lastReportNanos, nowNanos));
      if (pauses.size() > MAX_PAUSES) {
        pauses.removeFirst();
      }
    }
    lastReportNanos = hasReported ? Math.max(lastReportNanos, nowNanos) : nowNanos;
    hasReported = true;
  }

  /**
   * Returns the earliest time at which an event that is noticed now may have arrived: the start of
   * the first pause since it had not, otherwise now.
   *
   * @param arrivedAfterNanos a time at which the event had not arrived. Times up to {@link
   *     #MIN_PAUSE_NANOS} after the end of a pause count as before it, since they may have been
   *     taken after the process had looked for the event.
   */
  public synchronized long earliestArrival(long arrivedAfterNanos, long nowNanos) {
    report(nowNanos);
    for (Pause pause : pauses) {
      if (pause.endedAtNanos() + MIN_PAUSE_NANOS > arrivedAfterNanos) {
        return Math.min(pause.beganAtNanos(), nowNanos);
      }
    }
    return nowNanos;
  }
}
