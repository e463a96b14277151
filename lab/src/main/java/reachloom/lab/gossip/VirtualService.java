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
 * Engines and queries beside the gossip of a {@link VirtualCluster}: each instance hosts the real
 * decision module and gets queries of its own. Engines share their cores among what runs; a sick
 * one takes queries and says nothing more. With gossip off, the same arrivals meet the same
 * engines.
 */
final class VirtualService {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final long MILLISECOND = 1_000_000;
  private static final long AIM = SECOND / 2;
  private static final long DEADLINE = 2 * SECOND;
  private static final int CORES = 8;
  private static final double MEAN_SECONDS = 0.05;
  private static final long NOTES = 500 * MILLISECOND;
  private static final double LONGEST = 6; // means

  private static final class Engine {
    private final String name;
    private boolean sick;
    private int running;

    Engine(String name) {
      this.name = name;
    }
  }

  /** One attempt of a query. */
  private static final class Try {
    private final Engine engine;
    private final long sentAt;
    private boolean over;

    Try(Engine engine, long sentAt) {
      this.engine = engine;
      this.sentAt = sentAt;
    }
  }

  private static final class Open {
    private final String id;
    private final long arrivedAt;
    private final List<Try> tries = new ArrayList<>();
    private boolean over;
    private boolean metSick;

    Open(String id, long arrivedAt) {
      this.id = id;
      this.arrivedAt = arrivedAt;
    }
  }

  private final VirtualCluster cluster;
  private final boolean gossip;
  private final double rate;
  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final List<Front> fronts = new ArrayList<>();
  private int gateways;
  private long asked;
  private long servedInTime;
  private long lostToSick;

  /** Engines and queries for all instances of the cluster; they start now. */
  VirtualService(VirtualCluster cluster, int engineCount, boolean gossip, long seed, int rate) {
    this.cluster = cluster;
    this.gossip = gossip;
    this.rate = rate;
    gateways = cluster.nodes.size();
    for (int i = 0; i < engineCount; i++) {
      engines.put(
          "s-" + String.format("%08x", i + 1), new Engine("s-" + String.format("%08x", i + 1)));
    }
    SplittableRandom seeds = new SplittableRandom(seed);
    for (VirtualCluster.Node n : cluster.nodes) {
      Front f = new Front(n, seeds.nextLong());
      fronts.add(f);
      n.peerReports =
          gossip
              ? (e, level) -> f.choice.onPeerReport(cluster.agenda.now(), e, level)
              : (e, level) -> {};
    }
    fronts.forEach(Front::start);
  }

  /** The names of the engines, in order. */
  List<String> names() {
    return List.copyOf(engines.keySet());
  }

  /** An engine takes queries and says nothing more, or is well again. */
  void sick(String engine, boolean now) {
    engines.get(engine).sick = now;
  }

  /** The share of queries served within the time wanted. */
  double service() {
    return asked == 0 ? 1 : (double) servedInTime / asked;
  }

  /** Queries that were sent to a sick engine, and not served within the time wanted. */
  long lostToSick() {
    return lostToSick;
  }

  long asked() {
    return asked;
  }

  private SchedulerSettings settings(int self) {
    QueryClass one =
        new QueryClass(
            AIM,
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
        gateways,
        self,
        0,
        false,
        5 * MILLISECOND,
        0.1,
        0,
        0,
        0.1,
        List.of(one),
        List.of(new EngineKind(CORES, 0)),
        List.of(new TenantQuota(0)),
        new SchedulerLimits(4, true, false, false, true, SECOND),
        new SchedulingRules(20 * MILLISECOND, 0.3, 0, 2.5, SECOND, 0, 10 * SECOND, 5, 0.2),
        new EngineCapabilities(false, false, false, NOTES, 0.5, OvercommitPolicy.WAIT));
  }

  /** One gateway's decisions, and what they act on. */
  private final class Front implements SchedulerActions {
    private final VirtualCluster.Node node;
    private final QueryScheduler choice = new QueryScheduler(this);
    private final Map<String, Open> open = new LinkedHashMap<>();
    private final SplittableRandom arrivals;
    private final SplittableRandom times;
    private long count;

    Front(VirtualCluster.Node node, long seed) {
      this.node = node;
      arrivals = new SplittableRandom(seed);
      times = arrivals.split();
    }

