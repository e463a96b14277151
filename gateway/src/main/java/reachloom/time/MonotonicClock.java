package reachloom.time;

import java.util.function.LongSupplier;

/**
 * The monotonic clock of a process: the Unix time of the wall clock at the start of the process, in
 * nanoseconds, plus the real time elapsed since. It never goes back and ignores steps of the wall
 * clock, so that durations can be measured with it. If the wall clock was wrong at the start, this
 * clock differs from that of other machines by the same amount until the process ends.
 */
public final class MonotonicClock {
  /** Smaller differences are the time between the readings of the two clocks. */
  private static final long MIN_STEP_NANOS = 100_000_000;

  /** Common to all clocks of the process, so that their times can be compared. */
  private static final long PROCESS_ORIGIN_NANOS = WallClock.unixNanos() - System.nanoTime();

  private final LongSupplier elapsedNanos;
  private final LongSupplier wallNanos;
  private final long originNanos;
  private long lastOffsetNanos;

  /** Creates a clock with the same time as all others of this process. */
  public MonotonicClock() {
    this(System::nanoTime, WallClock::unixNanos, PROCESS_ORIGIN_NANOS);
  }

  /**
   * Creates a clock with other time sources, both in nanoseconds.
   *
   * @param elapsedNanos a source that never goes back
   * @param wallNanos a source that may be stepped
   */
  MonotonicClock(LongSupplier elapsedNanos, LongSupplier wallNanos) {
    this(elapsedNanos, wallNanos, wallNanos.getAsLong() - elapsedNanos.getAsLong());
  }

  private MonotonicClock(LongSupplier elapsedNanos, LongSupplier wallNanos, long originNanos) {
    this.elapsedNanos = elapsedNanos;
    this.wallNanos = wallNanos;
    this.originNanos = originNanos;
  }

  /** Returns the current time in nanoseconds; may be called from any thread. */
  public long now() {
    return originNanos + elapsedNanos.getAsLong();
  }

  /**
   * Returns by how much the wall clock was stepped since the last call, in nanoseconds; 0 if it was
   * not.
   */
  public synchronized long wallClockStep() {
    long offsetNanos = wallNanos.getAsLong() - now();
    long stepNanos = offsetNanos - lastOffsetNanos;
    if (Math.abs(stepNanos) < MIN_STEP_NANOS) {
      return 0;
    }
    lastOffsetNanos = offsetNanos;
    return stepNanos;
  }
}
