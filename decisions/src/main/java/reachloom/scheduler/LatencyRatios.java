package reachloom.scheduler;

import java.util.Collection;

/**
 * How long each engine takes for its queries against what was predicted, as a moving average of its
 * answers. Ratios only compare: all of them may lie below 1 or above it, since the predictions
 * follow the answers. So an engine that has answered nothing yet counts as an average one. If it
 * counted as 1 instead, it would stay the worse of two, and unused, for as long as the others lie
 * below that.
 */
final class LatencyRatios {
  private static final double WEIGHT = 0.2; // of the newest answer, given by the design
  private static final double LEAST = 0.25; // one odd answer must not make an engine look free
  private static final double MOST = 20; // ... nor close it for good
  private static final double MIN_PREDICTED = 1e-3; // seconds

  /** Of the engines that are up and have answered: the sum of their ratios, and their number. */
  private double sum;

  private int count;

  /** How many engines are up. */
  private int up;

  /** The engines that are up from now on. */
  public void up(Collection<EngineRecord> engines) {
    sum = 0;
    count = 0;
    up = engines.size();
    for (EngineRecord engine : engines) {
      if (engine.hasAnswered) {
        sum += engine.latencyRatio;
        count++;
      }
    }
  }

  /** The mean over the engines that are up; 1 where there is none. */
  public double mean() {
    return up == 0 ? 1 : (sum + (up - count) * unknown()) / up;
  }

  /** The ratio of an engine. */
  public double of(EngineRecord engine) {
    return engine.hasAnswered ? engine.latencyRatio : unknown();
  }

  /**
   * The ratio of one that has answered nothing: the mean of those that have, and 1 at most, since
   * an engine that has just come back need not be as slow as those that bore its load meanwhile.
   */
  private double unknown() {
    return count == 0 ? 1 : Math.min(1, sum / count);
  }

  /**
   * An engine has answered.
   *
   * @param isUp whether it is among those that {@link #up} was told of
   * @param taken seconds that the query took
   * @param predicted seconds that it was predicted to take on an engine of ratio 1
   */
  public void answered(EngineRecord engine, boolean isUp, double taken, double predicted) {
    double before = of(engine);
    double newest = taken / Math.max(predicted, MIN_PREDICTED);
    double after = Math.max(LEAST, Math.min(MOST, before + WEIGHT * (newest - before)));
    if (isUp) {
      sum += engine.hasAnswered ? after - before : after;
      count += engine.hasAnswered ? 0 : 1;
    }
    engine.hasAnswered = true;
    engine.latencyRatio = after;
  }
}
