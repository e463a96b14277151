package reachloom.scheduler;

import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.ProgressReport;

/**
 * Migrates queries that would finish sooner on another engine: attempts that wait for a bulk load,
 * and attempts whose progress is far behind the prediction, as with a bad query plan. The attempt
 * is cancelled; the event of its end then leads to a retry.
 */
final class AttemptMigration {
  /** Extrapolated over predicted time from which the query plan counts as bad. */
  private static final double BAD_PLAN_FACTOR = 4;

  /** Remaining over predicted time from which a new attempt is worth its start. */
  private static final double MIN_GAIN_FACTOR = 2;

  private final CostEstimator estimator;
  private final RetryPolicy retryPolicy;
  private final EngineCandidates candidates;
  private final EngineEligibility eligibility;
  private final AttemptCanceller canceller;

  /** Creates a migration policy with the given collaborators. */
  AttemptMigration(
      CostEstimator estimator,
      RetryPolicy retryPolicy,
      EngineCandidates candidates,
      EngineEligibility eligibility,
      AttemptCanceller canceller) {
    this.estimator = estimator;
    this.retryPolicy = retryPolicy;
    this.candidates = candidates;
    this.eligibility = eligibility;
    this.canceller = canceller;
  }

  /** Handles progress of an attempt; {@link AttemptMonitor} has recorded it before. */
  void onProgress(long nowNanos, AttemptRecord attempt, ProgressReport progress) {
    boolean shouldMigrate =
        switch (progress.kind()) {
          case LOAD_WAIT -> true; // it has done no work yet, and a load takes long
          case PROGRESS ->
              attempt.query.queryClass.idempotency() == Idempotency.IDEMPOTENT
                  && hasBadPlan(nowNanos, attempt);
          case SPILL, MEMORY_WAIT, OTHER -> false;
        };
    if (shouldMigrate && canMigrate(nowNanos, attempt)) {
      canceller.cancel(attempt);
    }
  }

  /**
   * Whether the completed share is far behind the prediction for this engine, and a new attempt is
   * worth its start and can end before the deadline. The engine's latency ratio is part of the
   * prediction, so that a slow engine does not look like a bad plan.
   */
  private boolean hasBadPlan(long nowNanos, AttemptRecord attempt) {
    QueryRecord query = attempt.query;
    double share = attempt.signals.completedShare();
    if (share <= 0
        || share >= 1
        || attempt.predictedSeconds <= 0
        || query.query.estimatedCostNanos() <= 0) {
      return false;
    }
    double spent = Nanoseconds.toSeconds(nowNanos - attempt.forwardedAtNanos);
    double expected = spent / share;
    double usual = estimator.secondsOnSlower(query, attempt.engine);
    return expected > BAD_PLAN_FACTOR * usual
        && expected - spent > MIN_GAIN_FACTOR * usual
        && nowNanos + Nanoseconds.fromSeconds(usual) < query.deadlineNanos;
  }

  /** Whether another engine can take the query now and the retry rules allow it. */
  private boolean canMigrate(long nowNanos, AttemptRecord attempt) {
    QueryRecord query = attempt.query;
    return retryPolicy.allowsAttempt(nowNanos, query)
        && candidates.find(nowNanos, query).stream()
            .anyMatch(
                e -> e != attempt.engine && eligibility.isFreeOfBulkLoads(nowNanos, query, e));
  }
}
