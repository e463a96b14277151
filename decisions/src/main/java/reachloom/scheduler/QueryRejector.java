package reachloom.scheduler;

import reachloom.scheduler.api.SchedulerActions;

/** Sends the final answer of a query that is not served. */
final class QueryRejector {
  /** No Retry-After. */
  private static final long NO_RETRY_AFTER = 0;

  private final SchedulerActions actions;
  private final QueryTable queries;
  private final OutlierDetector outliers;
  private final RetryPolicy retryPolicy;
  private final WaitPredictor waitPredictor;

  /** Creates a rejector that derives Retry-After from the given predictor. */
  QueryRejector(
      SchedulerActions actions,
      QueryTable queries,
      OutlierDetector outliers,
      RetryPolicy retryPolicy,
      WaitPredictor waitPredictor) {
    this.actions = actions;
    this.queries = queries;
    this.outliers = outliers;
    this.retryPolicy = retryPolicy;
    this.waitPredictor = waitPredictor;
  }

  /**
   * Rejects a query that is not queued any more if it is safe for the client to send it again; else
   * the query fails.
   */
  void reject(long nowNanos, QueryRecord query) {
    query.finish();
    outliers.onUnserved(nowNanos, query);
    if (retryPolicy.mayReject(query)) {
      long retryAfterNanos =
          retryPolicy.sendsRetryAfter() ? retryAfterNanos(nowNanos, query) : NO_RETRY_AFTER;
      actions.reject(query.query.id(), retryAfterNanos);
    } else {
      actions.fail(query.query.id());
    }
    queries.removeIfDone(nowNanos, query);
  }

  /** The predicted wait, rounded up to whole seconds, at least one. */
  private long retryAfterNanos(long nowNanos, QueryRecord query) {
    double seconds = Math.max(1, Math.ceil(waitPredictor.waitSeconds(nowNanos, query)));
    return (long) seconds * (long) Nanoseconds.PER_SECOND;
  }
}