    private long now() {
      return cluster.agenda.now();
    }

    void start() {
      choice.onStart(now(), times.nextLong(), settings(fronts.indexOf(this)));
      choice.onEndpoints(
          now(),
          true,
          engines.values().stream()
              .map(e -> new EngineEndpoint(e.name, EngineState.UP, 0, 0, 0, 1, 0))
              .toList());
      if (gossip) {
        engines.keySet().forEach(e -> node.gossip.addEngine(e, 0));
      }
      next();
    }

    private void next() {
      long gap = (long) (-Math.log(1 - arrivals.nextDouble()) / rate * SECOND);
      cluster.agenda.at(
          now() + gap,
          () -> {
            if (node.up) {
              Open o = new Open(node.name + "-" + count++, now());
              open.put(o.id, o);
              asked++;
              choice.onQuery(now(), new Query(o.id, 0, 0, null, DEADLINE, 0, 0, -1, false));
            }
            next();
          });
    }

    private void settle(Open o, boolean served) {
      o.over = true;
      boolean inTime = served && now() - o.arrivedAt <= AIM;
      servedInTime += inTime ? 1 : 0;
      lostToSick += o.metSick && !inTime ? 1 : 0;
      drop(o);
    }

    private void drop(Open o) {
      if (o.over && o.tries.stream().allMatch(t -> t.over)) {
        open.remove(o.id);
      }
    }

    @Override
    public void forward(String query, String engine, long timeout) {
      Open o = open.get(query);
      Engine e = engines.get(engine);
      int number = o.tries.size();
      Try t = new Try(e, now());
      o.tries.add(t);
      o.metSick |= e.sick;
      cluster.agenda.at(
          o.arrivedAt + DEADLINE - DEADLINE / 20, () -> end(o, number, AttemptOutcome.TIMEOUT));
      if (e.sick) {
        return;
      }
      e.running++;
      double slow = Math.max(1, (double) e.running / CORES);
      double time = Math.min(-Math.log(1 - times.nextDouble()), LONGEST) * MEAN_SECONDS * slow;
      long until = now() + (long) (time * SECOND);
      for (long at = now() + NOTES; at < until; at += NOTES) {
        double done = (double) (at - t.sentAt) / (until - t.sentAt);
        cluster.agenda.at(
            at,
            () -> {
              if (!t.over) {
                choice.onProgress(
                    now(), new ProgressReport(o.id, number, engine, ProgressKind.PROGRESS, done));
              }
            });
      }
      cluster.agenda.at(
          until,
          () -> {
            e.running--;
            if (!e.sick) {
              end(o, number, AttemptOutcome.SERVED);
            }
          });
    }

    private void end(Open o, int number, AttemptOutcome outcome) {
      Try t = o.tries.get(number);
      if (t.over) {
        return;
      }
      t.over = true;
      if (gossip && (!o.over || outcome == AttemptOutcome.SERVED)) {
        node.gossip.recordOutcome(
            node.clock(),
            t.engine.name,
            outcome == AttemptOutcome.SERVED
                ? OutcomeWindow.Observation.SERVED
                : OutcomeWindow.Observation.TIMED_OUT);
      }
      if (outcome == AttemptOutcome.SERVED && !o.over) {
        settle(o, true);
      }
      choice.onAttemptEnded(
          now(),
          new AttemptResult(
              o.id, number, t.engine.name, outcome, now() - t.sentAt, o.over, 0, 0, null));
      drop(o);
    }

    @Override
    public void cancelAttempt(String query, int attempt) {
      Open o = open.get(query);
      if (o != null) {
        cluster.agenda.at(now(), () -> end(o, attempt, AttemptOutcome.CANCELLED));
      }
    }

    @Override
    public void reject(String query, long retryAfter) {
      fail(query);
    }

    @Override
    public void fail(String query) {
      Open o = open.get(query);
      if (o != null && !o.over) {
        settle(o, false);
      }
    }

    @Override
    public void setTimer(long delay, long token) {
      cluster.agenda.at(now() + delay, () -> choice.onTimer(now(), token));
    }

    @Override
    public void setResources(String query, double grantMb, int priority) {
      // These engines heed neither.
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
      // Nothing is read from it.
    }
  }
}
