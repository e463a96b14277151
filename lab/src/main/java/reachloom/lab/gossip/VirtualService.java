package reachloom.lab.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reachloom.peerreport.OutcomeWindow;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.DeduplicationScope;
import reachloom.scheduler.api.EngineCapabilities;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineKind;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.Idempotency;
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
 * Adds engines and queries to a {@link VirtualCluster}: each instance hosts the real scheduler and
 * receives its own queries. An engine shares its cores among the running queries; a sick engine
 * accepts queries and never answers. With gossip off, the arrivals and the engines are the same.
 */
final class VirtualService {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long GOAL_TIME = SECOND / 2;
  private static final long DEADLINE = 2 * SECOND;
  private static final int CORES = 8;
  private static final double MEAN_RUN_SECONDS = 0.05;
  private static final long PROGRESS_PERIOD = 500 * MILLISECOND;
  private static final double MAX_RUN_MULTIPLE = 6; // of the mean, on an engine with a free core

  private static final class Engine {
    private final String name;
    private boolean sick;
    private int running;

    Engine(String name) {
      this.name = name;
    }
  }

  /** One attempt of a query. */
  private static final class Attempt {
    private final Engine engine;
    private final long sentAt;
    private boolean ended;

    Attempt(Engine engine, long sentAt) {
      this.engine = engine;
      this.sentAt = sentAt;
    }
  }

  private static final class OpenQuery {
    private final String id;
    private final long arrivedAt;
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean ended;
    private boolean sentToSick;

    OpenQuery(String id, long arrivedAt) {
      this.id = id;
      this.arrivedAt = arrivedAt;
    }
  }

  private final VirtualCluster cluster;
  private final boolean gossip;
  private final double rate;
  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private int gatewayCount;
  private long asked;
  private long servedInTime;
  private long lostToSick;

  /** Adds engines and queries to all instances of the cluster and starts them. */
  VirtualService(VirtualCluster cluster, int engineCount, boolean gossip, long seed, int rate) {
    this.cluster = cluster;
    this.gossip = gossip;
    this.rate = rate;
    gatewayCount = cluster.nodes.size();
    for (int i = 0; i < engineCount; i++) {
      engines.put(
          "s-" + String.format("%08x", i + 1), new Engine("s-" + String.format("%08x", i + 1)));
    }
    SplittableRandom seeds = new SplittableRandom(seed);
    for (VirtualCluster.Node n : cluster.nodes) {
      Gateway gateway = new Gateway(n, seeds.nextLong());
      gateways.add(gateway);
      n.peerReports =
          gossip
              ? (e, level) -> gateway.scheduler.onPeerReport(cluster.agenda.now(), e, level)
              : (e, level) -> {};
    }
    gateways.forEach(Gateway::start);
  }

  /** Returns the names of the engines, in order. */
  List<String> names() {
    return List.copyOf(engines.keySet());
  }

  /** Makes an engine accept queries without answering them, or makes it healthy again. */
  void sick(String engine, boolean sick) {
    engines.get(engine).sick = sick;
  }

  /** Returns the share of queries that were served within the goal time. */
  double service() {
    return asked == 0 ? 1 : (double) servedInTime / asked;
  }

  /**
   * Returns the number of ended queries that were sent to a sick engine and not served within the
   * goal time.
   */
  long lostToSick() {
    return lostToSick;
  }

  /** Returns the number of queries that arrived. */
  long asked() {
    return asked;
  }

  private SchedulerSettings settings(int self) {
    QueryClass queryClass =
        new QueryClass(
            GOAL_TIME,
            0,
            DEADLINE,
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
            false);
    return new SchedulerSettings(
        gatewayCount,
        self,
        0,
        false,
        5 * MILLISECOND,
        0.1,
        0,
        0,
        0.1,
        List.of(queryClass),
        List.of(new EngineKind(CORES, 0)),
        List.of(new TenantQuota(0)),
        new SchedulerLimits(4, true, false, false, true, SECOND),
        new SchedulingRules(20 * MILLISECOND, 0.3, 0, 2.5, SECOND, 0, 10 * SECOND, 5, 0.2),
        new EngineCapabilities(false, false, false, PROGRESS_PERIOD, 0.5, OvercommitPolicy.WAIT));
  }

  /** One gateway's scheduler, and the queries and engines that it acts on. */
  private final class Gateway implements SchedulerActions {
    private final VirtualCluster.Node node;
    private final QueryScheduler scheduler = new QueryScheduler(this);
    private final Map<String, OpenQuery> open = new LinkedHashMap<>();
    private final SplittableRandom arrivals;
    private final SplittableRandom times;
    private long count;

    Gateway(VirtualCluster.Node node, long seed) {
      this.node = node;
      arrivals = new SplittableRandom(seed);
      times = arrivals.split();
    }

