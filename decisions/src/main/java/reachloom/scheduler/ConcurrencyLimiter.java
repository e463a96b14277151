package reachloom.scheduler;

import static reachloom.scheduler.Nanoseconds.PER_MILLISECOND;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import reachloom.balancing.PoolShareEstimator;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.QueryClass;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Adaptive concurrency limits, in threads, of each engine and of the whole pool, for this gateway's
 * share of them. A limit is enforced only under pressure: answers that are slow relative to their
 * latency objective, a busy load report, or a rejection by a full engine. While pressure lasts the
 * limit is decreased towards what is in flight; it grows back more slowly (multiplicative decrease
 * and increase).
 */
final class ConcurrencyLimiter implements EngineListener, ForwardingListener {
  /** The initial limit of an engine, and the maximum to which it grows without pressure. */
  private static final double MAX_THREADS_PER_CORE = 8;

  /** Throughput of an engine peaks at one to two threads per core. */
  private static final double MIN_THREADS_PER_CORE = 2;

  /** The minimum for an engine whose answers are slow. */
  private static final double MIN_THREADS_PER_CORE_WHEN_SLOW = 1.5;

  /** Applied at each step under pressure: halves a limit in about four steps. */
  private static final double DECREASE_FACTOR = 0.85;

  /** Applied at each step without pressure: capacity is regained more slowly than it is lost. */
  private static final double INCREASE_FACTOR = 1.05;

  /** Between two changes of a limit, so that the effect of one shows before the next. */
  private static final long ADJUSTMENT_INTERVAL_NANOS = 250 * PER_MILLISECOND;

  /** Extra headroom under pressure for queries of high value density, which are little work. */
  private static final double HIGH_VALUE_LIMIT_FACTOR = 1.5;

  /** Share of an engine's memory that is planned for queries. */
  private static final double PLANNED_MEMORY_SHARE = 0.95;

  /** Latency as a share of its objective above which an engine counts as slow. */
  private static final double SLOW_OBJECTIVE_SHARE = 0.6;

  /** Latency as a share of its objective below which an engine counts as calm. */
  private static final double CALM_OBJECTIVE_SHARE = 0.4;

  /** Weight of the newest answer in the moving average of latency over objective. */
  private static final double NEWEST_OBJECTIVE_WEIGHT = 0.2;

  /** Utilization of cores, memory or disks above which a load report counts as busy. */
  private static final double BUSY_UTILIZATION = 0.9;

  /** How long a rejection by a full engine counts as pressure. */
  private static final long FULL_NANOS = 500 * PER_MILLISECOND;

  /** How long a limit stays enforced after a signal: signals are late and intermittent. */
  private static final long PRESSURE_HOLD_NANOS = 2_000 * PER_MILLISECOND;

  /** Share of recent signals with pressure above which the pool is under pressure. */
  private static final double POOL_PRESSED_SHARE = 0.5;

  /** Share of recent signals with pressure below which the pool is calm. */
  private static final double POOL_CALM_SHARE = 0.1;

  /** The share covers about the last ten signals; a gateway gets a few per second. */
  private static final double NEWEST_SIGNAL_WEIGHT = 0.1;

  private static final double MIN_WORK_SECONDS = 1e-3;

  /** The limit of one engine or of the pool; private to {@link ConcurrencyLimiter}. */
  static final class Limit {
    private double cores;
    private double memoryMb;
    private final InFlightWork inFlight;
    private double threads;
    private long changedAtNanos;
    private long pressedUntilNanos;
    private long fullUntilNanos;

    /** Moving average of the latency of queries as a share of their objective. */
    private double objectiveShare;

    /** Creates a limit; {@code memoryMb} is 0 if unknown. */
    Limit(double cores, double memoryMb, InFlightWork inFlight) {
      this.cores = cores;
      this.memoryMb = memoryMb;
      this.inFlight = inFlight;
    }

