package reachloom.scheduler;

import java.util.ArrayList;
import java.util.List;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.DeduplicationScope;
import reachloom.scheduler.api.EngineCapabilities;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineKind;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.OvercommitPolicy;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.QueryClass;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerLimits;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.scheduler.api.SchedulingRules;
import reachloom.scheduler.api.TenantQuota;

/**
 * The scheduler of one gateway with a simulated clock: short methods deliver events, and the
 * actions are recorded as lines of text.
 */
final class SchedulerHarness implements SchedulerActions {
  static final long MILLISECOND = 1_000_000;
  static final long SECOND = 1000 * MILLISECOND;

  /** Index of a class of idempotent queries with a deadline of 5 s. */
  static final int QUICK = 0;

  /** Index of a class of queries with two threads and a deadline of 20 s. */
  static final int LONG = 1;

  /** Index of a class of bulk loads with an idempotency key and a deadline of 20 s. */
  static final int KEYED = 2;

  private static final long TICK_NANOS = 25 * MILLISECOND;

  final List<String> actions = new ArrayList<>();
  final QueryScheduler scheduler = new QueryScheduler(this);
  long nowNanos = 1000 * SECOND;
  int gateways = 1;
  int selfIndex;
  long seed = 7;
  Idempotency idempotencyOfLongClass = Idempotency.IDEMPOTENT;
  DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
  List<Integer> kindsOfLongClass = List.of();
  boolean ordered;
  long orderSettleNanos;
  long idempotencyWindowNanos = 15 * SECOND;
  long retryBudgetWindowNanos;
  double retryBudgetBase = 1;
  double retryBudgetPerQuery;
  boolean loadReports;
  double healthCheckPrice;
  boolean memoryGrants;
  long progressPeriodNanos;
  OvercommitPolicy overcommitPolicy = OvercommitPolicy.WAIT;
  List<TenantQuota> tenants = List.of();
  double memoryMb;
  private long pendingTimers;

  SchedulerHarness start(EngineEndpoint... engines) {
    List<QueryClass> classes =
        List.of(
            new QueryClass(
                SECOND,
                1,
                5 * SECOND,
                1,
                0.1,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false,
                false,
                List.of(),
                List.of(),
                1,
                false,
                false),
            new QueryClass(
                3 * SECOND,
                2,
                20 * SECOND,
                8,
                0.3,
                idempotencyOfLongClass,
                deduplicationScope,
                idempotencyWindowNanos,
                false,
                false,
                kindsOfLongClass,
                List.of(),
                2,
                false,
                false),
            new QueryClass(
                3 * SECOND,
                2,
                20 * SECOND,
                12,
                0.5,
                Idempotency.IDEMPOTENT_BY_KEY,
                deduplicationScope,
                idempotencyWindowNanos,
                ordered,
                false,
                List.of(),
                List.of(),
                2,
                true,
                false));
    scheduler.onStart(
        nowNanos,
        seed,
        new SchedulerSettings(
            gateways,
            selfIndex,
            0,
            false,
            5 * MILLISECOND,
            0.1,
            0,
            healthCheckPrice,
            0.1,
            classes,
            List.of(new EngineKind(8, memoryMb), new EngineKind(8, memoryMb)),
            tenants,
            new SchedulerLimits(5, true, loadReports, false, true, 2 * SECOND),
            new SchedulingRules(
                20 * MILLISECOND,
                0.3,
                10 * SECOND,
                2.5,
                SECOND,
                orderSettleNanos,
                retryBudgetWindowNanos,
                retryBudgetBase,
                retryBudgetPerQuery),
            new EngineCapabilities(
                memoryGrants, true, loadReports, progressPeriodNanos, 0.5, overcommitPolicy)));
    listEndpoints(engines);
    return this;
  }

  static EngineEndpoint up(String name) {
    return engine(name, EngineState.UP, 0, 0);
  }

  static EngineEndpoint engine(String name, EngineState state, int kind, long incarnation) {
    return new EngineEndpoint(name, state, kind, 0, name.charAt(0), 1, incarnation);
  }

  void listEndpoints(EngineEndpoint... engines) {
    scheduler.onEndpoints(nowNanos, true, List.of(engines));
  }

  void arrive(String id, int queryClass, double costSeconds) {
    arrive(id, queryClass, costSeconds, 0, null);
  }

  void arrive(String id, int queryClass, double costSeconds, int tenant, String key) {
    long remainingNanos = queryClass == QUICK ? 5 * SECOND : 20 * SECOND;
    long costNanos = (long) (costSeconds * SECOND);
    scheduler.onQuery(
        nowNanos, new Query(id, queryClass, tenant, key, remainingNanos, costNanos, 100, 3, false));
  }

  void end(
      String id,
      int attempt,
      String engine,
      AttemptOutcome outcome,
      double seconds,
      boolean queryFinished) {
    long elapsedNanos = (long) (seconds * SECOND);
    scheduler.onAttemptEnded(
        nowNanos,
        new AttemptResult(id, attempt, engine, outcome, elapsedNanos, queryFinished, 0, 0, null));
  }

  void served(String id, String engine, double seconds) {
    end(id, 0, engine, AttemptOutcome.SERVED, seconds, true);
  }

  void progress(String id, String engine, double share) {
    scheduler.onProgress(nowNanos, new ProgressReport(id, 0, engine, ProgressKind.PROGRESS, share));
  }

  void report(String engine, double utilization) {
    scheduler.onHealthCheck(nowNanos, engine, true, new LoadReport(utilization, 0, 0, 0));
  }

  /** Advances the clock; the scheduler's timers fire when they are due. */
  void advance(long nanos) {
    long endNanos = nowNanos + nanos;
    while (pendingTimers > 0 && nowNanos + TICK_NANOS <= endNanos) {
      nowNanos += TICK_NANOS;
      pendingTimers--;
      scheduler.onTimer(nowNanos, 0);
    }
    nowNanos = endNanos;
  }

  /** Advances the clock as if the gateway were stalled meanwhile: one late tick follows. */
  void stall(long nanos) {
    nowNanos += nanos;
    pendingTimers--;
    scheduler.onTimer(nowNanos, 0);
  }

  List<String> takeActions() {
    List<String> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  @Override
  public void forward(String query, String engine, long timeoutNanos) {
    actions.add("forward " + query + " " + engine);
  }

  @Override
  public void setResources(String query, double grantMb, int priority) {
    // Recorded only for tests with memory grants.
    if (memoryGrants) {
      actions.add("resources " + query + " " + Math.round(grantMb) + " " + priority);
    }
  }

  @Override
  public void cancelAttempt(String query, int attempt) {
    actions.add("cancel " + query + " " + attempt);
  }

  @Override
  public void reject(String query, long retryAfterNanos) {
    actions.add(
        "reject "
            + query
            + " "
            + retryAfterNanos / SECOND
            + (retryAfterNanos % SECOND == 0 ? "s" : "?"));
  }

  @Override
  public void fail(String query) {
    actions.add("fail " + query);
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    pendingTimers++;
  }

  @Override
  public void checkHealth(String engine) {
    actions.add("check " + engine);
  }

  @Override
  public void watchEndpoints() {
    actions.add("watch");
  }

  @Override
  public void log(String line) {
    // Log lines are not part of the decisions under test.
  }
}
