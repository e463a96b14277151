package reachloom.scheduler;

import java.util.List;

/**
 * The ratio of actual to predicted latency of each engine, as a moving average over its answers.
 * Ratios are relative: all of them may be below 1 or above it, since predictions follow the
 * answers. Therefore an engine without answers counts as an average one; with a fixed ratio of 1 it
 * would stay unused as long as the ratios of all others are below that.
 */
final class LatencyRatios implements EngineListener {
  /** Weight of the newest answer. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Limits the effect of several answers that are much faster than predicted. */
  private static final double MIN_RATIO = 0.25;

  /** Limits the effect of a single slow answer. */
  private static final double MAX_RATIO = 20;

  private static final double MIN_PREDICTED_SECONDS = 1e-3;

  /** The latency ratio of one engine; private to {@link LatencyRatios}. */
  static final class EngineLatency {
    private boolean hasAnswered;

    /** Undefined before the first answer. */
    private double ratio;
  }

  /** Sum over the engines that are up and have answered. */
  private double ratioSum;

  private int answeredCount;

  private int upCount;

  @Override
  public void onListUpdated(List<EngineRecord> up) {
    ratioSum = 0;
    answeredCount = 0;
    upCount = up.size();
    for (EngineRecord engine : up) {
      if (engine.latency.hasAnswered) {
        ratioSum += engine.latency.ratio;
        answeredCount++;
      }
    }
  }

  /** The mean over the engines that are up; 1 if there is none. */
  double mean() {
    return upCount == 0 ? 1 : (ratioSum + (upCount - answeredCount) * unknown()) / upCount;
  }

  /** The ratio of an engine; an estimate if it has not answered yet. */
  double of(EngineRecord engine) {
    return engine.latency.hasAnswered ? engine.latency.ratio : unknown();
  }

  /** Whether an engine has answered. */
  boolean hasAnswered(EngineRecord engine) {
    return engine.latency.hasAnswered;
  }

  /**
   * The ratio of an engine without answers: the mean of the others, but at most 1, since an engine
   * that has just come back need not be as slow as those that carried its load meanwhile.
   */
  private double unknown() {
    return answeredCount == 0 ? 1 : Math.min(1, ratioSum / answeredCount);
  }

  /**
   * Records an answer of an engine.
   *
   * @param takenSeconds the actual latency
   * @param predictedSeconds the latency that was predicted for an engine of ratio 1
   */
  void onAnswer(EngineRecord engine, double takenSeconds, double predictedSeconds) {
    double before = of(engine);
    double newest = takenSeconds / Math.max(predictedSeconds, MIN_PREDICTED_SECONDS);
    double after =
        Math.max(MIN_RATIO, Math.min(MAX_RATIO, before + NEWEST_WEIGHT * (newest - before)));
    if (engine.isUp()) {
      ratioSum += engine.latency.hasAnswered ? after - before : after;
      answeredCount += engine.latency.hasAnswered ? 0 : 1;
    }
    engine.latency.hasAnswered = true;
    engine.latency.ratio = after;
  }
}
