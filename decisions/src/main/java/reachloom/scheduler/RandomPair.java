package reachloom.scheduler;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the two engines of which the less loaded one is then chosen (power of two random choices,
 * Mitzenmacher).
 */
final class RandomPair {
  private static final int PAIR = 2;

  private final SplittableRandom random;
  private final SlowStart slowStart;

  /** Creates an instance with the given source of random numbers. */
  RandomPair(SplittableRandom random, SlowStart slowStart) {
    this.random = random;
    this.slowStart = slowStart;
  }

  /**
   * Draws two engines, or returns all if there are no more than two. If any engine is warming up,
   * one such engine is drawn, since few gateways may use it and not for long.
   */
  List<EngineRecord> draw(long nowNanos, List<EngineRecord> engines) {
    if (engines.size() <= PAIR) {
      return engines;
    }
    List<EngineRecord> warmingUp = slowStart.warmingUp(nowNanos, engines);
    int first =
        warmingUp.isEmpty()
            ? random.nextInt(engines.size())
            : engines.indexOf(warmingUp.get(random.nextInt(warmingUp.size())));
    int second = random.nextInt(engines.size() - 1);
    return List.of(engines.get(first), engines.get(second < first ? second : second + 1));
  }
}
