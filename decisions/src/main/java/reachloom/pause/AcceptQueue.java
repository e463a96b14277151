package reachloom.pause;

/**
 * Tracks since when the connections of an accept queue may have been waiting in it. The operating
 * system does not tell when a connection was established, but the queue is known to be empty at
 * times, and its length is bounded.
 *
 * <p>Confined to the thread that accepts. All times are nanoseconds on the monotonic clock of the
 * process.
 */
public final class AcceptQueue {
  private final int capacity;

  /** Every connection of the queue has been established after this time. */
  private long establishedAfterNanos;

  /** When counting accepted connections began. */
  private long countedFromNanos;

  private int accepted;

  /**
   * Creates a tracker of a queue that is empty now.
   *
   * @param capacity the most connections that may wait in the queue
   */
  public AcceptQueue(int capacity, long nowNanos) {
    this.capacity = capacity;
    empty(nowNanos);
  }

  /** Records that no connection waited at the given time. */
  public void empty(long nowNanos) {
    establishedAfterNanos = nowNanos;
    countedFromNanos = nowNanos;
    accepted = 0;
  }

  /**
   * Records that the thread waited for a connection, on an empty queue.
   *
   * @param beganAtNanos when the thread began to wait
   * @param returnedAtNanos when it went on
   */
  public void waited(long beganAtNanos, long returnedAtNanos) {
    empty(Math.max(beganAtNanos, returnedAtNanos - PauseDetector.MAX_WAKE_UP_DELAY_NANOS));
  }

  /**
   * Records that a connection was accepted. Once more connections have been accepted than the queue
   * holds, all that waited when counting began are among them.
   */
  public void accepted(long nowNanos) {
    accepted++;
    if (accepted > capacity) {
      establishedAfterNanos = countedFromNanos;
      countedFromNanos = nowNanos;
      accepted = 0;
    }
  }

  /** Returns a time after which each connection that waits now has been established. */
  public long establishedAfterNanos() {
    return establishedAfterNanos;
  }
}
