package reachloom.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reachloom.config.SchedulerSettingsReader;
import reachloom.lab.cluster.ClusterModel;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.FaultInjector;
import reachloom.lab.cluster.FaultSchedule;
import reachloom.lab.cluster.GatewayConfigurations;
import reachloom.lab.cluster.HistoryChecker;
import reachloom.lab.cluster.Workload;
import reachloom.lab.cluster.Workload.Arrival;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.SimulatedScheduler;

/**
 * The fleet in simulated time: each gateway hosts the real decisions, or a policy to compare them
 * with. The same plan and script give the same figures to the byte.
 */
final class VirtualFleet implements FaultInjector.Gateways {
  private static final long START = 1_700_000_000L * ClusterPlan.SECOND;
  private static final long NEAR = 200_000; // nanoseconds, one way
  private static final long FAR = ClusterPlan.MILLISECOND;
  private static final long PROBE_TIMEOUT = 250 * ClusterPlan.MILLISECOND;
  private static final long CANCEL_LINGER = 5 * ClusterPlan.MILLISECOND;

  /** The front in front of the gateways learns so late that one has died. */
  private static final long FRONT_NOTICE = ClusterPlan.SECOND;

  private static final long SETTLE = 2 * ClusterPlan.SECOND;
  private static final long HEARD = 100 * ClusterPlan.MILLISECOND;

  /** Time-outs come so long before the deadline, or a part of its time, as on sockets. */
  private static final long DEADLINE_MARGIN = 80 * ClusterPlan.MILLISECOND;

  private static final int DEADLINE_MARGIN_PART = 10;

  /** A connection that the engine closes at once. */
  private static final long CLOSED = -1;

  /** Makes the decisions of a gateway. */
  interface Policy {
    SchedulerEvents make(SchedulerActions actions, ClusterModel model, int gateway);
  }

  private final ClusterPlan plan;
  private final Policy policy;
  private final SimulatedScheduler time = new SimulatedScheduler(START);
  private final ClusterModel model;
  private final HistoryChecker checker;
  private final Workload workload;
  private final FaultInjector faultInjector;
  private final List<Front> fronts = new ArrayList<>();
  private final SplittableRandom random;
  private final Map<Integer, Integer> held = new HashMap<>();
  private long connections;
  private long connectionsMost;
  private long handshakes;
  private long probes;
  private long listLines;

  VirtualFleet(ClusterPlan plan, Policy policy) {
    this.plan = plan;
    this.policy = policy;
    model = new ClusterModel(plan, time);
    checker = new HistoryChecker(model, START);
    workload = new Workload(plan, START + SETTLE);
    faultInjector = new FaultInjector(model, this, workload, checker);
    model.onReset(this::reset);
    random = new SplittableRandom(plan.seed() * 13 + 11);
    for (int g = 0; g < plan.gateways(); g++) {
      fronts.add(new Front(g));
    }
  }

  /** Plays the script; gives the figures. */
  Map<String, Object> play(FaultSchedule script) {
    for (Front f : fronts) {
      time.at(START + (long) (random.nextDouble() * SETTLE / 2), f::start);
    }
    long end = START + SETTLE + plan.seconds() * ClusterPlan.SECOND;
    faultInjector.play(script, START + SETTLE, () -> time.now() < end);
    checker.watch(end);
    next(end);
    time.runUntil(end);
    long longest = Workload.KINDS.stream().mapToLong(Workload.Kind::deadline).max().orElse(0);
    time.runUntil(end + longest + ClusterPlan.SECOND);
    Map<String, Object> f = checker.figures(time.now(), START + SETTLE);
    f.put("connections_max", connectionsMost);
    f.put("handshakes", handshakes);
    f.put("probes_per_s", probes / plan.seconds());
    f.put("list_lines", listLines);
    return f;
  }

  private void next(long end) {
    Arrival a = workload.next();
    if (a.at() < end) {
      time.at(
          a.at(),
          () -> {
            place(a);
            next(end);
          });
    }
  }

  private void place(Arrival a) {
    Front f = fronts.get(a.gateway());
    if (!f.up && time.now() > f.changedAt + FRONT_NOTICE) {
      List<Front> up = fronts.stream().filter(x -> x.up).toList();
      f = up.isEmpty() ? f : up.get(random.nextInt(up.size()));
    }
    if (!f.up) {
      checker.unplaced(a);
      return;
    }
    checker.queryAccepted(a, f.number, time.now());
    Front to = f;
    f.tell(f.life, () -> to.arrive(a), 0);
  }

  @Override
  public void kill(int gateway) {
    fronts.get(gateway).die(true);
  }

  @Override
  public void terminate(int gateway) {
    fronts.get(gateway).die(false);
  }

