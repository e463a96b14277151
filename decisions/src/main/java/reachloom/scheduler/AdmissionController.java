package reachloom.scheduler;

import java.util.Optional;

/**
 * Admission control at arrival: a query that fits is forwarded immediately, unless it is queued to
 * wait for load reports. Of the others, a query whose predicted wait plus own service time exceeds
 * its deadline is rejected (load shedding), as is one over its tenant's quota that need not wait
 * for its key; the rest are queued.
 */
final class AdmissionController {
  /** Ticks of the scheduler that a query needs beyond its service time to wait for load reports. */
  private static final int REPORT_MARGIN_TICKS = 2;

  private final KeyOrdering keyOrdering;
  private final CostEstimator estimator;
  private final HealthCheckScheduler healthChecks;
  private final EngineSelector selector;
  private final WaitPredictor waitPredictor;

  /** Creates a controller with the given collaborators. */
  AdmissionController(
      KeyOrdering keyOrdering,
      CostEstimator estimator,
      HealthCheckScheduler healthChecks,
      EngineSelector selector,
      WaitPredictor waitPredictor) {
    this.keyOrdering = keyOrdering;
    this.estimator = estimator;
    this.healthChecks = healthChecks;
    this.selector = selector;
    this.waitPredictor = waitPredictor;
  }

  /** Decides on a query that has just arrived. */
  SchedulingDecision decide(long nowNanos, QueryRecord query) {
    long remainingNanos = query.deadlineNanos - nowNanos;
    double remainingSeconds = Nanoseconds.toSeconds(remainingNanos);
    boolean mayRun = keyOrdering.mayRun(nowNanos, query);
    if (mayRun
        && canWaitForReports(remainingNanos, query)
        && healthChecks.requestReports(nowNanos, query)) {
      return SchedulingDecision.QUEUE;
    }
    Optional<EngineRecord> engine = mayRun ? selector.select(nowNanos, query) : Optional.empty();
    if (engine.isPresent() && remainingSeconds >= estimator.secondsOn(query, engine.get())) {
      return SchedulingDecision.forward(engine.get());
    }
    double spareSeconds = remainingSeconds - estimator.averageSeconds(query);
    boolean shed =
        waitPredictor.isLongerThan(nowNanos, query, spareSeconds) || mayRun && query.isOverQuota();
    return shed ? SchedulingDecision.REJECT : SchedulingDecision.QUEUE;
  }

  private boolean canWaitForReports(long remainingNanos, QueryRecord query) {
    long margin = REPORT_MARGIN_TICKS * TickClock.INTERVAL_NANOS;
    return Nanoseconds.toSeconds(remainingNanos - margin) > estimator.averageSeconds(query);
  }
}
