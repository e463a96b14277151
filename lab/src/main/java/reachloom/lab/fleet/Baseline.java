package reachloom.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import reachloom.lab.cluster.ClusterModel;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.QueryClass;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;

/**
 * Simple routing policies to compare with, in simulated time only. They forward at once, retry on
 * another engine if the class allows it, and give up when no engine is left. They are not part of
 * the gateway.
 */
final class Baseline implements SchedulerEvents {
  /** How an engine is chosen. */
  enum Rule {
    /** A random engine. */
    RANDOM,
    /** The less loaded of two random engines by the gateway's own counts of open attempts. */
    TWO,
    /** The engine with the lowest reported load; engines are probed every 500 ms. */
    REPORTED,
    /** The less loaded of two random engines by their true current counts. */
    FRESH,
    /**
     * The least loaded of four random engines by their true state of 50 ms ago, which includes
     * whether they are cold or unhealthy.
     */
    ORACLE
  }

  private static final long PROBE_PERIOD = 500 * ClusterPlan.MILLISECOND;
  private static final int ORACLE_DRAWS = 4;

  /** Fraction of a cold engine's capacity that the oracle uses. */
  private static final double COLD_MARGIN = 0.8;

  private record OpenQuery(Query query, List<String> triedEngines) {}

  private final Rule rule;
  private final SchedulerActions actions;
  private final ClusterModel model;
  private final DelayedState delayedState;
  private final Map<String, EngineEndpoint> engines = new LinkedHashMap<>();
  private final Map<String, Integer> openAttempts = new HashMap<>();
  private final Map<String, LoadReport> reports = new HashMap<>();
  private final Map<String, OpenQuery> open = new HashMap<>();
  private SchedulerSettings settings;
  private SplittableRandom random;

  /** The state of all engines 50 ms ago, which the oracles of one run share. */
  static final class DelayedState {
    private static final long AGE = 50 * ClusterPlan.MILLISECOND;
    private static final long STEP = 10 * ClusterPlan.MILLISECOND;
    private final List<Map<Integer, Double>> pendingLoads = new ArrayList<>();
    private Map<Integer, Double> visibleLoads = new HashMap<>();

    /** Samples the engines' state now and in every further step. */
    void sample(ClusterModel model) {
      Map<Integer, Double> now = new HashMap<>();
      for (EngineModel e : model.engines.values()) {
        boolean healthy = e.condition() == Condition.HEALTHY;
        double capacity =
            e.spec.cores() * e.spec.speed() * (e.cold() ? COLD_MARGIN * e.warmth() : 1);
        now.put(e.id, healthy ? e.threads() / capacity : Double.POSITIVE_INFINITY);
      }
      pendingLoads.add(now);
      if (pendingLoads.size() > AGE / STEP) {
        visibleLoads = pendingLoads.remove(0);
      }
      model.time.at(model.time.now() + STEP, () -> sample(model));
    }
  }

  Baseline(Rule rule, SchedulerActions actions, ClusterModel model, DelayedState delayedState) {
    this.rule = rule;
    this.actions = actions;
    this.model = model;
    this.delayedState = delayedState;
  }

  /** Returns the policy of a name; null if there is none. */
  static VirtualFleet.Policy named(String name) {
    Rule rule;
    try {
      rule = Rule.valueOf(name.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      return null;
    }
    DelayedState delayedState = new DelayedState();
    return (actions, model, gateway) -> {
      if (rule == Rule.ORACLE && delayedState.pendingLoads.isEmpty()) {
        delayedState.sample(model);
      }
      return new Baseline(rule, actions, model, delayedState);
    };
  }

  @Override
  public void onStart(long now, long seed, SchedulerSettings s) {
    settings = s;
    random = new SplittableRandom(seed);
    actions.setTimer(PROBE_PERIOD, 0);
  }

  @Override
  public void onEndpoints(long now, boolean complete, List<EngineEndpoint> entries) {
    for (EngineEndpoint e : entries) {
      if (e.state() == EngineState.UP) {
        engines.put(e.name(), e);
      } else {
        engines.remove(e.name());
      }
    }
  }

  @Override
  public void onQuery(long now, Query query) {
    OpenQuery s = new OpenQuery(query, new ArrayList<>());
    open.put(query.id(), s);
    send(s);
  }

  private void send(OpenQuery s) {
    List<String> draw = new ArrayList<>(engines.keySet());
    draw.removeAll(s.triedEngines);
    String best =
        draw.isEmpty()
            ? null
            : switch (rule) {
              case RANDOM -> draw.get(random.nextInt(draw.size()));
              case TWO -> leastLoaded(draw, 2, e -> openAttempts.getOrDefault(e, 0) / cores(e));
              case REPORTED ->
                  leastLoaded(
                      draw,
                      draw.size(),
                      e ->
                          reports.containsKey(e)
                              ? reports.get(e).utilization() + random.nextDouble() / 100
                              : 0);
              case FRESH ->
                  leastLoaded(
                      draw, 2, e -> model.engines.get(ClusterModel.number(e)).threads() / cores(e));
              case ORACLE ->
                  leastLoaded(
                      draw,
                      ORACLE_DRAWS,
                      e -> delayedState.visibleLoads.getOrDefault(ClusterModel.number(e), 0.0));
            };
    if (best == null || s.triedEngines.size() >= settings.limits().maxAttempts()) {
      actions.reject(s.query.id(), 0);
      open.remove(s.query.id());
      return;
    }
    s.triedEngines.add(best);
    openAttempts.merge(best, 1, Integer::sum);
    actions.forward(s.query.id(), best, 0);
  }

  private double cores(String engine) {
    return settings.kinds().get(engines.get(engine).kind()).cores();
  }

  private String leastLoaded(List<String> of, int draws, ToDoubleFunction<String> load) {
    List<String> drawn = new ArrayList<>();
    for (int i = 0; i < draws; i++) {
      drawn.add(draws == of.size() ? of.get(i) : of.get(random.nextInt(of.size())));
    }
    return drawn.stream().min(Comparator.comparingDouble(load)).orElseThrow();
  }

  @Override
  public void onAttemptEnded(long now, AttemptResult end) {
    openAttempts.merge(end.engine(), -1, Integer::sum);
    OpenQuery s = open.get(end.queryId());
    if (s == null) {
      return;
    }
    QueryClass kind = settings.classes().get(s.query.queryClass());
    if (end.queryFinished()) {
      open.remove(end.queryId());
    } else if (end.outcome() == AttemptOutcome.TIMEOUT
        || kind.idempotency() == Idempotency.NOT_IDEMPOTENT && end.outcome().mayHaveRun) {
      actions.fail(s.query.id());
      open.remove(s.query.id());
    } else {
      send(s);
    }
  }

  @Override
  public void onTimer(long now, long token) {
    if (rule == Rule.REPORTED) {
      engines.keySet().forEach(actions::checkHealth);
    }
    actions.setTimer(PROBE_PERIOD, 0);
  }

  @Override
  public void onHealthCheck(long now, String engine, boolean answered, LoadReport report) {
    if (answered) {
      reports.put(engine, report);
    }
  }

  @Override
  public void onClientGone(long now, String query) {
    open.remove(query);
  }

  @Override
  public void onEndpointsUnavailable(long now) {
    // The last list stays in use.
  }

  @Override
  public void onStreaming(long now, String query, int attempt) {
    // The model's answers are not streamed.
  }

  @Override
  public void onProgress(long now, ProgressReport note) {
    // These policies do not use progress reports.
  }

  @Override
  public void onPeerReport(long now, String engine, double level) {
    // These policies exchange no peer reports.
  }
}