  @Override
  public void halt(int gateway, boolean now) {
    fronts.get(gateway).halt(now);
  }

  @Override
  public void start(int gateway) {
    if (!fronts.get(gateway).up) {
      fronts.get(gateway).start();
    }
  }

  /** All connections from one zone to the engines of another break at once. */
  private void reset(int gatewayZone, int engineZone) {
    fronts.stream().filter(f -> f.zone == gatewayZone).forEach(f -> f.reset(engineZone));
  }

  private static final class Out {
    private final EngineModel engine;
    private final long sentAt;
    private HistoryChecker.Attempt seen;
    private boolean over;
    private boolean quit;

    Out(EngineModel engine, long sentAt) {
      this.engine = engine;
      this.sentAt = sentAt;
    }
  }

  private static final class Open {
    private final Arrival arrival;
    private final List<Out> tries = new ArrayList<>(1);
    private boolean over;

    Open(Arrival arrival) {
      this.arrival = arrival;
    }
  }

  /** One gateway: carries out what its decisions say. */
  private final class Front implements SchedulerActions {
    private final int number;
    private final int zone;
    private final SchedulerSettings settings;
    private final Map<String, Open> open = new LinkedHashMap<>();
    private final Map<Integer, Long> links = new HashMap<>();

    /** What came while it stood still: the list of engines goes first, as on sockets. */
    private final List<Runnable> waitingFirst = new ArrayList<>();

    private final List<Runnable> waiting = new ArrayList<>();
    private final long clockOff;
    private SchedulerEvents module;
    private boolean up;
    private boolean halted;
    private long changedAt;
    private int life;
    private int heardOf;

    Front(int number) {
      this.number = number;
      zone = plan.zoneOf(number);
      clockOff = (long) ((2 * random.nextDouble() - 1) * plan.clocksApart());
      settings = SchedulerSettingsReader.read(GatewayConfigurations.settings(plan, number));
      ClusterModel.View view = model.views.get(zone);
      view.addListener(e -> hear(view));
    }

    /** What this gateway takes the time to be. */
    private long clock() {
      return time.now() + clockOff;
    }

    // ---- Its life ----

    void start() {
      life++;
      up = true;
      halted = false;
      changedAt = time.now();
      module = policy.make(this, model, number);
      module.onStart(clock(), random.nextLong(), settings);
      ClusterModel.View view = model.views.get(zone);
      Map<Integer, ClusterModel.Listed> known = new LinkedHashMap<>();
      view.log.forEach(e -> known.put(e.engine().id(), e.engine()));
      heardOf = view.log.size();
      listLines += known.size();
      module.onEndpoints(
          clock(),
          true,
          known.values().stream()
              .filter(l -> l.state() != ClusterModel.GONE)
              .map(this::info)
              .toList());
    }

    /**
     * It ends; at once, with all that it has open, or as at a planned restart once that is
     * answered.
     */
    void die(boolean atOnce) {
      if (!up) {
        return;
      }
      up = false;
      changedAt = time.now();
      int mine = life;
      long wait = atOnce ? 0 : 3 * ClusterPlan.SECOND;
      time.at(
          time.now() + wait,
          () -> {
            if (mine != life) {
              return;
            }
            life++;
            for (Open o : List.copyOf(open.values())) {
              checker.connectionClosed(o.arrival.number(), true);
              o.tries.stream().filter(t -> !t.over).forEach(t -> quit(o, t));
            }
            open.clear();
            waitingFirst.clear();
            waiting.clear();
            List.copyOf(links.keySet()).forEach(this::disconnect);
          });
    }

    void halt(boolean now) {
      halted = now;
      if (!now) {
        List<Runnable> due = new ArrayList<>(waitingFirst);
        due.addAll(waiting);
        waitingFirst.clear();
        waiting.clear();
        due.forEach(Runnable::run);
      }
    }

    /**
     * Does something of that life of the gateway after a while; one that stands still hears it
     * later.
     */
    private void tell(int of, Runnable event, long wait) {
      tell(of, event, wait, waiting);
    }

    private void tell(int of, Runnable event, long wait, List<Runnable> line) {
      time.at(
          time.now() + wait,
          () -> {
            if (of == life) {
              if (halted) {
                line.add(event);
              } else {
                event.run();
              }
            }
          });
    }

    private void hear(ClusterModel.View view) {
      tell(
          life,
          () -> {
            if (view.isDown() || !up) {
              return;
            }
            List<EngineEndpoint> news =
                view.log.subList(Math.min(heardOf, view.log.size()), view.log.size()).stream()
                    .map(e -> info(e.engine()))
                    .toList();
            heardOf = view.log.size();
            listLines += news.size();
            if (!news.isEmpty()) {
              module.onEndpoints(clock(), false, news);
            }
          },
          (long) (random.nextDouble() * HEARD),
          waitingFirst);
    }

