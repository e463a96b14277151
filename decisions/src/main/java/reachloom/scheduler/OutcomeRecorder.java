package reachloom.scheduler;

import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.LoadReport;

/** Passes the results of attempts and load reports on to the parts that learn from them. */
final class OutcomeRecorder {
  private final LoadReports reports;
  private final CostEstimator estimator;
  private final ConcurrencyLimiter limiter;
  private final OutlierDetector outliers;
  private final AttemptMonitor monitor;

  /** Creates a recorder for the given parts. */
  OutcomeRecorder(
      LoadReports reports,
      CostEstimator estimator,
      ConcurrencyLimiter limiter,
      OutlierDetector outliers,
      AttemptMonitor monitor) {
    this.reports = reports;
    this.estimator = estimator;
    this.limiter = limiter;
    this.outliers = outliers;
    this.monitor = monitor;
  }

  /** Records a load report of an engine; null if there is none. */
  void recordReport(long nowNanos, EngineRecord engine, LoadReport report) {
    if (reports.record(nowNanos, engine, report)) {
      limiter.onReport(nowNanos, engine, report);
    }
  }

  /** Records the result of an attempt, with the load report that it may carry. */
  void recordResult(long nowNanos, AttemptRecord attempt, AttemptResult result) {
    EngineRecord engine = attempt.engine;
    recordReport(nowNanos, engine, result.loadReport());
    switch (result.outcome()) {
      case SERVED -> {
        outliers.onServed(nowNanos, attempt);
        monitor.onSignal(nowNanos, engine);
        estimator.onServed(attempt, result);
        limiter.onServed(attempt, result);
      }
      case FULL -> {
        limiter.onFull(nowNanos, engine);
        outliers.ejectUntil(engine, limiter.fullUntilNanos(engine));
      }
      case TIMEOUT -> limiter.onTimeout(attempt);
      case ERROR, RESET, UNREACHED -> outliers.onFailed(nowNanos, attempt, result);
      case CANCELLED, NOT_SENT -> {
        // no information about the engine
      }
    }
  }
}
