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
 * Plain policies to compare with, in simulated time only: they send at once, try again where the
 * class allows, and give up where nothing is left. None of them is part of the gateway.
 */
final class Baseline implements SchedulerEvents {
  /** How an engine is chosen. */
  enum Rule {
    /** Any. */
    RANDOM,
    /** The less loaded of two by own counts. */
    TWO,
    /** The one that reported least, asked each half second. */
    REPORTED,
    /** The less loaded of two by the true counts of now. */
    FRESH,
    /**
     * The least loaded of four by the true state of 50 ms ago; cold and sick engines are known as
     * such.
     */
    ORACLE
  }

  private static final long PROBE_GAP = 500 * ClusterPlan.MILLISECOND;
  private static final int FOUR = 4;

  /** The oracle gives cold engines so much of what they can do. */
  private static final double COLD_MARGIN = 0.8;

  private record Sent(Query query, List<String> tried) {}

  private final Rule rule;
  private final SchedulerActions actions;
  private final ClusterModel model;
  private final Late late;
  private final Map<String, EngineEndpoint> engines = new LinkedHashMap<>();
  private final Map<String, Integer> out = new HashMap<>();
  private final Map<String, LoadReport> reports = new HashMap<>();
  private final Map<String, Sent> open = new HashMap<>();
  private SchedulerSettings settings;
  private SplittableRandom random;

  /** What the oracles of one run see: the state of all engines, 50 ms old. */
  static final class Late {
    private static final long AGE = 50 * ClusterPlan.MILLISECOND;
    private static final long STEP = 10 * ClusterPlan.MILLISECOND;
    private final List<Map<Integer, Double>> states = new ArrayList<>();
    private Map<Integer, Double> known = new HashMap<>();

    /** Looks from now on. */
    void watch(ClusterModel model) {
      Map<Integer, Double> now = new HashMap<>();
      for (EngineModel e : model.engines.values()) {
        boolean well = e.condition() == Condition.HEALTHY;
        double room = e.spec.cores() * e.spec.speed() * (e.cold() ? COLD_MARGIN * e.warmth() : 1);
        now.put(e.id, well ? e.threads() / room : Double.POSITIVE_INFINITY);
      }
      states.add(now);
      if (states.size() > AGE / STEP) {
        known = states.remove(0);
      }
      model.time.at(model.time.now() + STEP, () -> watch(model));
    }
  }

  Baseline(Rule rule, SchedulerActions actions, ClusterModel model, Late late) {
    this.rule = rule;
    this.actions = actions;
    this.model = model;
    this.late = late;
  }

  /** The policy of that name; null for none. */
  static VirtualFleet.Policy named(String name) {
    Rule rule;
    try {
      rule = Rule.valueOf(name.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      return null;
    }
    Late late = new Late();
    return (actions, model, gateway) -> {
      if (rule == Rule.ORACLE && late.states.isEmpty()) {
        late.watch(model);
      }
      return new Baseline(rule, actions, model, late);
    };
  }

  @Override
  public void onStart(long now, long seed, SchedulerSettings s) {
    settings = s;
    random = new SplittableRandom(seed);
    actions.setTimer(PROBE_GAP, 0);
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
    Sent s = new Sent(query, new ArrayList<>());
    open.put(query.id(), s);
    send(s);
  }

  private void send(Sent s) {
    List<String> draw = new ArrayList<>(engines.keySet());
    draw.removeAll(s.tried);
    String best =
        draw.isEmpty()
            ? null
            : switch (rule) {
              case RANDOM -> draw.get(random.nextInt(draw.size()));
              case TWO -> least(draw, 2, e -> out.getOrDefault(e, 0) / cores(e));
              case REPORTED ->
                  least(
                      draw,
                      draw.size(),
                      e ->
                          reports.containsKey(e)
                              ? reports.get(e).utilization() + random.nextDouble() / 100
                              : 0);
              case FRESH ->
                  least(
                      draw, 2, e -> model.engines.get(ClusterModel.number(e)).threads() / cores(e));
              case ORACLE ->
                  least(draw, FOUR, e -> late.known.getOrDefault(ClusterModel.number(e), 0.0));
            };
    if (best == null || s.tried.size() >= settings.limits().maxAttempts()) {
      actions.reject(s.query.id(), 0);
      open.remove(s.query.id());
      return;
    }
    s.tried.add(best);
    out.merge(best, 1, Integer::sum);
    actions.forward(s.query.id(), best, 0);
  }

  private double cores(String engine) {
    return settings.kinds().get(engines.get(engine).kind()).cores();
  }

  private String least(List<String> of, int draws, ToDoubleFunction<String> load) {
    List<String> drawn = new ArrayList<>();
    for (int i = 0; i < draws; i++) {
      drawn.add(draws == of.size() ? of.get(i) : of.get(random.nextInt(of.size())));
    }
    return drawn.stream().min(Comparator.comparingDouble(load)).orElseThrow();
  }

  @Override
  public void onAttemptEnded(long now, AttemptResult end) {
    out.merge(end.engine(), -1, Integer::sum);
    Sent s = open.get(end.queryId());
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
    actions.setTimer(PROBE_GAP, 0);
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
    // The list held stays.
  }

  @Override
  public void onStreaming(long now, String query, int attempt) {
    // Answers come whole here.
  }

  @Override
  public void onProgress(long now, ProgressReport note) {
    // Progress tells these policies nothing.
  }

  @Override
  public void onPeerReport(long now, String engine, double level) {
    // Nobody speaks to them.
  }
}
