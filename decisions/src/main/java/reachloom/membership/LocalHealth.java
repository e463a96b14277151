package reachloom.membership;

/**
 * How well this instance itself does, as its own probes show: Lifeguard's local health multiplier.
 * One that was starved or stalled gives others more time before it blames them. It harms where the
 * network is bad and the instance well: real failures are found later, by a factor of nine at most.
 */
final class LocalHealth {
  private static final int MOST = 8; // Lifeguard's bound

  private int score;

  /** Something that an instance in good health would not have seen. */
  void worsen(int by) {
    score = Math.min(MOST, score + by);
  }

  /** A probe went as it should. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  /** A time, stretched. */
  long stretch(long time) {
    return time * (score + 1);
  }

  int score() {
    return score;
  }
}