    private boolean isPressed(long nowNanos) {
      return nowNanos < pressedUntilNanos;
    }
  }

  private final CostEstimator estimator;
  private final LoadReports reports;
  private final PoolShareEstimator poolShare;
  private final int maxQueryThreads;
  private final Limit pool = new Limit(0, 0, new InFlightWork());

  /** Engines whose limit ticks may change or that have attempts in flight. */
  private final Set<EngineRecord> active = new LinkedHashSet<>();

  /** See {@link #inversePoolShare()}. */
  private double inversePoolShare;

  /** Moving average of recent signals of all engines, each 1 for pressure or 0. */
  private double pressedSignalShare = POOL_PRESSED_SHARE; // neither under pressure nor calm

  /** Creates a limiter without engines. */
  ConcurrencyLimiter(SchedulerSettings settings, CostEstimator estimator, LoadReports reports) {
    this.estimator = estimator;
    this.reports = reports;
    this.poolShare = new PoolShareEstimator(settings.gateways());
    this.inversePoolShare = settings.gateways();
    this.maxQueryThreads =
        settings.classes().stream().mapToInt(QueryClass::threads).max().orElse(1);
  }

  // ---- The set of engines ----

  @Override
  public void onEngineListed(long nowNanos, EngineRecord engine, boolean isIncremental) {
    engine.limit.threads = maxThreads(engine.limit);
    engine.limit.changedAtNanos = nowNanos;
  }

  @Override
  public void onListUpdated(List<EngineRecord> up) {
    pool.cores = up.stream().mapToDouble(e -> e.cores).sum();
    pool.memoryMb = up.stream().mapToDouble(e -> e.limit.memoryMb).sum();
    pool.threads = pool.threads > 0 ? Math.min(pool.threads, maxThreads(pool)) : maxThreads(pool);
  }

  /** Total cores of all engines that are up. */
  double poolCores() {
    return pool.cores;
  }

  /** Threads of this gateway's attempts in flight at all engines. */
  int poolThreads() {
    return pool.inFlight.threads();
  }

  /**
   * One divided by this gateway's share of the pool: the number of gateways that would use the
   * whole pool if each had as much traffic as this one.
   */
  double inversePoolShare() {
    return inversePoolShare;
  }

  // ---- What is in flight ----

  @Override
  public void onForwarded(long nowNanos, AttemptRecord attempt) {
    attempt.engine.inFlight.add(attempt);
    pool.inFlight.add(attempt);
    activate(nowNanos, attempt.engine);
  }

  /** Frees the capacity of an attempt that has ended or was abandoned; has no effect twice. */
  void release(AttemptRecord attempt) {
    attempt.engine.inFlight.remove(attempt);
    pool.inFlight.remove(attempt);
  }

  /**
   * Applies the growth that the limit of an inactive engine has missed, if the engine is calm, and
   * lets each tick adjust it while the engine is active.
   */
  void activate(long nowNanos, EngineRecord engine) {
    Limit limit = engine.limit;
    if (active.add(engine) && limit.objectiveShare < CALM_OBJECTIVE_SHARE) {
      double steps =
          Math.max(0, (double) (nowNanos - limit.changedAtNanos) / ADJUSTMENT_INTERVAL_NANOS);
      limit.threads =
          Math.min(
              Math.max(limit.threads, maxThreads(limit)),
              limit.threads * Math.pow(INCREASE_FACTOR, steps));
    }
  }

  /** A snapshot of the engines that have attempts in flight or a limit that may change. */
  List<EngineRecord> activeEngines() {
    return List.copyOf(active);
  }

  // ---- Signals of pressure ----

  /** Handles a load report of an engine; {@link LoadReports} has recorded it before. */
  void onReport(long nowNanos, EngineRecord engine, LoadReport report) {
    activate(nowNanos, engine);
    recordPoolSignal(isBusy(nowNanos, engine));
    poolShare.recordReport(report.memoryShare());
  }

