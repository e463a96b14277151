package reachloom.membership;

/**
 * How well this node itself does, as its own pings show: Lifeguard's local health multiplier
 * (section IV-A). A node that was starved or paused gives others more time before it accuses them.
 * The cost: where the network is bad and the node healthy, failures are detected later, by a factor
 * of nine at most.
 */
final class LocalHealth {
  private static final int MAX_SCORE = 8; // Lifeguard's bound

  private int score;

  /** Something happened that a healthy node would not have seen. */
  void worsen(int by) {
    score = Math.min(MAX_SCORE, score + by);
  }

  /** A ping was acknowledged in time. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  /** A span of time, stretched by the score. */
  long stretch(long nanos) {
    return nanos * (score + 1);
  }

  /** 0 is healthy, {@link #MAX_SCORE} the worst. */
  int score() {
    return score;
  }
}
