package reachloom.scheduler;

import static reachloom.scheduler.Nanoseconds.PER_MILLISECOND;

import java.util.ArrayList;
import java.util.List;
import reachloom.scheduler.api.SchedulerActions;

/**
 * Schedules health checks, which engines answer with load reports: periodic checks of all engines
 * if the queries of this gateway pay for them; else checks of two random engines on behalf of a
 * query, which waits a moment for the reports; and checks of engines that peers suspect.
 */
final class HealthCheckScheduler implements ForwardingListener {
  /** How long a query waits for the load reports of two engines. */
  private static final long REPORT_WAIT_NANOS = 20 * PER_MILLISECOND;

  /** Between two periodic checks of an engine. */
  private static final long CHECK_INTERVAL_NANOS = 500 * PER_MILLISECOND;

  /** Between two periodic checks of an engine while the pool is calm. */
  private static final long CALM_CHECK_INTERVAL_NANOS = 2_000 * PER_MILLISECOND;

  private static final int CHECKS_PER_REQUEST = 2;

  /** The latest health check of one engine; private to {@link HealthCheckScheduler}. */
  static final class CheckState {
    private boolean inFlight;
    private long sentAtNanos;
  }

  /** The engines that were checked on behalf of one query. */
  static final class ReportRequest {
    private final List<EngineRecord> engines = new ArrayList<>();
    private long sentAtNanos;

    /** Whether an engine was checked and has sent a load report since. */
    boolean isAnsweredBy(EngineRecord engine, LoadReports reports) {
      return engines.contains(engine) && reports.hasReportedSince(sentAtNanos, engine);
    }

    /** Whether no engine was checked since the query arrived or was last forwarded. */
    boolean isEmpty() {
      return engines.isEmpty();
    }

    private boolean isAwaited(long nowNanos) {
      return nowNanos < sentAtNanos + REPORT_WAIT_NANOS
          && engines.stream().anyMatch(e -> e.healthCheck.inFlight);
    }
  }

  private final SchedulerActions actions;
  private final HealthCheckBudget budget;
  private final EngineRegistry engines;
  private final EngineSelector selector;
  private final ConcurrencyLimiter limiter;

  /** Creates a scheduler within the given budget. */
  HealthCheckScheduler(
      SchedulerActions actions,
      HealthCheckBudget budget,
      EngineRegistry engines,
      EngineSelector selector,
      ConcurrencyLimiter limiter) {
    this.actions = actions;
    this.budget = budget;
    this.engines = engines;
    this.selector = selector;
    this.limiter = limiter;
  }

  /** Credits the checks that a query pays for. */
  void onQuery(long nowNanos) {
    budget.onQuery(nowNanos, engines.size());
  }

  /**
   * Checks two random engines on behalf of a query, or two others if those checked before have no
   * capacity. Does nothing if one of those has capacity, periodic checks keep all reports recent or
   * engines send none, the query is not worth the checks or does not fit the pool, or the budget
   * can't pay for them.
   *
   * @return whether the query should wait for the reports
   */
  boolean requestReports(long nowNanos, QueryRecord query) {
    ReportRequest request = query.reportRequest;
    if (request.engines.stream().anyMatch(e -> selector.hasCapacity(nowNanos, query, e))
        || budget.keepsReportsRecent(nowNanos, engines.size())
        || !budget.isWorthChecks(query, limiter.isPoolCalm())
        || !limiter.fitsPool(nowNanos, query)
        || !budget.canPay(CHECKS_PER_REQUEST)) {
      return false;
    }
    request.engines.clear();
    request.engines.addAll(selector.drawPair(nowNanos, query));
    request.engines.forEach(e -> check(nowNanos, e));
    request.sentAtNanos = nowNanos;
    return !request.engines.isEmpty();
  }

  /** Whether the query should go on waiting for reports that were requested on its behalf. */
  boolean awaitsReports(long nowNanos, QueryRecord query) {
    return query.reportRequest.isAwaited(nowNanos);
  }

  @Override
  public void onForwarded(long nowNanos, AttemptRecord attempt) {
    attempt.query.reportRequest.engines.clear();
  }

  /**
   * Checks an engine that peers suspect, if it is up, engines send load reports and the budget
   * allows.
   */
  void onSuspected(long nowNanos, EngineRecord engine) {
    if (engine.isUp() && budget.enginesReport() && budget.canPay(1)) {
      check(nowNanos, engine);
    }
  }

  /** Sends the periodic checks that are due. */
  void onTick(long nowNanos) {
    if (budget.enginesReport() && budget.keepsReportsRecent(nowNanos, engines.size())) {
      long interval = limiter.isPoolCalm() ? CALM_CHECK_INTERVAL_NANOS : CHECK_INTERVAL_NANOS;
      engines.all().stream()
          .filter(e -> e.isUp() && nowNanos - e.healthCheck.sentAtNanos >= interval)
          .forEach(e -> check(nowNanos, e));
    }
  }

  /** Handles the end of a check, with or without an answer. */
  void onChecked(EngineRecord engine) {
    engine.healthCheck.inFlight = false;
  }

  private void check(long nowNanos, EngineRecord engine) {
    if (!engine.healthCheck.inFlight) {
      budget.pay();
      engine.healthCheck.inFlight = true;
      engine.healthCheck.sentAtNanos = nowNanos;
      actions.checkHealth(engine.name);
    }
  }
}
