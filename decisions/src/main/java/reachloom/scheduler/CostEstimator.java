package reachloom.scheduler;

import java.util.List;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.QueryClass;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Estimates service time, work and memory of a query. For service time and memory the client's
 * estimates are corrected by what queries of the same class turned out to need; for work they are
 * used as they are. Without an estimate the average of the class counts. Work is the processor time
 * of all threads of a query.
 */
final class CostEstimator {
  /** Minimum weight of the newest query in the averages of its class. */
  private static final double NEWEST_WEIGHT = 0.02;

  /**
   * Work of a class without any known cost, as a share of its deadline; high, so that {@link
   * SlowStart} sends too little work rather than too much.
   */
  private static final double UNKNOWN_WORK_DEADLINE_SHARE = 0.25;

  /** Factor from expected to reserved memory: running out costs more than spare memory. */
  private static final double RESERVATION_MARGIN = 1.2;

  /** Priority weight per work, relative to the mean, above which queries take precedence. */
  private static final double HIGH_VALUE_DENSITY = 1.5;

  private static final double MIN_WORK_SECONDS = 1e-9;
  private static final double MILLISECONDS_PER_SECOND = 1e3;

  private final List<QueryClassStatistics> classes;
  private final double meanPriorityWeight;
  private final boolean reservesMemory;
  private final LatencyRatios ratios;

  /** Creates an estimator without any observations. */
  CostEstimator(SchedulerSettings settings, LatencyRatios ratios) {
    this.classes = settings.classes().stream().map(QueryClassStatistics::new).toList();
    this.meanPriorityWeight =
        settings.classes().stream().mapToDouble(QueryClass::priorityWeight).average().orElse(0);
    this.reservesMemory = settings.capabilities().memoryGrants();
    this.ratios = ratios;
  }

  // ---- Estimates ----

  /** Service time on an engine of latency ratio 1, in seconds. */
  double nominalSeconds(QueryRecord query) {
    return seconds(query, 1);
  }

  /** Service time on an average engine, in seconds. */
  double averageSeconds(QueryRecord query) {
    return seconds(query, ratios.mean());
  }

  /** Service time on the given engine, in seconds. */
  double secondsOn(QueryRecord query, EngineRecord engine) {
    return seconds(query, ratios.of(engine));
  }

  /** Service time on the given engine or an average one, whichever is slower, in seconds. */
  double secondsOnSlower(QueryRecord query, EngineRecord engine) {
    return seconds(query, Math.max(ratios.of(engine), ratios.mean()));
  }

  private double seconds(QueryRecord query, double ratio) {
    QueryClassStatistics c = statistics(query);
    long cost = query.query.estimatedCostNanos();
    return (cost > 0
            ? Nanoseconds.toSeconds(cost) * c.secondsPerWorkSecond
            : c.serviceSeconds.value())
        * ratio;
  }

  /** Work of a query in seconds: the client's estimate, else the average of its class. */
  double workSeconds(QueryRecord query) {
    long cost = query.query.estimatedCostNanos();
    return cost > 0 ? Nanoseconds.toSeconds(cost) : averageWorkSeconds(query);
  }

  /** Average work of the query's class, in seconds. */
  double averageWorkSeconds(QueryRecord query) {
    QueryClassStatistics c = statistics(query);
    return c.workSeconds.count() > 0
        ? c.workSeconds.value()
        : Nanoseconds.toSeconds(c.queryClass.deadlineNanos()) * UNKNOWN_WORK_DEADLINE_SHARE;
  }

  /** Work of an attempt that has ended, in seconds: as the engine reported, else as estimated. */
  double workSeconds(QueryRecord query, AttemptResult result) {
    return result.costMs() > 0 ? result.costMs() / MILLISECONDS_PER_SECOND : workSeconds(query);
  }

