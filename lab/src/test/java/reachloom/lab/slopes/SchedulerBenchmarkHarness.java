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
 * One gateway of 580 at 724 queries a second, on a clock of its own, with so many engines that are
 * all well: what the benchmarks of the decisions ask it. Each query is served after it was out for
 * some time.
 */
final class SchedulerBenchmarkHarness implements SchedulerActions {
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long SECOND = 1_000 * MILLISECOND;
  private static final int GATEWAYS = 580;
  private static final int RATE = 724; // queries a second, the mean of the size planned for
  private static final long TICK = 25 * MILLISECOND;
  private static final double PROBE_PRICE = 0.08; // as in the rig's conditions
  private static final int CORES = 8;
  private static final double MEMORY = 16_384;
  private static final int ZONES = 10;
  private static final long SPENT = 40 * MILLISECOND;
  private static final LoadReport WELL = new LoadReport(0.5, 0, 0.4, 0);
  private static final int WARM = 4_000;

  final QueryScheduler choice = new QueryScheduler(this);
  final List<EngineEndpoint> list = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private final Map<String, String> sent = new LinkedHashMap<>();
  private final ArrayDeque<String> probes = new ArrayDeque<>();
  long now = 1_000 * SECOND;
  private long lastWake = now;
  private long count;
  long asked;
  long answered;
  long refused;

  SchedulerBenchmarkHarness(int engines, boolean reports) {
    this(some(engines), reports);
    for (int i = 0; i < WARM; i++) { // what is learned and remembered is as after some seconds
      query();
    }
  }

  /** One that has just been told that list, and got no query. */
  static SchedulerBenchmarkHarness listed(List<EngineEndpoint> engines) {
    return new SchedulerBenchmarkHarness(engines, false);
  }

  private static List<EngineEndpoint> some(int engines) {
    List<EngineEndpoint> some = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      some.add(engine(i, 0));
    }
    return some;
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
    choice.onStart(
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
            List.of(new EngineKind(CORES, MEMORY)),
            List.of(new TenantQuota(0)),
            new SchedulerLimits(4, true, reports, false, true, 2 * SECOND),
            new SchedulingRules(
                20 * MILLISECOND, 0.3, 10 * SECOND, 2.5, SECOND, 0, 10 * SECOND, 5, 0.2),
            new EngineCapabilities(false, false, reports, SECOND / 2, 0.5, OvercommitPolicy.WAIT)));
    choice.onEndpoints(now, true, list);
  }

  static EngineEndpoint engine(int number, long since) {
    return new EngineEndpoint(
        String.format("s-%08x", number + 1), EngineState.UP, 0, number % ZONES, 0, 1, since);
  }

  /** The clock goes on to the next query; what is due by then is done. */
  void step() {
    now += SECOND / RATE;
    if (now - lastWake >= TICK) {
      wake();
    }
    answerProbes();
  }

  void wake() {
    lastWake = now;
    choice.onTimer(now, 0);
  }

  void answerProbes() {
    while (!probes.isEmpty()) {
      answered++;
      choice.onHealthCheck(now, probes.poll(), true, WELL);
    }
  }

  /** A probe of some engine is answered. */
  void report() {
    choice.onHealthCheck(now, list.get(random.nextInt(list.size())).name(), true, WELL);
  }

  String arrive() {
    String id = "q" + count++;
    choice.onQuery(now, new Query(id, 0, 0, null, 5 * SECOND, 30 * MILLISECOND, 100, -1, false));
    return id;
  }

  void note(String id) {
    String engine = sent.get(id);
    if (engine != null) {
      choice.onProgress(now, new ProgressReport(id, 0, engine, ProgressKind.PROGRESS, 0.5));
    }
  }

  void end(String id) {
    String engine = sent.remove(id);
    if (engine != null) {
      choice.onAttemptEnded(
          now, new AttemptResult(id, 0, engine, AttemptOutcome.SERVED, SPENT, true, 30, 100, null));
    }
  }

  private final ArrayDeque<String> open = new ArrayDeque<>();
  private static final int OPEN = 32; // at 724 a second, each out for some 40 ms

  /** All that one query asks of the decisions, and its part of the clock's ticks and of probes. */
  void query() {
    step();
    open.addLast(arrive());
    answerProbes();
    if (open.size() > OPEN) {
      String id = open.removeFirst();
      note(id);
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
    asked++;
    probes.add(engine);
  }

  @Override
  public void setResources(String query, double grantMb, int priority) {
    // not heeded here
  }

  @Override
  public void cancelAttempt(String query, int attempt) {
    // all are served
  }

  @Override
  public void setTimer(long delay, long token) {
    // the clock here is driven by the queries
  }

  @Override
  public void watchEndpoints() {
    // the list does not change
  }

  @Override
  public void log(String line) {
    // nothing is read from it
  }
}
