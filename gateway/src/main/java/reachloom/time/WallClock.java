package reachloom.time;

import java.time.Instant;

/**
 * The machine's wall clock. It may be stepped forward or back by any amount, so it is used only for
 * the time of day and never to measure durations. No other class reads the wall clock; {@code
 * docs/architecture.md} lists the uses of this one.
 */
public final class WallClock {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private WallClock() {}

  /** Returns the current time. */
  public static Instant instant() {
    return Instant.now();
  }

  /** Returns the current Unix time in nanoseconds. */
  public static long unixNanos() {
    Instant now = instant();
    return now.getEpochSecond() * NANOS_PER_SECOND + now.getNano();
  }

  /** Returns the current Unix time in milliseconds. */
  public static long unixMillis() {
    return instant().toEpochMilli();
  }
}