  /** Mean of the average work of all classes, in seconds; 0 without classes. */
  double meanWorkSeconds() {
    return classes.stream().mapToDouble(c -> c.workSeconds.value()).average().orElse(0);
  }

  /** Memory that the query needs, in MB, with a margin where engines support reservations. */
  double memoryMb(QueryRecord query) {
    QueryClassStatistics c = statistics(query);
    double estimateMb = query.query.estimatedMemoryMb();
    double need = estimateMb > 0 ? estimateMb * c.memoryFactor.value() : c.memoryMb.value();
    return reservesMemory ? need * RESERVATION_MARGIN : need;
  }

  /** Memory to reserve for the query, in MB; 0 leaves it to the engine. */
  double reservationMb(QueryRecord query) {
    return reservesMemory && statistics(query).memoryMb.count() > 0 ? memoryMb(query) : 0;
  }

  /** The latency objective of the query's class for the given work, in seconds. */
  double objectiveSeconds(QueryRecord query, double workSeconds) {
    QueryClass c = query.queryClass;
    return Nanoseconds.toSeconds(c.latencyObjectiveNanos())
        + c.latencyObjectiveStretch() * workSeconds / c.threads();
  }

  // ---- Value ----

  /** Whether the priority weight per work of the query's class is clearly above the mean. */
  boolean hasHighValueDensity(QueryRecord query) {
    double meanWork = meanWorkSeconds();
    QueryClassStatistics c = statistics(query);
    return c.workSeconds.value() > 0
        && c.queryClass.priorityWeight() / c.workSeconds.value()
            > HIGH_VALUE_DENSITY * meanPriorityWeight / Math.max(meanWork, MIN_WORK_SECONDS);
  }

  /** Whether the priority weight of the query's class is below the mean of all classes. */
  boolean isBelowMeanWeight(QueryRecord query) {
    return query.queryClass.priorityWeight() < meanPriorityWeight;
  }

  // ---- Observations ----

  /** Takes the estimate that came with a query into account. */
  void onQuery(QueryRecord query) {
    if (query.query.estimatedCostNanos() <= 0) {
      return;
    }
    QueryClassStatistics c = statistics(query);
    c.workSeconds.add(Nanoseconds.toSeconds(query.query.estimatedCostNanos()), NEWEST_WEIGHT);
    if (c.servedWorkSeconds.count() == 0) { // initially service time is the latency objective
      c.secondsPerWorkSecond =
          Nanoseconds.toSeconds(c.queryClass.latencyObjectiveNanos()) / c.workSeconds.value();
    }
  }

  /** Takes a served attempt into account, for its class and for the latency ratio of its engine. */
  void onServed(AttemptRecord attempt, AttemptResult result) {
    QueryRecord query = attempt.query;
    QueryClassStatistics c = statistics(query);
    double takenSeconds = Nanoseconds.toSeconds(result.elapsedNanos());
    if (result.costMs() > 0 && query.query.estimatedCostNanos() <= 0) {
      c.workSeconds.add(result.costMs() / MILLISECONDS_PER_SECOND, NEWEST_WEIGHT);
    }
    if (result.memoryMb() > 0) {
      double estimateMb = query.query.estimatedMemoryMb();
      c.memoryMb.add(result.memoryMb(), NEWEST_WEIGHT);
      c.memoryFactor.add(estimateMb > 0 ? result.memoryMb() / estimateMb : 1, NEWEST_WEIGHT);
    }
    c.serviceSeconds.add(takenSeconds / ratios.of(attempt.engine), NEWEST_WEIGHT);
    c.servedWorkSeconds.add(workSeconds(query), NEWEST_WEIGHT);
    c.secondsPerWorkSecond = c.serviceSeconds.value() / c.servedWorkSeconds.value();
    ratios.onAnswer(attempt.engine, takenSeconds, attempt.predictedSeconds);
  }

  private QueryClassStatistics statistics(QueryRecord query) {
    return classes.get(query.query.queryClass());
  }
}
