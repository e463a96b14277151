package reachloom.scheduler;

import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.scheduler.api.SchedulingRules;
import reachloom.scheduler.state.SlidingWindowSum;

/**
 * Limits retries to a fixed number plus a share of the queries within a sliding window. Queries are
 * counted over a slightly shorter and retries over a slightly longer window, so that the limit also
 * holds by the clock of an observer.
 */
final class RetryBudget implements ForwardingListener {
  /** By which the windows are shorter or longer, in ticks of the platform's clock. */
  private static final int WINDOW_MARGIN_CLOCK_TICKS = 2;

  private final SchedulingRules rules;
  private final SlidingWindowSum queries;
  private final SlidingWindowSum retries;

  /** Creates a budget without queries and retries. */
  RetryBudget(SchedulerSettings settings) {
    rules = settings.rules();
    long margin = WINDOW_MARGIN_CLOCK_TICKS * settings.tickNanos();
    queries = new SlidingWindowSum(rules.retryBudgetWindowNanos() - margin);
    retries = new SlidingWindowSum(rules.retryBudgetWindowNanos() + margin);
  }

  /** Counts a query by its arrival, which may have been noticed late. */
  void onQuery(long nowNanos, Query query) {
    queries.addLate(nowNanos - query.ageNanos(), nowNanos, 1);
  }

  @Override
  public void onForwarded(long nowNanos, AttemptRecord attempt) {
    if (attempt.number > 0) {
      retries.add(nowNanos, 1);
    }
  }

  /** Whether one more retry is within the budget; always true if the rules set none. */
  boolean allowsRetry(long nowNanos) {
    return rules.retryBudgetWindowNanos() <= 0
        || retries.sum(nowNanos) + 1
            <= rules.retryBudgetBase() + rules.retryBudgetPerQuery() * queries.sum(nowNanos);
  }
}
