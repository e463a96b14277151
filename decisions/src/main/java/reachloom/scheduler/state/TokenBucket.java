package reachloom.scheduler.state;

/** Tokens that fill at a steady rate up to a limit. */
public final class TokenBucket {
  private final double perSecond;
  private final double most;
  private double left;
  private long filledAt;
  private boolean filled;

  /**
   * A bucket of that rate which holds what a second brings, or the given least; rate 0 sets no
   * limit.
   */
  public TokenBucket(double perSecond, double least) {
    this.perSecond = perSecond;
    this.most = Math.max(least, perSecond);
  }

  /** Takes a token; false where there is none. */
  public boolean take(long now) {
    if (perSecond <= 0) {
      return true;
    }
    left = filled ? Math.min(most, left + perSecond * (now - filledAt) / 1e9) : most;
    filled = true;
    filledAt = now;
    if (left < 1) {
      return false;
    }
    left--;
    return true;
  }
}
