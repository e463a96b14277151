package reachloom.time;

import java.util.function.LongSupplier;

/**
 * The clock of a process: Unix time in nanoseconds as the wall clock told it when the process
 * started, and the real time that has passed since. It never goes back, and steps of the wall clock
 * don't move it, so that spans can be measured on it. Where the wall clock was wrong at the start,
 * it is off by as much from other machines' time for as long as the process lives.
 */
public final class MonotonicClock {
  private static final long MIN_STEP =
      100_000_000; // nanoseconds; less is the time between two readings

  /** One for the whole process, so that times of different clocks in it can be compared. */
  private static final long PROCESS_ORIGIN = WallClock.unixNanos() - System.nanoTime();

  private final LongSupplier elapsed;
  private final LongSupplier wall;
  private final long origin;
  private long lastOffset;

  /** A clock that agrees with all others of this process. */
  public MonotonicClock() {
    this(System::nanoTime, WallClock::unixNanos, PROCESS_ORIGIN);
  }

  /**
   * A clock on other sources: one that only runs on, and one that may be stepped, in nanoseconds.
   */
  MonotonicClock(LongSupplier elapsed, LongSupplier wall) {
    this(elapsed, wall, wall.getAsLong() - elapsed.getAsLong());
  }

  private MonotonicClock(LongSupplier elapsed, LongSupplier wall, long origin) {
    this.elapsed = elapsed;
    this.wall = wall;
    this.origin = origin;
  }

  /** The present time in nanoseconds; from any thread. */
  public long now() {
    return origin + elapsed.getAsLong();
  }

  /**
   * By how much the wall clock was stepped since this was last asked, in nanoseconds; 0 for not.
   */
  public synchronized long wallClockStep() {
    long offset = wall.getAsLong() - now();
    long step = offset - lastOffset;
    if (Math.abs(step) < MIN_STEP) {
      return 0;
    }
    lastOffset = offset;
    return step;
  }
}
