package reachloom.discovery;

/**
 * Puts the starts of engines, which the change log tells as Unix times, on this process's own
 * clock. The two may be apart by any amount, since the wall clock of this machine may have been
 * wrong when the process started. No engine starts in the future, and one whose start is told as a
 * change has started lately: a start outside of that moves the difference, so that the engine
 * counts as one that has just started.
 *
 * <p>Harms where a change is told later than {@link #LATEST_TOLD}: the engine is taken for cold for
 * longer than it is. Can't help where a whole list at the start of this process is all that tells
 * of an engine and the wall clock was ahead.
 */
public final class IncarnationTimes {
  /**
   * Nanoseconds; longer than the change log is usually away, and shorter than wrong clocks are
   * wrong.
   */
  private static final long LATEST_TOLD = 20_000_000_000L;

  /** This process's time less that of the starts told, in nanoseconds. */
  private long difference;

  /**
   * When an engine started, on this process's clock, in nanoseconds.
   *
   * @param now the present time of this process
   * @param started the start as it is told, in Unix nanoseconds
   * @param asChange whether it is told as a change, and not within a whole list
   */
  public long ownTime(long now, long started, boolean asChange) {
    long own = started + difference;
    if (own > now || asChange && own < now - LATEST_TOLD) {
      difference = now - started;
      return now;
    }
    return own;
  }
}
