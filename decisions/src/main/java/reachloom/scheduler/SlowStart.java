package reachloom.scheduler;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import reachloom.balancing.SlotRotation;
import reachloom.discovery.IncarnationTimes;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.scheduler.api.SchedulingRules;

/**
 * Slow start: limits the work that all gateways together send to an engine that is warming up,
 * without coordination between them. The time since the engine's start is divided into slots, each
 * shared by a few gateways in rotation: the owner may use half of a slot's work, so that a long
 * query fits, the others equal parts of the rest. Unused work lapses, so that all gateways together
 * keep the budget whatever their traffic. A gateway that started within a slot does not use it,
 * since it may have used its part before a restart.
 */
final class SlowStart implements EngineListener, ForwardingListener {
  /**
   * Slots per window of the rule; few, since a query whose work exceeds this gateway's share of a
   * slot is not sent to the engine in that slot.
   */
  private static final int SLOTS_PER_WINDOW = 2;

  /** Share of the budget that is used, since a window overlaps one slot more than fit in it. */
  private static final double BUDGET_MARGIN = 0.65;

  /** Maximum number of gateways per slot; one alone may have too few queries to use it. */
  private static final int MAX_SHARERS = 5;

  /** Share of a slot's work for its owner. */
  private static final double OWNER_SHARE = 0.5;

  /** Utilization of cores that the rule calls capacity. */
  private static final double BUSY_CORES_AT_CAPACITY = 0.85;

  /** The warm-up of one engine; private to {@link SlowStart}. */
  static final class WarmUp {
    /** Start of the engine by the clock of this gateway; 0 for long ago. */
    private long startedAtNanos;

    private long warmAtNanos;

    /** The latest slot, this gateway's share of it, and the work sent in it. */
    private long slot = Long.MIN_VALUE;

    private double slotShare;
    private double spentSeconds;
  }

  private final CostEstimator estimator;
  private final SchedulingRules rules;
  private final int gateways;
  private final int self;
  private final long gatewayStartedAtNanos;
  private final long slotNanos;
  private final IncarnationTimes incarnationTimes = new IncarnationTimes();

  /** Engines that are up and warming up; warm ones are removed lazily. */
  private final Set<EngineRecord> warmingUp = new LinkedHashSet<>();

  /**
   * Creates a slow start without engines.
   *
   * @param self the number of this gateway
   * @param nowNanos the start of this gateway
   */
  SlowStart(CostEstimator estimator, SchedulerSettings settings, int self, long nowNanos) {
    this.estimator = estimator;
    this.rules = settings.rules();
    this.gateways = settings.gateways();
    this.self = self;
    this.gatewayStartedAtNanos = nowNanos;
    this.slotNanos = Math.max(1, rules.overloadWindowNanos() / SLOTS_PER_WINDOW);
  }

  // ---- Engines that are warming up ----

  @Override
  public void onEngineListed(long nowNanos, EngineRecord engine, boolean isIncremental) {
    long since = engine.endpoint().incarnation();
    if (since > 0) {
      engine.warmUp.startedAtNanos = incarnationTimes.toLocalNanos(nowNanos, since, isIncremental);
      engine.warmUp.warmAtNanos = engine.warmUp.startedAtNanos + rules.slowStartNanos();
    }
  }

  @Override
  public void onEngineUp(long nowNanos, EngineRecord engine) {
    if (isWarmingUp(nowNanos, engine)) {
      warmingUp.add(engine);
    }
  }

  @Override
  public void onEngineDown(EngineRecord engine) {
    warmingUp.remove(engine);
  }

  /** Whether an engine is warming up. */
  boolean isWarmingUp(long nowNanos, EngineRecord engine) {
    return nowNanos < engine.warmUp.warmAtNanos;
  }

  /** The engines that are up and warming up, in the order in which they came up. */
  Stream<EngineRecord> warmingUp(long nowNanos) {
    warmingUp.removeIf(e -> !isWarmingUp(nowNanos, e));
    return warmingUp.stream();
  }

  /** Those of the given engines that are warming up. */
  List<EngineRecord> warmingUp(long nowNanos, List<EngineRecord> engines) {
    return engines.stream().filter(e -> isWarmingUp(nowNanos, e)).toList();
  }

  // ---- The budget ----

  /** Whether an engine is warm, or the query fits this gateway's share of the current slot. */
  boolean allows(long nowNanos, QueryRecord query, EngineRecord engine) {
    return !isWarmingUp(nowNanos, engine) || isWithinBudget(nowNanos, query, engine);
  }

  private boolean isWithinBudget(long nowNanos, QueryRecord query, EngineRecord engine) {
    WarmUp warmUp = engine.warmUp;
    long slot = slot(nowNanos, engine);
    if (warmUp.slot != slot) {
      warmUp.slot = slot;
      warmUp.slotShare =
          warmUp.startedAtNanos + slot * slotNanos >= gatewayStartedAtNanos
              ? shareOfSlot(slot, engine)
              : 0;
      warmUp.spentSeconds = 0;
    }
    return warmUp.slotShare > 0
        && warmUp.spentSeconds + chargeSeconds(query)
            <= warmUp.slotShare * budgetSeconds(nowNanos, engine);
  }

  /** This gateway's share of a slot's work, from 0 to 1. */
  private double shareOfSlot(long slot, EngineRecord engine) {
    int sharers = Math.min(MAX_SHARERS, gateways);
    int place = SlotRotation.place(engine.name, slot, sharers, gateways, self % gateways);
    double rest = sharers == 1 ? 0 : (1 - OWNER_SHARE) / (sharers - 1);
    return place < 0 ? 0 : place > 0 ? rest : 1 - rest * (sharers - 1);
  }

  /**
   * Work that all gateways together may send within one slot, in seconds. Capacity is assumed to
   * grow with the square of the time since the start.
   */
  private double budgetSeconds(long nowNanos, EngineRecord engine) {
    double age =
        Math.max(0, 1 - (double) (engine.warmUp.warmAtNanos - nowNanos) / rules.slowStartNanos());
    double speed = rules.slowStartShare() + (1 - rules.slowStartShare()) * age * age;
    return BUDGET_MARGIN
        * rules.overloadMultiple()
        * speed
        * BUSY_CORES_AT_CAPACITY
        * engine.cores
        * Nanoseconds.toSeconds(slotNanos);
  }

  /**
   * Work that counts for a query: the average of its class, as in the rule, or its own estimate if
   * that is higher.
   */
  private double chargeSeconds(QueryRecord query) {
    return Math.max(estimator.averageWorkSeconds(query), estimator.workSeconds(query));
  }

  @Override
  public void onForwarded(long nowNanos, AttemptRecord attempt) {
    if (isWarmingUp(nowNanos, attempt.engine)) {
      attempt.engine.warmUp.spentSeconds += chargeSeconds(attempt.query);
    }
  }

  /** Whether an attempt's engine is warm, or the slot of the attempt is still the current one. */
  boolean mayStillStart(long nowNanos, AttemptRecord attempt) {
    EngineRecord engine = attempt.engine;
    return !isWarmingUp(nowNanos, engine)
        || slot(attempt.forwardedAtNanos, engine) == slot(nowNanos, engine);
  }

  private long slot(long nanos, EngineRecord engine) {
    return Math.floorDiv(nanos - engine.warmUp.startedAtNanos, slotNanos);
  }
}
