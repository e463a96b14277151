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
import reachloom.standin.model.EngineModel.Condition;
import reachloom.standin.model.SimulatedScheduler;

/**
 * A fleet in simulated time. Each gateway runs the real scheduler, or a baseline policy to compare
 * it with. The same plan and script give the same figures, byte for byte.
 */
final class VirtualFleet implements FaultInjector.Gateways {
  private static final long START = 1_700_000_000L * ClusterPlan.SECOND;
  private static final long SAME_ZONE_DELAY = 200_000; // nanoseconds, one way
  private static final long CROSS_ZONE_DELAY = ClusterPlan.MILLISECOND;
  private static final long PROBE_TIMEOUT = 250 * ClusterPlan.MILLISECOND;
  private static final long CANCEL_LINGER = 5 * ClusterPlan.MILLISECOND;

  /** Time after which the front end before the gateways notices that one has stopped. */
  private static final long FRONT_NOTICE = ClusterPlan.SECOND;

  private static final long SETTLE_TIME = 2 * ClusterPlan.SECOND;
  private static final long MAX_LIST_DELAY = 100 * ClusterPlan.MILLISECOND;

  /**
   * Timeouts fire this long before the deadline, or a tenth of the time from the query's arrival to
   * its deadline if that is less, as on sockets.
   */
  private static final long DEADLINE_MARGIN = 80 * ClusterPlan.MILLISECOND;

  private static final int DEADLINE_MARGIN_DIVISOR = 10;

  /** Result of a connect that the engine closes at once. */
  private static final long CLOSED = -1;

  /** Creates the scheduler of a gateway. */
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
  private final List<SimulatedGateway> gateways = new ArrayList<>();
  private final SplittableRandom random;
  private final Map<Integer, Integer> connectionsByEngine = new HashMap<>();
  private long connections;
  private long maxConnections;
  private long handshakes;
  private long probes;
  private long listLines;

  VirtualFleet(ClusterPlan plan, Policy policy) {
    this.plan = plan;
    this.policy = policy;
    model = new ClusterModel(plan, time);
    checker = new HistoryChecker(model, START);
    workload = new Workload(plan, START + SETTLE_TIME);
    faultInjector = new FaultInjector(model, this, workload, checker);
    model.onReset(this::reset);
    random = new SplittableRandom(plan.seed() * 13 + 11);
    for (int g = 0; g < plan.gateways(); g++) {
      gateways.add(new SimulatedGateway(g));
    }
  }

  /** Runs a script; returns the figures. */
  Map<String, Object> play(FaultSchedule script) {
    for (SimulatedGateway f : gateways) {
      time.at(START + (long) (random.nextDouble() * SETTLE_TIME / 2), f::start);
    }
    long end = START + SETTLE_TIME + plan.seconds() * ClusterPlan.SECOND;
    faultInjector.play(script, START + SETTLE_TIME, () -> time.now() < end);
    checker.watch(end);
    scheduleNext(end);
    time.runUntil(end);
    long longest = Workload.KINDS.stream().mapToLong(Workload.Kind::deadline).max().orElse(0);
    time.runUntil(end + longest + ClusterPlan.SECOND);
    Map<String, Object> f = checker.figures(time.now(), START + SETTLE_TIME);
    f.put("connections_max", maxConnections);
    f.put("handshakes", handshakes);
    f.put("probes_per_s", probes / plan.seconds());
    f.put("list_lines", listLines);
    return f;
  }

  private void scheduleNext(long end) {
    Arrival a = workload.next();
    if (a.at() < end) {
      time.at(
          a.at(),
          () -> {
            route(a);
            scheduleNext(end);
          });
    }
  }

  private void route(Arrival a) {
    SimulatedGateway f = gateways.get(a.gateway());
    if (!f.up && time.now() > f.changedAt + FRONT_NOTICE) {
      List<SimulatedGateway> up = gateways.stream().filter(x -> x.up).toList();
      f = up.isEmpty() ? f : up.get(random.nextInt(up.size()));
    }
    if (!f.up) {
      checker.unplaced(a);
      return;
    }
    checker.queryAccepted(a, f.gateway, time.now());
    SimulatedGateway to = f;
    f.schedule(f.incarnation, () -> to.arrive(a), 0);
  }

