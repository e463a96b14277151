package reachloom.scheduler;

import java.util.Optional;

/**
 * Decides on queued queries: a query is forwarded when an engine has capacity, and rejected when it
 * can no longer finish in time or has waited for capacity long enough.
 */
final class ReleasePolicy {
  /**
   * Ticks of the scheduler by which a query is rejected early, since the next tick may be after its
   * deadline.
   */
  private static final int DEADLINE_MARGIN_TICKS = 2;

  private final PendingQueue pending;
  private final KeyOrdering keyOrdering;
  private final HealthCheckScheduler healthChecks;
  private final EngineSelector selector;
  private final RetryPolicy retryPolicy;

  /** Creates a policy for the queries of the given queue. */
  ReleasePolicy(
      PendingQueue pending,
      KeyOrdering keyOrdering,
      HealthCheckScheduler healthChecks,
      EngineSelector selector,
      RetryPolicy retryPolicy) {
    this.pending = pending;
    this.keyOrdering = keyOrdering;
    this.healthChecks = healthChecks;
    this.selector = selector;
    this.retryPolicy = retryPolicy;
  }

  /**
   * Decides on a queued query.
   *
   * @param isBlocked whether an older query waits for capacity
   */
  SchedulingDecision decide(long nowNanos, QueryRecord query, boolean isBlocked) {
    boolean mayRun = keyOrdering.mayRun(nowNanos, query);
    if (!mayRun) { // waiting for the key is not waiting for capacity
      pending.restartQueueTime(nowNanos, query);
    }
    boolean isIndependent = isIndependent(query);
    boolean isLate = isLate(nowNanos, query, mayRun);
    if (!isLate && waitsForReports(nowNanos, query, mayRun)) {
      return SchedulingDecision.QUEUE;
    }
    Optional<EngineRecord> engine =
        !isLate && mayRun && (!isBlocked || isIndependent)
            ? selector.select(nowNanos, query)
            : Optional.empty();
    if (engine.isPresent()
        && (query.attempts().isEmpty() || retryPolicy.allowsAttempt(nowNanos, query))) {
      return SchedulingDecision.forward(engine.get());
    }
    if (isLate || mayRun && nowNanos >= query.queuedUntilNanos()) {
      return SchedulingDecision.REJECT;
    }
    return mayRun && !isIndependent ? SchedulingDecision.QUEUE_IN_ORDER : SchedulingDecision.QUEUE;
  }

  private boolean isLate(long nowNanos, QueryRecord query, boolean mayRun) {
    double neededSeconds = keyOrdering.secondsToFinish(query, mayRun);
    long margin = DEADLINE_MARGIN_TICKS * TickClock.INTERVAL_NANOS;
    return nowNanos + Nanoseconds.fromSeconds(neededSeconds) + margin > query.deadlineNanos;
  }

  /** Whether the query goes on waiting for load reports, or requests others now. */
  private boolean waitsForReports(long nowNanos, QueryRecord query, boolean mayRun) {
    return healthChecks.awaitsReports(nowNanos, query)
        || mayRun
            && nowNanos < query.queuedUntilNanos()
            && !query.reportRequest.isEmpty()
            && healthChecks.requestReports(nowNanos, query);
  }

  /**
   * Whether older queries do not block the query. Queries bound to a kind or zone do not wait for
   * the same engines as the others; queries with a report request waited for the reports and not
   * for capacity.
   */
  private static boolean isIndependent(QueryRecord query) {
    return !query.reportRequest.isEmpty()
        || !query.queryClass.engineKinds().isEmpty()
        || !query.queryClass.zones().isEmpty();
  }
}
