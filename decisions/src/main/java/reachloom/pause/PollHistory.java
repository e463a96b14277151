package reachloom.pause;

/**
 * Tracks when a thread that waits for events last found none, so that an event that its latest wait
 * returned has arrived after that.
 *
 * <p>Confined to that thread. All times are nanoseconds on the monotonic clock of the process.
 */
public final class PollHistory {
  /** When the latest wait had found no event: any event of the next one has arrived after that. */
  private long foundNoneNanos;

  private long arrivedAfterNanos;

  /** Creates a history of a thread that finds no event now. */
  public PollHistory(long nowNanos) {
    foundNoneNanos = nowNanos;
    arrivedAfterNanos = nowNanos;
  }

  /**
   * Records a wait. An event that comes while the thread waits ends the wait soon; one that comes
   * while the thread handles earlier events is found by the next wait at once. So is one that comes
   * while the process does not run: the interrupted wait may return without it, and the thread may
   * go on a while after others have reported that the process runs. Hence the time of the return
   * does not bound the arrival.
   *
   * @param beganAtNanos when the thread began to wait
   * @param returnedAtNanos when it went on
   */
  public void waited(long beganAtNanos, long returnedAtNanos) {
    long delayedSinceNanos = returnedAtNanos - PauseDetector.MAX_WAKE_UP_DELAY_NANOS;
    arrivedAfterNanos = delayedSinceNanos > beganAtNanos ? delayedSinceNanos : foundNoneNanos;
    foundNoneNanos = Math.max(beganAtNanos, delayedSinceNanos);
  }

  /** Returns a time after which the events that the latest wait returned have arrived. */
  public long arrivedAfterNanos() {
    return arrivedAfterNanos;
  }
}
