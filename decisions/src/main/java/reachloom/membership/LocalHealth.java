package reachloom.membership;

/**
 * This node's own health, derived from its pings: Lifeguard's local health multiplier (section
 * IV-A). A node that was paused or short of CPU gives other members more time before it accuses
 * them. The cost: if the network is bad and the node healthy, failures are detected later, by a
 * factor of nine at most.
 */
final class LocalHealth {
  private static final int MAX_SCORE = 8; // Lifeguard's bound

  private int score;

  /** Raises the score after an event that a healthy node would not have seen. */
  void worsen(int amount) {
    score = Math.min(MAX_SCORE, score + amount);
  }

  /** Lowers the score after a ping that was acknowledged in time. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  /** Returns a timeout, multiplied according to the score. */
  long stretch(long nanos) {
    return nanos * (score + 1);
  }

  /** Returns the score, from 0 (healthy) to {@link #MAX_SCORE}. */
  int score() {
    return score;
  }
}