  @Override
  public void kill(int gateway) {
    gateways.get(gateway).stop(true);
  }

  @Override
  public void terminate(int gateway) {
    gateways.get(gateway).stop(false);
  }

  @Override
  public void halt(int gateway, boolean now) {
    gateways.get(gateway).halt(now);
  }

  @Override
  public void start(int gateway) {
    if (!gateways.get(gateway).up) {
      gateways.get(gateway).start();
    }
  }

  /** Breaks all connections from one zone's gateways to another zone's engines. */
  private void reset(int gatewayZone, int engineZone) {
    gateways.stream().filter(f -> f.zone == gatewayZone).forEach(f -> f.reset(engineZone));
  }

  private static final class OpenAttempt {
    private final EngineModel engine;
    private final long sentAt;
    private HistoryChecker.Attempt recorded;
    private boolean ended;
    private boolean cancelled;

    OpenAttempt(EngineModel engine, long sentAt) {
      this.engine = engine;
      this.sentAt = sentAt;
    }
  }

  private static final class OpenQuery {
    private final Arrival arrival;
    private final List<OpenAttempt> attempts = new ArrayList<>(1);
    private boolean ended;

    OpenQuery(Arrival arrival) {
      this.arrival = arrival;
    }
  }

  /** One gateway: carries out its scheduler's actions. */
  private final class SimulatedGateway implements SchedulerActions {
    private final int gateway;
    private final int zone;
    private final SchedulerSettings settings;
    private final Map<String, OpenQuery> open = new LinkedHashMap<>();
    private final Map<Integer, Long> links = new HashMap<>();

    /** List events held while the gateway is halted; delivered before others, as on sockets. */
    private final List<Runnable> heldListEvents = new ArrayList<>();

    private final List<Runnable> heldEvents = new ArrayList<>();
    private final long clockOffset;
    private SchedulerEvents scheduler;
    private boolean up;
    private boolean halted;
    private long changedAt;
    private int incarnation;
    private int receivedEvents;

    SimulatedGateway(int gateway) {
      this.gateway = gateway;
      zone = plan.zoneOf(gateway);
      clockOffset = (long) ((2 * random.nextDouble() - 1) * plan.clocksApart());
      settings = SchedulerSettingsReader.read(GatewayConfigurations.settings(plan, gateway));
      ClusterModel.View view = model.views.get(zone);
      view.addListener(e -> onListEvent(view));
    }

    /** Returns the time by the gateway's own clock. */
    private long clock() {
      return time.now() + clockOffset;
    }

    // ---- Lifecycle ----

    void start() {
      incarnation++;
      up = true;
      halted = false;
      changedAt = time.now();
      scheduler = policy.make(this, model, gateway);
      scheduler.onStart(clock(), random.nextLong(), settings);
      ClusterModel.View view = model.views.get(zone);
      Map<Integer, ClusterModel.ListEntry> known = new LinkedHashMap<>();
      view.log.forEach(e -> known.put(e.engine().id(), e.engine()));
      receivedEvents = view.log.size();
      listLines += known.size();
      scheduler.onEndpoints(
          clock(),
          true,
          known.values().stream()
              .filter(l -> l.state() != ClusterModel.GONE)
              .map(this::info)
              .toList());
    }

    /**
     * Stops the gateway: at once with its open queries, or, as in a planned restart, after 3 s in
     * which open queries are answered.
     */
    void stop(boolean atOnce) {
      if (!up) {
        return;
      }
      up = false;
      changedAt = time.now();
      int ownIncarnation = incarnation;
      long wait = atOnce ? 0 : 3 * ClusterPlan.SECOND;
      time.at(
          time.now() + wait,
          () -> {
            if (ownIncarnation != incarnation) {
              return;
            }
            incarnation++;
            for (OpenQuery o : List.copyOf(open.values())) {
              checker.connectionClosed(o.arrival.number(), true);
              o.attempts.stream().filter(t -> !t.ended).forEach(t -> cancelAtEngine(o, t));
            }
            open.clear();
            heldListEvents.clear();
            heldEvents.clear();
            List.copyOf(links.keySet()).forEach(this::disconnect);
          });
    }

