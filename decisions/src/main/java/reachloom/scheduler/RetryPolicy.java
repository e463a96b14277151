package reachloom.scheduler;

import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.DeduplicationScope;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Decides whether and where a query may be retried. An idempotent query may always be retried; a
 * query with an idempotency key only on engines that detect duplicates of the first execution, and
 * only while they remember the key; any other query only if no attempt may have run.
 */
final class RetryPolicy {
  /** Safety margin at the end of an idempotency key's window, in ticks of the platform's clock. */
  private static final int KEY_WINDOW_MARGIN_CLOCK_TICKS = 2;

  /** The first attempt of a query that may have run; private to {@link RetryPolicy}. */
  static final class FirstExecution {
    /** Null while no attempt may have run. */
    private EngineRecord engine;

    private long forwardedAtNanos;
  }

  private final RetryBudget budget;
  private final CostEstimator estimator;
  private final EngineRegistry engines;
  private final int maxAttempts;
  private final long keyWindowMarginNanos;
  private final boolean sendsRetryAfter;

  /** Creates a policy within the given budget. */
  RetryPolicy(
      SchedulerSettings settings,
      RetryBudget budget,
      CostEstimator estimator,
      EngineRegistry engines) {
    this.budget = budget;
    this.estimator = estimator;
    this.engines = engines;
    this.maxAttempts = settings.limits().maxAttempts();
    this.keyWindowMarginNanos = KEY_WINDOW_MARGIN_CLOCK_TICKS * settings.tickNanos();
    this.sendsRetryAfter = settings.limits().retryAfter();
  }

  /** Whether an attempt on the given engine can't repeat an effect; always true for a first one. */
  boolean isSafeOn(long nowNanos, QueryRecord query, EngineRecord engine) {
    EngineRecord first = query.firstExecution.engine;
    if (first == null || query.queryClass.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    boolean detectsDuplicates =
        switch (query.queryClass.deduplicationScope()) {
          case ALL -> true;
          case ZONE -> engine.endpoint().zone() == first.endpoint().zone();
          case CELL -> engine.endpoint().cell() == first.endpoint().cell();
        };
    return query.queryClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
        && detectsDuplicates
        && nowNanos
            < query.firstExecution.forwardedAtNanos
                + query.queryClass.idempotencyWindowNanos()
                - keyWindowMarginNanos;
  }

  /** Whether the limit of attempts per query and the retry budget allow one more attempt. */
  boolean allowsAttempt(long nowNanos, QueryRecord query) {
    return query.attempts().size() < maxAttempts && budget.allowsRetry(nowNanos);
  }

  /**
   * Whether a query whose attempts have all failed should be retried: if it can finish in time, is
   * safe on an engine that is up, and may have one more attempt.
   */
  boolean shouldRetry(long nowNanos, QueryRecord query) {
    double neededSeconds = estimator.averageSeconds(query);
    return nowNanos + Nanoseconds.fromSeconds(neededSeconds) <= query.deadlineNanos
        && engines.all().stream().anyMatch(e -> e.isUp() && isSafeOn(nowNanos, query, e))
        && allowsAttempt(nowNanos, query);
  }

  /** Handles the end of an attempt, which may have run. */
  void onEnded(AttemptRecord attempt, AttemptOutcome outcome) {
    FirstExecution first = attempt.query.firstExecution;
    if (outcome.mayHaveRun && first.engine == null) {
      first.engine = attempt.engine;
      first.forwardedAtNanos = attempt.forwardedAtNanos;
    }
  }

  /**
   * Whether the query may be rejected, which lets the client send it again; otherwise it has to
   * fail.
   */
  boolean mayReject(QueryRecord query) {
    Idempotency effect = query.queryClass.idempotency();
    return query.firstExecution.engine == null && !query.isInFlight()
        || effect == Idempotency.IDEMPOTENT
        || effect == Idempotency.IDEMPOTENT_BY_KEY
            && query.queryClass.deduplicationScope() == DeduplicationScope.ALL;
  }

  /** Whether rejections should carry a Retry-After. */
  boolean sendsRetryAfter() {
    return sendsRetryAfter;
  }
}