  /** Handles a served attempt; {@link CostEstimator} has learned from it before. */
  void onServed(AttemptRecord attempt, AttemptResult result) {
    recordPoolSignal(false);
    double work = estimator.workSeconds(attempt.query, result);
    double taken = Nanoseconds.toSeconds(result.elapsedNanos());
    recordLatency(attempt, taken / estimator.objectiveSeconds(attempt.query, work), work);
  }

  /** Handles an attempt that timed out. */
  void onTimeout(AttemptRecord attempt) {
    recordLatency(attempt, 1, estimator.workSeconds(attempt.query));
  }

  /** Handles a rejection by a full engine. */
  void onFull(long nowNanos, EngineRecord engine) {
    Limit limit = engine.limit;
    markFull(nowNanos, engine);
    limit.threads =
        Math.max(
            maxQueryThreads, Math.min(limit.threads, limit.inFlight.threads()) * DECREASE_FACTOR);
    recordPoolSignal(true);
  }

  /** Marks an engine as full for a while. */
  void markFull(long nowNanos, EngineRecord engine) {
    engine.limit.fullUntilNanos = nowNanos + FULL_NANOS;
  }

  /** When the latest mark of {@link #markFull} ends, in nanoseconds. */
  long fullUntilNanos(EngineRecord engine) {
    return engine.limit.fullUntilNanos;
  }

  /** Records latency as a share of its objective; long queries weigh more than short ones. */
  private void recordLatency(AttemptRecord attempt, double objectiveShare, double workSeconds) {
    double meanWork = Math.max(estimator.meanWorkSeconds(), MIN_WORK_SECONDS);
    double weight = NEWEST_OBJECTIVE_WEIGHT * Math.min(1, workSeconds / meanWork);
    Limit limit = attempt.engine.limit;
    limit.objectiveShare += weight * (objectiveShare - limit.objectiveShare);
    pool.objectiveShare += weight * (objectiveShare - pool.objectiveShare);
  }

  /**
   * Records a signal of any engine for the pool: a gateway with few queries gets too few signals of
   * each engine.
   */
  private void recordPoolSignal(boolean pressed) {
    pressedSignalShare += NEWEST_SIGNAL_WEIGHT * ((pressed ? 1 : 0) - pressedSignalShare);
  }

  /** Whether there is hardly any pressure, so that extra health checks cost more than they gain. */
  boolean isPoolCalm() {
    return pressedSignalShare < POOL_CALM_SHARE && pool.objectiveShare < CALM_OBJECTIVE_SHARE;
  }

  private boolean isPressed(long nowNanos, EngineRecord engine) {
    return engine.limit.objectiveShare > SLOW_OBJECTIVE_SHARE
        || nowNanos < engine.limit.fullUntilNanos
        || isBusy(nowNanos, engine);
  }

  private boolean isBusy(long nowNanos, EngineRecord engine) {
    LoadReport report = reports.recent(nowNanos, engine);
    return report.utilization() > BUSY_UTILIZATION
        || report.queueLength() >= 1
        || report.memoryShare() > BUSY_UTILIZATION
        || report.diskShare() > BUSY_UTILIZATION;
  }

  // ---- Whether a query fits ----

  /** Whether the query fits within the limit and the memory of an engine. */
  boolean fits(long nowNanos, QueryRecord query, EngineRecord engine) {
    Limit limit = engine.limit;
    if (isBusy(nowNanos, engine)
        && limit.inFlight.threads() + query.queryClass.threads()
            > limit.cores * MIN_THREADS_PER_CORE / inversePoolShare) {
      return false; // the engine itself reports overload, and our share of it is used up
    }
    return fits(limit, limit.isPressed(nowNanos), query);
  }

  /** Whether the query fits within this gateway's share of the pool; true without pressure. */
  boolean fitsPool(long nowNanos, QueryRecord query) {
    return !pool.isPressed(nowNanos) || fits(pool, true, query);
  }