    void halt(boolean now) {
      halted = now;
      if (!now) {
        List<Runnable> due = new ArrayList<>(heldListEvents);
        due.addAll(heldEvents);
        heldListEvents.clear();
        heldEvents.clear();
        due.forEach(Runnable::run);
      }
    }

    /**
     * Delivers an event to one incarnation of the gateway after a delay; a halted gateway gets it
     * when it resumes.
     */
    private void schedule(int ofIncarnation, Runnable event, long wait) {
      schedule(ofIncarnation, event, wait, heldEvents);
    }

    private void schedule(int ofIncarnation, Runnable event, long wait, List<Runnable> held) {
      time.at(
          time.now() + wait,
          () -> {
            if (ofIncarnation == incarnation) {
              if (halted) {
                held.add(event);
              } else {
                event.run();
              }
            }
          });
    }

    private void onListEvent(ClusterModel.View view) {
      schedule(
          incarnation,
          () -> {
            if (view.isDown() || !up) {
              return;
            }
            List<EngineEndpoint> news =
                view
                    .log
                    .subList(Math.min(receivedEvents, view.log.size()), view.log.size())
                    .stream()
                    .map(e -> info(e.engine()))
                    .toList();
            receivedEvents = view.log.size();
            listLines += news.size();
            if (!news.isEmpty()) {
              scheduler.onEndpoints(clock(), false, news);
            }
          },
          (long) (random.nextDouble() * MAX_LIST_DELAY),
          heldListEvents);
    }

    private EngineEndpoint info(ClusterModel.ListEntry l) {
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
      OpenQuery o = new OpenQuery(a);
      open.put(a.id(), o);
      long left = a.at() + a.of().deadline() - time.now();
      if (left <= 0) {
        settle(o, HistoryChecker.Answer.FAILED);
        return;
      }
      scheduler.onQuery(clock(), new Query(a.id(), a.kind(), 0, null, left, 0, 0, -1, false));
    }

    private void settle(OpenQuery o, HistoryChecker.Answer answer) {
      if (!o.ended) {
        o.ended = true;
        checker.answered(o.arrival.number(), answer, time.now());
      }
      removeIfDone(o);
    }

    private void removeIfDone(OpenQuery o) {
      if (o.ended && o.attempts.stream().allMatch(t -> t.ended)) {
        open.remove(o.arrival.id());
      }
    }

    private long linkDelay(ClusterModel.Link link, int engineZone) {
      return (engineZone == zone ? SAME_ZONE_DELAY : CROSS_ZONE_DELAY) + link.delay;
    }

    /**
     * Opens a connection if necessary; returns how long it takes to be established, 0 if it already
     * is, or {@link VirtualFleet#CLOSED} if the engine closes it at once.
     */
    private long connect(int engine, long delay) {
      if (!links.containsKey(engine)
          && connectionsByEngine.getOrDefault(engine, 0) >= model.mostConnections(engine)) {
        handshakes++;
        return CLOSED;
      }
      Long last = links.put(engine, time.now());
      if (last != null && time.now() - last < GatewayConfigurations.KEEPALIVE) {
        return 0;
      }
      handshakes++;
      connections += last == null ? 1 : 0;
      connectionsByEngine.merge(engine, last == null ? 1 : 0, Integer::sum);
      maxConnections = Math.max(maxConnections, connections);
      return 2 * delay;
    }

    private void disconnect(int engine) {
      boolean there = links.remove(engine) != null;
      connections -= there ? 1 : 0;
      connectionsByEngine.merge(engine, there ? -1 : 0, Integer::sum);
    }

