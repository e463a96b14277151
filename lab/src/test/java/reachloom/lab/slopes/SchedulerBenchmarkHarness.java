package reachloom.lab.slopes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reachloom.scheduler.QueryScheduler;
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
 * Drives the scheduler of one gateway out of 580 for benchmarks: 724 queries a second on a
 * simulated clock, with engines that are all healthy. Each query is served after some time.
 */
final class SchedulerBenchmarkHarness implements SchedulerActions {
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long SECOND = 1_000 * MILLISECOND;
  private static final int GATEWAYS = 580;
  private static final int QUERIES_PER_SECOND = 724; // mean at the planned size
  private static final long TICK_INTERVAL = 25 * MILLISECOND;
  private static final double PROBE_PRICE = 0.08; // as in the rig's conditions
  private static final int CORES = 8;
  private static final double MEMORY_MB = 16_384;
  private static final int ZONES = 10;
  private static final long RUN_TIME = 40 * MILLISECOND;
  private static final LoadReport HEALTHY = new LoadReport(0.5, 0, 0.4, 0);
  private static final int WARM_UP_QUERIES = 4_000;

  final QueryScheduler scheduler = new QueryScheduler(this);
  final List<EngineEndpoint> list = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private final Map<String, String> sent = new LinkedHashMap<>();
  private final ArrayDeque<String> probes = new ArrayDeque<>();
  long now = 1_000 * SECOND;
  private long lastTick = now;
  private long count;
  long probesRequested;
  long probesAnswered;
  long refused;

  SchedulerBenchmarkHarness(int engines, boolean reports) {
    this(engines(engines), reports);
    for (int i = 0; i < WARM_UP_QUERIES; i++) { // state as after some seconds of queries
      query();
    }
  }

  /** Returns a harness whose scheduler has applied the list and received no query. */
  static SchedulerBenchmarkHarness listed(List<EngineEndpoint> engines) {
    return new SchedulerBenchmarkHarness(engines, false);
  }

  private static List<EngineEndpoint> engines(int count) {
    List<EngineEndpoint> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(engine(i, 0));
    }
    return engines;
  }

  private SchedulerBenchmarkHarness(List<EngineEndpoint> engines, boolean reports) {
    list.addAll(engines);
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
                Idempotency.IDEMPOTENT_BY_KEY,
                DeduplicationScope.ALL,
                15 * SECOND,
                false,
                false,
                List.of(),
                List.of(),
                2,
                false,
                false));
    scheduler.onStart(
        now,
        1,
        new SchedulerSettings(
            GATEWAYS,
            1,
            0,
            false,
            5 * MILLISECOND,
            0.1,
            0.015,
            PROBE_PRICE,
            0.08,
            classes,
            List.of(new EngineKind(CORES, MEMORY_MB)),
            List.of(new TenantQuota(0)),
            new SchedulerLimits(4, true, reports, false, true, 2 * SECOND),
            new SchedulingRules(
                20 * MILLISECOND, 0.3, 10 * SECOND, 2.5, SECOND, 0, 10 * SECOND, 5, 0.2),
            new EngineCapabilities(false, false, reports, SECOND / 2, 0.5, OvercommitPolicy.WAIT)));
    scheduler.onEndpoints(now, true, list);
  }

  static EngineEndpoint engine(int number, long since) {
    return new EngineEndpoint(
        String.format("s-%08x", number + 1), EngineState.UP, 0, number % ZONES, 0, 1, since);
  }

  /** Advances the clock to the next query and runs what is due by then. */
  void step() {
    now += SECOND / QUERIES_PER_SECOND;
    if (now - lastTick >= TICK_INTERVAL) {
      tick();
    }
    answerHealthChecks();
  }

  void tick() {
    lastTick = now;
    scheduler.onTimer(now, 0);
  }

  void answerHealthChecks() {
    while (!probes.isEmpty()) {
      probesAnswered++;
      scheduler.onHealthCheck(now, probes.poll(), true, HEALTHY);
    }
  }

  /** Delivers a load report of a random engine. */
  void reportLoad() {
    scheduler.onHealthCheck(now, list.get(random.nextInt(list.size())).name(), true, HEALTHY);
  }

  String arrive() {
    String id = "q" + count++;
    scheduler.onQuery(now, new Query(id, 0, 0, null, 5 * SECOND, 30 * MILLISECOND, 100, -1, false));
    return id;
  }

  void reportProgress(String id) {
    String engine = sent.get(id);
    if (engine != null) {
      scheduler.onProgress(now, new ProgressReport(id, 0, engine, ProgressKind.PROGRESS, 0.5));
    }
  }

  void end(String id) {
    String engine = sent.remove(id);
    if (engine != null) {
      scheduler.onAttemptEnded(
          now,
          new AttemptResult(id, 0, engine, AttemptOutcome.SERVED, RUN_TIME, true, 30, 100, null));
    }
  }

  private final ArrayDeque<String> open = new ArrayDeque<>();
  private static final int MAX_OPEN = 32; // 724 a second, each open for about 40 ms

  /** Makes all calls of one query, with its share of ticks and health checks. */
  void query() {
    step();
    open.addLast(arrive());
    answerHealthChecks();
    if (open.size() > MAX_OPEN) {
      String id = open.removeFirst();
      reportProgress(id);
      end(id);
    }
  }

  @Override
  public void forward(String query, String engine, long timeout) {
    sent.put(query, engine);
  }

  @Override
  public void reject(String query, long retryAfter) {
    refused++;
  }

  @Override
  public void fail(String query) {
    refused++;
  }

  @Override
  public void checkHealth(String engine) {
    probesRequested++;
    probes.add(engine);
  }

  @Override
  public void setResources(String query, double grantMb, int priority) {
    // the engines use neither value
  }

  @Override
  public void cancelAttempt(String query, int attempt) {
    // all attempts are served
  }

  @Override
  public void setTimer(long delay, long token) {
    // the queries advance the clock
  }

  @Override
  public void watchEndpoints() {
    // the list does not change
  }

  @Override
  public void log(String line) {
    // the log is not read
  }
}