  private boolean fits(Limit limit, boolean pressed, QueryRecord query) {
    return fitsMemory(limit, query)
        && (!pressed
            || limit.inFlight.threads() + 1
                <= limit.threads
                    * (estimator.hasHighValueDensity(query) ? HIGH_VALUE_LIMIT_FACTOR : 1));
  }

  private boolean fitsMemory(Limit limit, QueryRecord query) {
    return limit.memoryMb <= 0
        || limit.inFlight.isEmpty()
        || limit.inFlight.memoryMb() + estimator.memoryMb(query)
            <= limit.memoryMb * PLANNED_MEMORY_SHARE / inversePoolShare;
  }

  /** The limit of an engine, in threads. */
  double limitThreads(EngineRecord engine) {
    return engine.limit.threads;
  }

  /** The given number of threads, at most the pool's limit while that is enforced. */
  double withinPool(long nowNanos, double threads) {
    return pool.isPressed(nowNanos) ? Math.min(threads, pool.threads) : threads;
  }

  // ---- Ticks ----

  /** Updates the estimate of {@link #inversePoolShare()}; called at each tick. */
  void updateInversePoolShare(long nowNanos) {
    poolShare.recordOwnMemory(nowNanos, pool.inFlight.memoryMb());
    inversePoolShare = poolShare.inversePoolShare(pool.memoryMb);
  }

  /** Adjusts the limits of active engines, and deactivates those that ticks no longer change. */
  void adjustEngines(long nowNanos) {
    for (EngineRecord engine : List.copyOf(active)) {
      adjust(nowNanos, engine.limit, isPressed(nowNanos, engine));
      if (engine.inFlight.isEmpty() && isSettled(nowNanos, engine)) {
        active.remove(engine);
      }
    }
  }

  /** Adjusts the limit of the pool. */
  void adjustPool(long nowNanos) {
    boolean pressed =
        pool.objectiveShare > SLOW_OBJECTIVE_SHARE || pressedSignalShare > POOL_PRESSED_SHARE;
    adjust(nowNanos, pool, pressed);
  }

  /** Decreases a limit towards what is in flight under pressure, lets it grow back when calm. */
  private void adjust(long nowNanos, Limit limit, boolean pressed) {
    if (pressed) {
      limit.pressedUntilNanos = nowNanos + PRESSURE_HOLD_NANOS;
    }
    if (nowNanos - limit.changedAtNanos < ADJUSTMENT_INTERVAL_NANOS) {
      return;
    }
    if (pressed) {
      limit.threads =
          Math.max(
              minThreads(limit),
              Math.min(limit.threads, limit.inFlight.threads() + 1) * DECREASE_FACTOR);
      limit.changedAtNanos = nowNanos;
    } else if (limit.objectiveShare < CALM_OBJECTIVE_SHARE && limit.threads < maxThreads(limit)) {
      limit.changedAtNanos = nowNanos;
      limit.threads = Math.min(maxThreads(limit), limit.threads * INCREASE_FACTOR);
    }
  }

  /** Whether ticks would not change an idle engine any more. */
  private boolean isSettled(long nowNanos, EngineRecord engine) {
    Limit limit = engine.limit;
    return !engine.isCurrent()
        || !isPressed(nowNanos, engine)
            && (limit.objectiveShare >= CALM_OBJECTIVE_SHARE || limit.threads >= maxThreads(limit));
  }

  private double minThreads(Limit limit) {
    double perCore =
        limit.objectiveShare > SLOW_OBJECTIVE_SHARE
            ? MIN_THREADS_PER_CORE_WHEN_SLOW
            : MIN_THREADS_PER_CORE;
    return Math.max(maxQueryThreads, limit.cores * perCore / inversePoolShare);
  }

  private double maxThreads(Limit limit) {
    return Math.max(maxQueryThreads, limit.cores * MAX_THREADS_PER_CORE / inversePoolShare);
  }
}
