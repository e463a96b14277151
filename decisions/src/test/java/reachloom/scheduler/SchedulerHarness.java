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
 * One gateway on a scripted clock: events go in by short calls, actions are kept as lines of text.
 */
final class SchedulerHarness implements SchedulerActions {
  static final long MS = 1_000_000;
  static final long SECOND = 1000 * MS;
  static final int QUICK = 0;
  static final int LONG = 1;
  static final int KEYED = 2;

  final List<String> actions = new ArrayList<>();
  final QueryScheduler choice = new QueryScheduler(this);
  long now = 1000 * SECOND;
  int gateways = 1;
  int self;
  long seed = 7;
  Idempotency longEffect = Idempotency.IDEMPOTENT;
  DeduplicationScope scope = DeduplicationScope.ALL;
  List<Integer> longKinds = List.of();
  boolean ordered;
  long orderSettle;
  long keyWindow = 15 * SECOND;
  long lookBack;
  double extraFree = 1;
  double extraShare;
  boolean reports;
  double probePrice;
  boolean grants;
  long notePeriod;
  OvercommitPolicy overbooked = OvercommitPolicy.WAIT;
  List<TenantQuota> tenants = List.of();
  double memoryMb;
  private long ticksDue;

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
                longEffect,
                scope,
                keyWindow,
                false,
                false,
                longKinds,
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
                scope,
                keyWindow,
                ordered,
                false,
                List.of(),
                List.of(),
                2,
                true,
                false));
    choice.onStart(
        now,
        seed,
        new SchedulerSettings(
            gateways,
            self,
            0,
            false,
            5 * MS,
            0.1,
            0,
            probePrice,
            0.1,
            classes,
            List.of(new EngineKind(8, memoryMb), new EngineKind(8, memoryMb)),
            tenants,
            new SchedulerLimits(5, true, reports, false, true, 2 * SECOND),
            new SchedulingRules(
                20 * MS,
                0.3,
                10 * SECOND,
                2.5,
                SECOND,
                orderSettle,
                lookBack,
                extraFree,
                extraShare),
            new EngineCapabilities(grants, true, reports, notePeriod, 0.5, overbooked)));
    list(engines);
    return this;
  }

  static EngineEndpoint up(String name) {
    return engine(name, EngineState.UP, 0, 0);
  }

  static EngineEndpoint engine(String name, EngineState state, int kind, long since) {
    return new EngineEndpoint(name, state, kind, 0, name.charAt(0), 1, since);
  }

  void list(EngineEndpoint... engines) {
    choice.onEndpoints(now, true, List.of(engines));
  }

  void arrive(String id, int queryClass, double costSeconds) {
    arrive(id, queryClass, costSeconds, 0, null);
  }

  void arrive(String id, int queryClass, double costSeconds, int tenant, String key) {
    long time = queryClass == QUICK ? 5 * SECOND : 20 * SECOND;
    long cost = (long) (costSeconds * SECOND);
    choice.onQuery(now, new Query(id, queryClass, tenant, key, time, cost, 100, 3, false));
  }

  void end(
      String id, int attempt, String engine, AttemptOutcome outcome, double seconds, boolean over) {
    long spent = (long) (seconds * SECOND);
    choice.onAttemptEnded(
        now, new AttemptResult(id, attempt, engine, outcome, spent, over, 0, 0, null));
  }

  void served(String id, String engine, double seconds) {
    end(id, 0, engine, AttemptOutcome.SERVED, seconds, true);
  }

  void note(String id, String engine, double share) {
    choice.onProgress(now, new ProgressReport(id, 0, engine, ProgressKind.PROGRESS, share));
  }

  void report(String engine, double util) {
    choice.onHealthCheck(now, engine, true, new LoadReport(util, 0, 0, 0));
  }

  /** Lets time pass; the module's timers come due. */
  void pass(long time) {
    long end = now + time;
    while (ticksDue > 0 && now + 25 * MS <= end) {
      now += 25 * MS;
      ticksDue--;
      choice.onTimer(now, 0);
    }
    now = end;
  }

  /** Time passes, but the gateway stands still meanwhile. */
  void stall(long time) {
    now += time;
    ticksDue--;
    choice.onTimer(now, 0);
  }

  List<String> take() {
    List<String> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  @Override
  public void forward(String query, String engine, long timeout) {
    actions.add("send " + query + " " + engine);
  }

  @Override
  public void setResources(String query, double grantMb, int priority) {
    // Terms are looked at by the tests that ask for them.
    if (grants) {
      actions.add("terms " + query + " " + Math.round(grantMb) + " " + priority);
    }
  }

  @Override
  public void cancelAttempt(String query, int attempt) {
    actions.add("cancel " + query + " " + attempt);
  }

  @Override
  public void reject(String query, long retryAfter) {
    actions.add(
        "refuse " + query + " " + retryAfter / SECOND + (retryAfter % SECOND == 0 ? "s" : "?"));
  }

  @Override
  public void fail(String query) {
    actions.add("fail " + query);
  }

  @Override
  public void setTimer(long delay, long token) {
    ticksDue++;
  }

  @Override
  public void checkHealth(String engine) {
    actions.add("probe " + engine);
  }

  @Override
  public void watchEndpoints() {
    actions.add("watch");
  }

  @Override
  public void log(String line) {
    // The log decides nothing.
  }
}
