package reachloom.lab.scale;

/**
 * Time stamps that the processes of a run on one machine exchange. They are read from the machine's
 * monotonic clock, which all of its processes share, so that a step of the wall clock does not
 * affect the measurements.
 */
final class MachineTime {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private MachineTime() {}

  /** Returns the milliseconds since an origin that all processes of this machine share. */
  static long millis() {
    return System.nanoTime() / NANOS_PER_MILLISECOND;
  }
}
