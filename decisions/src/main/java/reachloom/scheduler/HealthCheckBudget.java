package reachloom.scheduler;

import reachloom.scheduler.api.SchedulerSettings;
import reachloom.scheduler.state.SlidingWindowSum;

/**
 * Limits the health checks of this gateway by its queries: each query earns credit for a few
 * checks, for fewer if checks are expensive, since all gateways send them.
 */
final class HealthCheckBudget {
  /** Maximum number of checks per query. */
  private static final double MAX_CHECKS_PER_QUERY = 2;

  /** Maximum price of the checks per query, in units of priority weight. */
  private static final double MAX_COST_PER_QUERY = 0.05;

  /** Engines per recent query whose load reports may be kept recent by periodic checks. */
  private static final double ENGINES_PER_QUERY = 2;

  /** Maximum credit, in checks per engine. */
  private static final int MAX_CREDIT_PER_ENGINE = 2;

  private static final double MIN_CHECK_PRICE = 1e-9;

  private final CostEstimator estimator;
  private final boolean enginesReport;
  private final double checksPerQuery;
  private final SlidingWindowSum recentQueries = new SlidingWindowSum(LoadReports.MAX_AGE_NANOS);
  private double credit;

  /** Creates a budget without credit. */
  HealthCheckBudget(SchedulerSettings settings, CostEstimator estimator) {
    this.estimator = estimator;
    this.enginesReport = settings.limits().healthChecks() && settings.capabilities().loadReports();
    this.checksPerQuery =
        Math.min(
            MAX_CHECKS_PER_QUERY,
            MAX_COST_PER_QUERY / Math.max(settings.healthCheckPrice(), MIN_CHECK_PRICE));
  }

  /** A query has arrived. */
  void onQuery(long nowNanos, int engineCount) {
    recentQueries.add(nowNanos, 1);
    credit = Math.min(credit + checksPerQuery, MAX_CREDIT_PER_ENGINE * engineCount);
  }

  /** Whether the credit covers the given number of checks. */
  boolean canPay(int checks) {
    return credit >= checks;
  }

  /** Charges one check; periodic checks may overdraw the credit. */
  void pay() {
    credit--;
  }

  /** Whether checks are allowed and engines answer them with load reports. */
  boolean enginesReport() {
    return enginesReport;
  }

  /**
   * Whether the queries of this gateway pay for periodic checks of all engines; also true if
   * engines send no reports.
   */
  boolean keepsReportsRecent(long nowNanos, int engineCount) {
    double expense = MAX_CHECKS_PER_QUERY / checksPerQuery;
    return !enginesReport
        || recentQueries.sum(nowNanos) * ENGINES_PER_QUERY >= engineCount * expense * expense;
  }

  /**
   * Whether checks on behalf of a query are worth it; if checks are scarce, only for queries whose
   * class has at least the mean weight.
   */
  boolean isWorthChecks(QueryRecord query, boolean poolIsCalm) {
    boolean scarce = poolIsCalm || checksPerQuery < MAX_CHECKS_PER_QUERY / 2;
    return !scarce || !estimator.isBelowMeanWeight(query);
  }
}
