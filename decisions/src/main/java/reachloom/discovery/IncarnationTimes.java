package reachloom.discovery;

/**
 * Converts the start times of engines, which the change log has as Unix times, to the clock of this
 * process. The two clocks may differ by any amount, since the wall clock of this machine may have
 * been wrong when the process started. No engine starts in the future, and an engine whose start is
 * an incremental event has started recently; a start time outside of these bounds corrects the
 * offset, so that the engine counts as just started.
 *
 * <p>Limits: if an event arrives later than {@link #MAX_EVENT_DELAY_NANOS}, the engine counts as
 * warming up for too long. The offset is not corrected if an engine is only in the complete list at
 * the start of this process and the wall clock was ahead.
 */
public final class IncarnationTimes {
  /**
   * How late an incremental event may arrive; longer than usual outages of the change log, and
   * shorter than usual errors of clocks.
   */
  private static final long MAX_EVENT_DELAY_NANOS = 20_000_000_000L;

  /** The time of this process minus that of the change log. */
  private long clockOffsetNanos;

  /**
   * Converts the start of an engine to nanoseconds of the clock of this process.
   *
   * @param nowNanos the current time of this process
   * @param startedUnixNanos the start according to the change log
   * @param isIncremental whether the engine was in an incremental event and not in a complete list
   */
  public long toLocalNanos(long nowNanos, long startedUnixNanos, boolean isIncremental) {
    long startedNanos = startedUnixNanos + clockOffsetNanos;
    if (startedNanos > nowNanos
        || isIncremental && startedNanos < nowNanos - MAX_EVENT_DELAY_NANOS) {
      clockOffsetNanos = nowNanos - startedUnixNanos;
      return nowNanos;
    }
    return startedNanos;
  }
}