    @Override
    public void forward(String query, String engine, long timeout) {
      OpenQuery o = open.get(query);
      EngineModel e = model.engines.get(ClusterModel.number(engine));
      int attempt = o.attempts.size();
      OpenAttempt t = new OpenAttempt(e, time.now());
      o.attempts.add(t);
      Arrival a = o.arrival;
      long deadline = a.at() + a.of().deadline();
      schedule(
          incarnation,
          () -> finish(o, attempt, AttemptOutcome.TIMEOUT, 0, 0),
          deadline
              - Math.min(DEADLINE_MARGIN, (deadline - a.at()) / DEADLINE_MARGIN_DIVISOR)
              - time.now());
      int engineZone = plan.zoneOfEngine(e.id);
      ClusterModel.Link link = model.link(zone, engineZone);
      long delay = linkDelay(link, engineZone);
      long up = connect(e.id, delay);
      if (up == CLOSED) {
        schedule(incarnation, () -> finish(o, attempt, AttemptOutcome.RESET, 0, 0), 2 * delay);
        return;
      }
      long arrives = up + delay;
      int ownIncarnation = incarnation;
      if (link.cutOut || link.cutIn && arrives > delay) {
        return; // no answer: the scheduler detects it by the missing signals
      }
      time.at(
          time.now() + arrives,
          () -> {
            if (ownIncarnation == incarnation && !t.cancelled) {
              receive(o, attempt, t, link, delay);
            }
          });
    }

    private void receive(
        OpenQuery o, int attempt, OpenAttempt t, ClusterModel.Link link, long delay) {
      Arrival a = o.arrival;
      EngineModel e = t.engine;
      if (e.condition() == Condition.DOWN) {
        disconnect(e.id);
        answer(link, delay, () -> finish(o, attempt, AttemptOutcome.UNREACHED, 0, 0));
        return;
      }
      int ownIncarnation = incarnation;
      EngineModel.QueryListener listener =
          new EngineModel.QueryListener() {
            @Override
            public void served(double work, double memoryMb) {
              checker.attemptEnded(t.recorded, time.now());
              answer(
                  link,
                  delay,
                  () -> finish(o, attempt, AttemptOutcome.SERVED, (long) (work * 1e3), memoryMb));
            }

            @Override
            public void error() {
              checker.attemptEnded(t.recorded, time.now());
              answer(link, delay, () -> finish(o, attempt, AttemptOutcome.ERROR, 0, 0));
            }

            @Override
            public void progress(double share) {
              if (ownIncarnation == incarnation && !t.ended) {
                answer(
                    link,
                    delay,
                    () ->
                        scheduler.onProgress(
                            clock(),
                            new ProgressReport(
                                a.id(),
                                attempt,
                                ClusterModel.name(e.id),
                                ProgressKind.PROGRESS,
                                share)));
              }
            }

            @Override
            public void died() {
              checker.attemptEnded(t.recorded, time.now());
              disconnect(e.id);
              answer(link, delay, () -> finish(o, attempt, AttemptOutcome.RESET, 0, 0));
            }
          };
      boolean runs = e.submit(a.id(), a.work(), a.of().threads(), a.of().memoryMb(), listener);
      t.recorded = checker.attemptReceived(a.number(), e.id, gateway, time.now(), t.sentAt, runs);
      if (!runs) {
        AttemptOutcome why =
            e.condition() == Condition.DOWN ? AttemptOutcome.RESET : AttemptOutcome.FULL;
        answer(link, delay, () -> finish(o, attempt, why, 0, 0));
      }
    }

    private void answer(ClusterModel.Link link, long delay, Runnable event) {
      if (!link.cutIn) {
        schedule(incarnation, event, delay);
      }
    }