    private EngineEndpoint info(ClusterModel.Listed l) {
      return new EngineEndpoint(
          ClusterModel.name(l.id()),
          EngineState.values()[l.state()],
          plan.isLarge(l.id()) ? 1 : 0,
          plan.zoneOfEngine(l.id()),
          0,
          1,
          l.startedMs() * ClusterPlan.MILLISECOND);
    }

    // ---- Queries ----

    void arrive(Arrival a) {
      Open o = new Open(a);
      open.put(a.id(), o);
      long left = a.at() + a.of().deadline() - time.now();
      if (left <= 0) {
        settle(o, HistoryChecker.Answer.FAILED);
        return;
      }
      module.onQuery(clock(), new Query(a.id(), a.kind(), 0, null, left, 0, 0, -1, false));
    }

    private void settle(Open o, HistoryChecker.Answer answer) {
      if (!o.over) {
        o.over = true;
        checker.answered(o.arrival.number(), answer, time.now());
      }
      drop(o);
    }

    private void drop(Open o) {
      if (o.over && o.tries.stream().allMatch(t -> t.over)) {
        open.remove(o.arrival.id());
      }
    }

    private long way(ClusterModel.Link link, int engineZone) {
      return (engineZone == zone ? NEAR : FAR) + link.delay;
    }

    /** Books the connection; gives how long it takes until it is up. */
    private long connect(int engine, long way) {
      if (!links.containsKey(engine)
          && held.getOrDefault(engine, 0) >= model.mostConnections(engine)) {
        handshakes++;
        return CLOSED;
      }
      Long last = links.put(engine, time.now());
      if (last != null && time.now() - last < GatewayConfigurations.KEEPALIVE) {
        return 0;
      }
      handshakes++;
      connections += last == null ? 1 : 0;
      held.merge(engine, last == null ? 1 : 0, Integer::sum);
      connectionsMost = Math.max(connectionsMost, connections);
      return 2 * way;
    }

    private void disconnect(int engine) {
      boolean there = links.remove(engine) != null;
      connections -= there ? 1 : 0;
      held.merge(engine, there ? -1 : 0, Integer::sum);
    }

    @Override
    public void forward(String query, String engine, long timeout) {
      Open o = open.get(query);
      EngineModel e = model.engines.get(ClusterModel.number(engine));
      int place = o.tries.size();
      Out t = new Out(e, time.now());
      o.tries.add(t);
      Arrival a = o.arrival;
      long deadline = a.at() + a.of().deadline();
      tell(
          life,
          () -> finish(o, place, AttemptOutcome.TIMEOUT, 0, 0),
          deadline
              - Math.min(DEADLINE_MARGIN, (deadline - a.at()) / DEADLINE_MARGIN_PART)
              - time.now());
      int engineZone = plan.zoneOfEngine(e.id);
      ClusterModel.Link link = model.link(zone, engineZone);
      long way = way(link, engineZone);
      long up = connect(e.id, way);
      if (up == CLOSED) {
        tell(life, () -> finish(o, place, AttemptOutcome.RESET, 0, 0), 2 * way);
        return;
      }
      long arrives = up + way;
      int mine = life;
      if (link.cutOut || link.cutIn && arrives > way) {
        return; // silence: it is found by its missing signs
      }
      time.at(
          time.now() + arrives,
          () -> {
            if (mine == life && !t.quit) {
              come(o, place, t, link, way);
            }
          });
    }

    private void come(Open o, int place, Out t, ClusterModel.Link link, long way) {
      Arrival a = o.arrival;
      EngineModel e = t.engine;
      if (e.condition() == EngineModel.Condition.DOWN) {
        disconnect(e.id);
        answer(link, way, () -> finish(o, place, AttemptOutcome.UNREACHED, 0, 0));
        return;
      }
      int mine = life;
      EngineModel.QueryListener asker =
          new EngineModel.QueryListener() {
            @Override
            public void served(double work, double memoryMb) {
              checker.attemptEnded(t.seen, time.now());
              answer(
                  link,
                  way,
                  () -> finish(o, place, AttemptOutcome.SERVED, (long) (work * 1e3), memoryMb));
            }

            @Override
            public void error() {
              checker.attemptEnded(t.seen, time.now());
              answer(link, way, () -> finish(o, place, AttemptOutcome.ERROR, 0, 0));
            }

            @Override
            public void progress(double share) {
              if (mine == life && !t.over) {
                answer(
                    link,
                    way,
                    () ->
                        module.onProgress(
                            clock(),
                            new ProgressReport(
                                a.id(),
                                place,
                                ClusterModel.name(e.id),
                                ProgressKind.PROGRESS,
                                share)));
              }
            }

            @Override
            public void died() {
              checker.attemptEnded(t.seen, time.now());
              disconnect(e.id);
              answer(link, way, () -> finish(o, place, AttemptOutcome.RESET, 0, 0));
            }
          };
      boolean runs = e.submit(a.id(), a.work(), a.of().threads(), a.of().memoryMb(), asker);
      t.seen = checker.attemptReceived(a.number(), e.id, number, time.now(), t.sentAt, runs);
      if (!runs) {
        AttemptOutcome why =
            e.condition() == EngineModel.Condition.DOWN
                ? AttemptOutcome.RESET
                : AttemptOutcome.FULL;
        answer(link, way, () -> finish(o, place, why, 0, 0));
      }
    }

