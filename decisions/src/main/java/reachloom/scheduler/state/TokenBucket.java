package reachloom.scheduler.state;

/** A token bucket: tokens are added at a constant rate up to a limit, and taken one by one. */
public final class TokenBucket {
  private final double perSecond;
  private final double capacity;
  private double tokens;
  private long filledAtNanos;
  private boolean filled;

  /**
   * Creates a full bucket.
   *
   * @param perSecond the rate; 0 means that there is no limit
   * @param minCapacity the capacity, unless the tokens of one second are more
   */
  public TokenBucket(double perSecond, double minCapacity) {
    this.perSecond = perSecond;
    this.capacity = Math.max(minCapacity, perSecond);
  }

  /** Takes a token at the given time; false if there is none. */
  public boolean take(long nowNanos) {
    if (perSecond <= 0) {
      return true;
    }
    tokens =
        filled
            ? Math.min(capacity, tokens + perSecond * (nowNanos - filledAtNanos) / 1e9)
            : capacity;
    filled = true;
    filledAtNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
