package reachloom.scheduler;

import java.util.List;

/**
 * Decides which engines may get a query: by placement, health, retry rules and slow start, and then
 * by capacity. New rules of this kind belong here.
 */
final class EngineEligibility {
  private final RetryPolicy retryPolicy;
  private final OutlierDetector outliers;
  private final SlowStart slowStart;
  private final BulkLoadTracker bulkLoads;
  private final ConcurrencyLimiter limiter;

  /** Creates a filter that combines the rules of the given parts. */
  EngineEligibility(
      RetryPolicy retryPolicy,
      OutlierDetector outliers,
      SlowStart slowStart,
      BulkLoadTracker bulkLoads,
      ConcurrencyLimiter limiter) {
    this.retryPolicy = retryPolicy;
    this.outliers = outliers;
    this.slowStart = slowStart;
    this.bulkLoads = bulkLoads;
    this.limiter = limiter;
  }

  /**
   * Whether an engine is listed as up, and placement, health, retry rules and slow start allow the
   * query on it.
   */
  boolean isEligible(long nowNanos, QueryRecord query, EngineRecord engine) {
    return engine.isListedUp()
        && outliers.allows(nowNanos, engine)
        && isPlacementAllowed(query, engine)
        && retryPolicy.isSafeOn(nowNanos, query, engine)
        && slowStart.allows(nowNanos, query, engine);
  }

  private static boolean isPlacementAllowed(QueryRecord query, EngineRecord engine) {
    List<Integer> kinds = query.queryClass.engineKinds();
    List<Integer> zones = query.queryClass.zones();
    return (kinds.isEmpty() || kinds.contains(engine.endpoint().kind()))
        && (zones.isEmpty() || zones.contains(engine.endpoint().zone()));
  }

  /**
   * Whether an engine is eligible and has capacity. It has none for a query that bulk loads would
   * block there.
   */
  boolean hasCapacity(long nowNanos, QueryRecord query, EngineRecord engine) {
    return isEligible(nowNanos, query, engine)
        && bulkLoads.allows(nowNanos, query, engine)
        && limiter.fits(nowNanos, query, engine);
  }

  /** Whether no bulk load blocks the query on an engine. */
  boolean isFreeOfBulkLoads(long nowNanos, QueryRecord query, EngineRecord engine) {
    return bulkLoads.loadsAhead(nowNanos, query, engine) == 0;
  }
}