    private void answer(ClusterModel.Link link, long way, Runnable event) {
      if (!link.cutIn) {
        tell(life, event, way);
      }
    }

    private void finish(Open o, int place, AttemptOutcome outcome, long costMs, double memoryMb) {
      Out t = o.tries.get(place);
      if (t.over) {
        return;
      }
      t.over = true;
      if (outcome == AttemptOutcome.TIMEOUT) {
        quit(o, t);
      }
      if (outcome == AttemptOutcome.SERVED && !o.over) {
        settle(o, HistoryChecker.Answer.SERVED);
      }
      module.onAttemptEnded(
          clock(),
          new AttemptResult(
              o.arrival.id(),
              place,
              ClusterModel.name(t.engine.id),
              outcome,
              time.now() - t.sentAt,
              o.over,
              costMs,
              memoryMb,
              null));
      drop(o);
    }

    private void reset(int engineZone) {
      List.copyOf(links.keySet()).stream()
          .filter(e -> plan.zoneOfEngine(e) == engineZone)
          .forEach(this::disconnect);
      for (Open o : List.copyOf(open.values())) {
        for (int i = 0; i < o.tries.size(); i++) {
          Out t = o.tries.get(i);
          if (!t.over && plan.zoneOfEngine(t.engine.id) == engineZone) {
            int place = i;
            t.quit = true;
            t.engine.cancel(o.arrival.id());
            checker.attemptEnded(t.seen, time.now());
            tell(life, () -> finish(o, place, AttemptOutcome.RESET, 0, 0), NEAR);
          }
        }
      }
    }

    /** Gives an attempt up at its engine, as far as the way goes. */
    private void quit(Open o, Out t) {
      t.quit = true;
      int engineZone = plan.zoneOfEngine(t.engine.id);
      ClusterModel.Link link = model.link(zone, engineZone);
      if (!link.cutOut) {
        time.at(
            time.now() + way(link, engineZone),
            () -> {
              t.engine.cancel(o.arrival.id());
              checker.attemptEnded(t.seen, time.now());
            });
      }
    }

    @Override
    public void cancelAttempt(String query, int attempt) {
      Open o = open.get(query);
      if (o != null && !o.tries.get(attempt).over) {
        quit(o, o.tries.get(attempt));
        tell(life, () -> finish(o, attempt, AttemptOutcome.CANCELLED, 0, 0), CANCEL_LINGER);
      }
    }

    @Override
    public void reject(String query, long retryAfter) {
      Open o = open.get(query);
      if (o != null) {
        settle(o, HistoryChecker.Answer.REFUSED);
      }
    }

    @Override
    public void fail(String query) {
      Open o = open.get(query);
      if (o != null) {
        settle(o, HistoryChecker.Answer.FAILED);
      }
    }

    @Override
    public void setTimer(long delay, long token) {
      tell(life, () -> module.onTimer(clock(), token), delay);
    }

    @Override
    public void checkHealth(String engine) {
      probes++;
      EngineModel e = model.engines.get(ClusterModel.number(engine));
      int engineZone = plan.zoneOfEngine(e.id);
      ClusterModel.Link link = model.link(zone, engineZone);
      long way = way(link, engineZone);
      long up = connect(e.id, way);
      long arrives = up + way;
      if (up == CLOSED
          || !link.healthy() && (link.cutIn || link.cutOut)
          || e.condition() == EngineModel.Condition.DOWN) {
        tell(life, () -> module.onHealthCheck(clock(), engine, false, null), PROBE_TIMEOUT);
        return;
      }
      tell(
          life,
          () -> {
            EngineModel.Load l = e.load();
            tell(
                life,
                () ->
                    module.onHealthCheck(
                        clock(), engine, true, new LoadReport(l.util(), l.queue(), l.memory(), 0)),
                way);
          },
          arrives);
    }

    @Override
    public void setResources(String query, double grantMb, int priority) {
      // These engines heed neither.
    }

    @Override
    public void watchEndpoints() {
      // The list is told unasked.
    }

    @Override
    public void log(String line) {
      // Nothing is read from it.
    }
  }
}