    private long now() {
      return cluster.agenda.now();
    }

    void start() {
      scheduler.onStart(now(), times.nextLong(), settings(gateways.indexOf(this)));
      scheduler.onEndpoints(
          now(),
          true,
          engines.values().stream()
              .map(e -> new EngineEndpoint(e.name, EngineState.UP, 0, 0, 0, 1, 0))
              .toList());
      if (gossip) {
        engines.keySet().forEach(e -> node.gossip.addEngine(e, 0));
      }
      scheduleArrival();
    }

    private void scheduleArrival() {
      long gap = (long) (-Math.log(1 - arrivals.nextDouble()) / rate * SECOND);
      cluster.agenda.at(
          now() + gap,
          () -> {
            if (node.up) {
              OpenQuery o = new OpenQuery(node.name + "-" + count++, now());
              open.put(o.id, o);
              asked++;
              scheduler.onQuery(now(), new Query(o.id, 0, 0, null, DEADLINE, 0, 0, -1, false));
            }
            scheduleArrival();
          });
    }

    private void endQuery(OpenQuery o, boolean served) {
      o.ended = true;
      boolean inTime = served && now() - o.arrivedAt <= GOAL_TIME;
      servedInTime += inTime ? 1 : 0;
      lostToSick += o.sentToSick && !inTime ? 1 : 0;
      removeIfEnded(o);
    }

    private void removeIfEnded(OpenQuery o) {
      if (o.ended && o.attempts.stream().allMatch(t -> t.ended)) {
        open.remove(o.id);
      }
    }

    @Override
    public void forward(String query, String engine, long timeout) {
      OpenQuery o = open.get(query);
      Engine e = engines.get(engine);
      int number = o.attempts.size();
      Attempt t = new Attempt(e, now());
      o.attempts.add(t);
      o.sentToSick |= e.sick;
      cluster.agenda.at(
          o.arrivedAt + DEADLINE - DEADLINE / 20,
          () -> endAttempt(o, number, AttemptOutcome.TIMEOUT));
      if (e.sick) {
        return;
      }
      e.running++;
      double slow = Math.max(1, (double) e.running / CORES);
      double multiple = Math.min(-Math.log(1 - times.nextDouble()), MAX_RUN_MULTIPLE);
      double time = multiple * MEAN_RUN_SECONDS * slow;
      long until = now() + (long) (time * SECOND);
      for (long at = now() + PROGRESS_PERIOD; at < until; at += PROGRESS_PERIOD) {
        double done = (double) (at - t.sentAt) / (until - t.sentAt);
        cluster.agenda.at(
            at,
            () -> {
              if (!t.ended) {
                scheduler.onProgress(
                    now(), new ProgressReport(o.id, number, engine, ProgressKind.PROGRESS, done));
              }
            });
      }
      cluster.agenda.at(
          until,
          () -> {
            e.running--;
            if (!e.sick) {
              endAttempt(o, number, AttemptOutcome.SERVED);
            }
          });
    }

    private void endAttempt(OpenQuery o, int number, AttemptOutcome outcome) {
      Attempt t = o.attempts.get(number);
      if (t.ended) {
        return;
      }
      t.ended = true;
      if (gossip && (!o.ended || outcome == AttemptOutcome.SERVED)) {
        node.gossip.recordOutcome(
            node.clock(),
            t.engine.name,
            outcome == AttemptOutcome.SERVED
                ? OutcomeWindow.Observation.SERVED
                : OutcomeWindow.Observation.TIMED_OUT);
      }
      if (outcome == AttemptOutcome.SERVED && !o.ended) {
        endQuery(o, true);
      }
      scheduler.onAttemptEnded(
          now(),
          new AttemptResult(
              o.id, number, t.engine.name, outcome, now() - t.sentAt, o.ended, 0, 0, null));
      removeIfEnded(o);
    }

    @Override
    public void cancelAttempt(String query, int attempt) {
      OpenQuery o = open.get(query);
      if (o != null) {
        cluster.agenda.at(now(), () -> endAttempt(o, attempt, AttemptOutcome.CANCELLED));
      }
    }

    @Override
    public void reject(String query, long retryAfter) {
      fail(query);
    }

    @Override
    public void fail(String query) {
      OpenQuery o = open.get(query);
      if (o != null && !o.ended) {
        endQuery(o, false);
      }
    }

    @Override
    public void setTimer(long delay, long token) {
      cluster.agenda.at(now() + delay, () -> scheduler.onTimer(now(), token));
    }

    @Override
    public void setResources(String query, double grantMb, int priority) {
      // These engines use neither value.
    }

    @Override
    public void checkHealth(String engine) {
      // These engines do not report.
    }

    @Override
    public void watchEndpoints() {
      // The list does not change.
    }

    @Override
    public void log(String line) {
      // The log is not read.
    }
  }
}
