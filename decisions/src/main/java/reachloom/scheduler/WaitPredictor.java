package reachloom.scheduler;

/**
 * Predicts how long a query that does not fit would wait: the queued work divided by the total
 * limit of its eligible engines, plus the time that the other queries of its key still need.
 */
final class WaitPredictor {
  private final PendingQueue pending;
  private final KeyOrdering keyOrdering;
  private final EngineRegistry engines;
  private final EngineEligibility eligibility;
  private final ConcurrencyLimiter limiter;

  /** Creates a predictor for the given queue. */
  WaitPredictor(
      PendingQueue pending,
      KeyOrdering keyOrdering,
      EngineRegistry engines,
      EngineEligibility eligibility,
      ConcurrencyLimiter limiter) {
    this.pending = pending;
    this.keyOrdering = keyOrdering;
    this.engines = engines;
    this.eligibility = eligibility;
    this.limiter = limiter;
  }

  /** The predicted wait of a query that does not fit, in seconds. */
  double waitSeconds(long nowNanos, QueryRecord query) {
    double work = pending.workSeconds(nowNanos);
    double wait = work <= 0 ? 0 : work / limitThreads(nowNanos, query, Double.MAX_VALUE);
    return wait + keyOrdering.waitSeconds(query);
  }

  /** Whether the predicted wait of a query that does not fit exceeds the given time. */
  boolean isLongerThan(long nowNanos, QueryRecord query, double seconds) {
    double left = seconds - keyOrdering.waitSeconds(query);
    double work = pending.workSeconds(nowNanos);
    if (left < 0 || work <= 0) {
      return left < 0;
    }
    // With this total limit the wait is not longer, so that the other engines need not be visited.
    double enough = left > 0 ? work / left : Double.MAX_VALUE;
    return work / limitThreads(nowNanos, query, enough) > left;
  }

  /** The total limit of the engines eligible for the query, summed up until it is enough. */
  private double limitThreads(long nowNanos, QueryRecord query, double enough) {
    double threads = 0;
    for (EngineRecord engine : engines.all()) {
      if (eligibility.isEligible(nowNanos, query, engine)) {
        threads += limiter.limitThreads(engine);
      }
      if (threads >= enough) {
        break;
      }
    }
    return Math.max(limiter.withinPool(nowNanos, threads), query.queryClass.threads());
  }
}
