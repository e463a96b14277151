package reachloom.pause;

/**
 * Tracks when a thread that waits for events last found none, so that an event that its latest wait
 * returned has arrived after that.
 *
 * <p>Confined to that thread. All times are nanoseconds on the monotonic clock of the process.
 */
public final class PollHistory {
  private long lastReturnNanos;
  private long arrivedAfterNanos;

  /** Creates a history of a thread that finds no event now. */
  public PollHistory(long nowNanos) {
    lastReturnNanos = nowNanos;
    arrivedAfterNanos = nowNanos;
  }

  /**
   * Records a wait. An event that comes while the thread waits ends the wait soon; one that comes
   * while the thread handles earlier events is found by the next wait at once.
   *
   * @param beganAtNanos when the thread began to wait
   * @param returnedAtNanos when it went on
   */
  public void waited(long beganAtNanos, long returnedAtNanos) {
    long waitedNanos = returnedAtNanos - beganAtNanos;
    arrivedAfterNanos =
        waitedNanos > PauseDetector.MAX_WAKE_UP_DELAY_NANOS
            ? returnedAtNanos - PauseDetector.MAX_WAKE_UP_DELAY_NANOS
            : lastReturnNanos;
    lastReturnNanos = returnedAtNanos;
  }

  /** Returns a time after which the events that the latest wait returned have arrived. */
  public long arrivedAfterNanos() {
    return arrivedAfterNanos;
  }
}