    private void finish(
        OpenQuery o, int attempt, AttemptOutcome outcome, long costMs, double memoryMb) {
      OpenAttempt t = o.attempts.get(attempt);
      if (t.ended) {
        return;
      }
      t.ended = true;
      if (outcome == AttemptOutcome.TIMEOUT) {
        cancelAtEngine(o, t);
      }
      if (outcome == AttemptOutcome.SERVED && !o.ended) {
        settle(o, HistoryChecker.Answer.SERVED);
      }
      scheduler.onAttemptEnded(
          clock(),
          new AttemptResult(
              o.arrival.id(),
              attempt,
              ClusterModel.name(t.engine.id),
              outcome,
              time.now() - t.sentAt,
              o.ended,
              costMs,
              memoryMb,
              null));
      removeIfDone(o);
    }

    private void reset(int engineZone) {
      List.copyOf(links.keySet()).stream()
          .filter(e -> plan.zoneOfEngine(e) == engineZone)
          .forEach(this::disconnect);
      for (OpenQuery o : List.copyOf(open.values())) {
        for (int i = 0; i < o.attempts.size(); i++) {
          OpenAttempt t = o.attempts.get(i);
          if (!t.ended && plan.zoneOfEngine(t.engine.id) == engineZone) {
            int attempt = i;
            t.cancelled = true;
            t.engine.cancel(o.arrival.id());
            checker.attemptEnded(t.recorded, time.now());
            schedule(
                incarnation, () -> finish(o, attempt, AttemptOutcome.RESET, 0, 0), SAME_ZONE_DELAY);
          }
        }
      }
    }

    /** Cancels an attempt at its engine, unless the link to the engine is cut. */
    private void cancelAtEngine(OpenQuery o, OpenAttempt t) {
      t.cancelled = true;
      int engineZone = plan.zoneOfEngine(t.engine.id);
      ClusterModel.Link link = model.link(zone, engineZone);
      if (!link.cutOut) {
        time.at(
            time.now() + linkDelay(link, engineZone),
            () -> {
              t.engine.cancel(o.arrival.id());
              checker.attemptEnded(t.recorded, time.now());
            });
      }
    }

    @Override
    public void cancelAttempt(String query, int attempt) {
      OpenQuery o = open.get(query);
      if (o != null && !o.attempts.get(attempt).ended) {
        cancelAtEngine(o, o.attempts.get(attempt));
        schedule(
            incarnation, () -> finish(o, attempt, AttemptOutcome.CANCELLED, 0, 0), CANCEL_LINGER);
      }
    }

    @Override
    public void reject(String query, long retryAfter) {
      OpenQuery o = open.get(query);
      if (o != null) {
        settle(o, HistoryChecker.Answer.REFUSED);
      }
    }

    @Override
    public void fail(String query) {
      OpenQuery o = open.get(query);
      if (o != null) {
        settle(o, HistoryChecker.Answer.FAILED);
      }
    }

    @Override
    public void setTimer(long delay, long token) {
      schedule(incarnation, () -> scheduler.onTimer(clock(), token), delay);
    }

    @Override
    public void checkHealth(String engine) {
      probes++;
      EngineModel e = model.engines.get(ClusterModel.number(engine));
      int engineZone = plan.zoneOfEngine(e.id);
      ClusterModel.Link link = model.link(zone, engineZone);
      long delay = linkDelay(link, engineZone);
      long up = connect(e.id, delay);
      long arrives = up + delay;
      if (up == CLOSED
          || !link.healthy() && (link.cutIn || link.cutOut)
          || e.condition() == Condition.DOWN) {
        schedule(
            incarnation,
            () -> scheduler.onHealthCheck(clock(), engine, false, null),
            PROBE_TIMEOUT);
        return;
      }
      schedule(
          incarnation,
          () -> {
            EngineModel.Load l = e.load();
            schedule(
                incarnation,
                () ->
                    scheduler.onHealthCheck(
                        clock(), engine, true, new LoadReport(l.util(), l.queue(), l.memory(), 0)),
                delay);
          },
          arrives);
    }

    @Override
    public void setResources(String query, double grantMb, int priority) {
      // The model's engines ignore memory grants and priorities.
    }

    @Override
    public void watchEndpoints() {
      // The list is delivered without a request.
    }

    @Override
    public void log(String line) {
      // Log lines are discarded.
    }
  }
}
