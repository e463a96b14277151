package reachloom.scheduler;

/** Conversions between nanoseconds, the unit of all times of the scheduler, and seconds. */
final class Nanoseconds {
  /** Nanoseconds in a second, as a divisor. */
  static final double PER_SECOND = 1e9;

  /** Nanoseconds in a millisecond. */
  static final long PER_MILLISECOND = 1_000_000;

  private Nanoseconds() {}

  /** The given time in seconds. */
  static double toSeconds(long nanos) {
    return nanos / PER_SECOND;
  }

  /** The given time in whole nanoseconds, rounded towards zero. */
  static long fromSeconds(double seconds) {
    return (long) (seconds * PER_SECOND);
  }
}
