package reachloom.scheduler;

// Events, actions and settings: decisions/src/main/java/reachloom/scheduler/api.

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import reachloom.balancing.EngineSubset;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Decides for one gateway: admits a query at arrival on a prediction, holds it for a short while,
 * releases the oldest first to the less loaded of two drawn engines, and keeps the rules. The
 * methods stand in the order in which a query lives; docs/design.md gives the reasons and the
 * conditions of each exception.
 */
public final class QueryScheduler implements SchedulerEvents {
  private static final double SECOND = 1e9; // nanoseconds
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  // Holding.
  private static final int FRONT =
      8; // held queries looked at on each event; all of them on each tick
  private static final long TICK =
      25 * MILLISECOND; // between looks at the line, engines and attempts

  // Health.

  // Guards.
  private static final long TICK_TOKEN = 0;
  private static final long WATCH_TOKEN = 1;

  private final SchedulerActions actions;
  private SchedulerSettings settings;
  private TickClock clock;
  private final LatencyRatios ratios = new LatencyRatios();
  private CostEstimator estimator;

  private LoadReports reports;
  private ConcurrencyLimiter limiter;
  private EngineRegistry engines;
  private SlowStart slowStart;
  private PeerReports peerReports;
  private OutlierDetector outliers;
  private BulkLoadTracker bulkLoads;
  private RetryPolicy retryPolicy;
  private EngineEligibility eligibility;
  private EngineCandidates candidates;
  private EngineSelector selector;
  private HealthCheckScheduler healthChecks;
  private AttemptCanceller canceller;
  private AttemptMonitor monitor;
  private AttemptMigration migration;
  private AttemptForwarder forwarder;
  private OutcomeRecorder outcomes;
  private QueryTable queries;
  private PendingQueue pending;
  private KeyOrdering keyOrdering;
  private TenantQuotas quotas;
  private RetryBudget retryBudget;

  /** A module that acts through the given front. */
  public QueryScheduler(SchedulerActions actions) {
    this.actions = actions;
  }

  // ---- The gateway and its engines ----

  @Override
  public void onStart(long now, long seed, SchedulerSettings s) {
    settings = s;
    SplittableRandom random = new SplittableRandom(seed);
    int self =
        s.selfIndex() >= 0
            ? s.selfIndex()
            : random.nextInt(s.gateways()); // where it is not told, by chance
    estimator = new CostEstimator(s, ratios);
    clock = new TickClock(now);
    reports = new LoadReports(clock);
    limiter = new ConcurrencyLimiter(s, estimator, reports);
    slowStart = new SlowStart(estimator, s, self, now);
    peerReports = new PeerReports();
    outliers = new OutlierDetector(peerReports);
    bulkLoads = new BulkLoadTracker();
    canceller = new AttemptCanceller(actions, s);
    monitor = new AttemptMonitor(s, clock, outliers, limiter, canceller);
    engines =
        new EngineRegistry(
            new EngineOrder(new EngineSubset(self)),
            s.kinds(),
            List.of(limiter, slowStart, monitor, peerReports, ratios));
    quotas = new TenantQuotas(s);
    keyOrdering = new KeyOrdering(s, estimator);
    pending = new PendingQueue(keyOrdering, estimator);
    queries = new QueryTable(s.classes(), keyOrdering);
    retryBudget = new RetryBudget(s);
    retryPolicy = new RetryPolicy(s, retryBudget, estimator, engines);
    eligibility = new EngineEligibility(retryPolicy, outliers, slowStart, bulkLoads, limiter);
    candidates = new EngineCandidates(engines, slowStart, peerReports, eligibility, limiter);
    RandomPair randomPair = new RandomPair(random, slowStart);
    LoadScore score = new LoadScore(s, ratios, outliers, reports, limiter);
    selector = new EngineSelector(candidates, randomPair, score, limiter, reports);
    migration = new AttemptMigration(estimator, retryPolicy, candidates, eligibility, canceller);
    outcomes = new OutcomeRecorder(reports, estimator, limiter, outliers, monitor);
    HealthCheckBudget checkBudget = new HealthCheckBudget(s, estimator);
    healthChecks = new HealthCheckScheduler(actions, checkBudget, engines, selector, limiter);
    List<AttemptListener> listeners =
        List.of(retryBudget, healthChecks, limiter, slowStart, monitor, outliers);
    forwarder = new AttemptForwarder(actions, s, estimator, listeners);
    if (s.subscribe()) {
      actions.watchEndpoints();
    }
    actions.setTimer(TICK, TICK_TOKEN);
  }

  @Override
  public void onEndpoints(long now, boolean complete, List<EngineEndpoint> entries) {
    List<EngineRecord> replaced = engines.update(now, complete, entries);
    replaced.forEach(engine -> monitor.abandonAll(now, engine));
    release(now, true);
  }

  @Override
  public void onEndpointsUnavailable(long now) {
    if (settings.subscribe()) {
      actions.setTimer((long) SECOND, WATCH_TOKEN);
    }
  }

  // ---- Arrival ----

  @Override
  public void onQuery(long now, Query query) {
    QueryRecord q = queries.add(now, query);
    long time = q.deadlineNanos - now;
    retryBudget.onQuery(now);
    healthChecks.onQuery(now);
    quotas.onQuery(now, q);
    estimator.onQuery(q);
    keyOrdering.onQuery(q);
    pending.restartQueueTime(now, q);
    boolean itsTurn = keyOrdering.mayRun(now, q);
    if (itsTurn
        && seconds(time - 2 * TICK) > estimator.averageSeconds(q)
        && healthChecks.requestReports(now, q)) {
      pending.add(q); // until the reports are in
      return;
    }
    EngineRecord engine = itsTurn ? selector.select(now, q).orElse(null) : null;
    if (engine != null && seconds(time) >= estimator.secondsOn(q, engine)) {
      pending.remove(q);
      forwarder.forward(now, q, engine);
    } else if (waitsLonger(now, q, seconds(time) - estimator.averageSeconds(q))
        || itsTurn && q.isOverQuota()) {
      giveUp(now, q);
    } else {
      pending.add(q);
    }
  }

  /** Whether a query that does not fit would wait for longer than that, in seconds. */
  private boolean waitsLonger(long now, QueryRecord q, double seconds) {
    double left = seconds - keyOrdering.waitSeconds(q);
    double work = pending.workSeconds(now);
    if (left < 0 || work <= 0) {
      return left < 0;
    }
    // With that much of a bound it would not; so the engines need not all be looked at.
    return work / boundUpTo(now, q, left > 0 ? work / left : Double.MAX_VALUE) > left;
  }

  /**
   * Held time times threads over the total bound: the wait of a query that does not fit, in
   * seconds.
   */
  private double predictedWait(long now, QueryRecord q) {
    double work = pending.workSeconds(now);
    return (work <= 0 ? 0 : work / boundUpTo(now, q, Double.MAX_VALUE))
        + keyOrdering.waitSeconds(q);
  }

  /** The bound of all engines that are open to the query, counted until it is enough. */
  private double boundUpTo(long now, QueryRecord q, double enough) {
    double bound = 0;
    for (EngineRecord e : engines.all()) {
      bound += eligibility.isEligible(now, q, e) ? limiter.limitThreads(e) : 0;
      if (bound >= enough) {
        break;
      }
    }
    return Math.max(limiter.withinPool(now, bound), q.queryClass.threads());
  }

  @Override
  public boolean mayStart(long now, String query, int number) {
    AttemptRecord attempt = findAttempt(query, number);
    return attempt != null
        && !attempt.query.isFinished()
        && !attempt.isEnded()
        && !attempt.isCancelled()
        && attempt.engine.isUp()
        && slowStart.mayStillStart(now, attempt)
        && retryPolicy.isSafeOn(now, attempt.query, attempt.engine);
  }

  private AttemptRecord findAttempt(String query, int number) {
    return queries == null ? null : queries.findAttempt(query, number);
  }

  // ---- While an attempt is out ----

  @Override
  public void onStreaming(long now, String query, int attempt) {
    QueryRecord q = queries == null ? null : queries.find(query);
    if (q != null) {
      q.startStreaming();
    }
  }

  @Override
  public void onProgress(long now, ProgressReport progress) {
    AttemptRecord attempt = findAttempt(progress.queryId(), progress.attempt());
    if (attempt != null) {
      monitor.onProgress(now, attempt, progress);
      bulkLoads.onProgress(now, attempt, progress);
      migration.onProgress(now, attempt, progress);
    }
  }

  // ---- The end of an attempt ----

  @Override
  public void onAttemptEnded(long now, AttemptResult result) {
    AttemptRecord attempt = findAttempt(result.queryId(), result.attempt());
    if (attempt == null) {
      return;
    }
    QueryRecord query = attempt.query;
    query.end(attempt);
    limiter.activate(now, attempt.engine);
    limiter.release(attempt);
    retryPolicy.onEnded(attempt, result.outcome());
    keyOrdering.onEnded(now, query, result.outcome());
    outcomes.recordResult(now, attempt, result);
    if (result.queryFinished()) {
      query.finish();
    }
    if (!query.isFinished() && !query.isInFlight()) {
      goOn(now, query);
    }
    queries.removeIfDone(now, query);
    release(now, false);
  }

  /** Queues a query for its next attempt, or rejects it if none is possible. */
  private void goOn(long now, QueryRecord q) {
    if (retryPolicy.shouldRetry(now, q)) {
      pending.restartQueueTime(now, q);
      pending.add(q); // the release that follows forwards it at once if it can
    } else {
      giveUp(now, q);
    }
  }

  // ---- The held line ----

  /** Releases held queries, oldest first; a query that waits for its key holds up nobody else. */
  private void release(long now, boolean all) {
    noteStall(now);
    boolean blocked = false;
    for (QueryRecord q : pending.oldest(all ? Integer.MAX_VALUE : FRONT)) {
      boolean itsTurn = keyOrdering.mayRun(now, q);
      if (!itsTurn) { // the wait for its key is no wait for room
        pending.restartQueueTime(now, q);
      }
      // Bound queries wait for other engines than the front, those that have asked waited only for
      // reports.
      boolean own =
          !q.reportRequest.isEmpty()
              || !q.queryClass.engineKinds().isEmpty()
              || !q.queryClass.zones().isEmpty();
      double left = estimator.averageSeconds(q) + (itsTurn ? 0 : keyOrdering.waitSeconds(q));
      boolean late =
          now + (long) (left * SECOND) + 2 * TICK
              > q.deadlineNanos; // the next look may come after it
      boolean asking = healthChecks.awaitsReports(now, q);
      if (!late
          && (asking
              || itsTurn
                  && now < q.queuedUntilNanos()
                  && !q.reportRequest.isEmpty()
                  && healthChecks.requestReports(now, q))) {
        continue;
      }
      EngineRecord e =
          !late && itsTurn && (!blocked || own) ? selector.select(now, q).orElse(null) : null;
      if (e != null && (q.attempts().isEmpty() || retryPolicy.allowsAttempt(now, q))) {
        pending.remove(q);
        forwarder.forward(now, q, e);
      } else if (late || itsTurn && now >= q.queuedUntilNanos()) {
        giveUp(now, q);
      } else {
        blocked |= itsTurn && !own;
      }
    }
  }

  // ---- The final answer ----

  /** Refuses where the rules let us promise that trying again is harmless, else fails. */
  private void giveUp(long now, QueryRecord q) {
    pending.remove(q);
    q.finish();
    outliers.onUnserved(now, q);
    boolean harmless = retryPolicy.mayReject(q);
    if (harmless) {
      long retryAfter =
          !retryPolicy.sendsRetryAfter()
              ? 0
              : (long) Math.max(1, Math.ceil(predictedWait(now, q))) * (long) SECOND;
      actions.reject(q.query.id(), retryAfter);
    } else {
      actions.fail(q.query.id());
    }
    queries.removeIfDone(now, q);
  }

  @Override
  public void onClientGone(long now, String query) {
    QueryRecord q = queries == null ? null : queries.find(query);
    if (q == null) {
      return;
    }
    pending.remove(q);
    q.finish();
    q.attempts().forEach(canceller::cancel);
    queries.removeIfDone(now, q);
    release(now, false);
  }

  // ---- Time ----

  @Override
  public void onTimer(long now, long token) {
    if (token == WATCH_TOKEN) {
      actions.watchEndpoints();
      return;
    }
    noteStall(now);
    clock.tick(now);
    limiter.updateFleetSize(now);
    keyOrdering.forgetIdle(now);
    engines.forgetRemoved();
    monitor.onTick(now, limiter.activeEngines());
    limiter.adjustEngines(now);
    healthChecks.onTick(now);
    limiter.adjustPool(now);
    release(now, true);
    actions.setTimer(TICK, TICK_TOKEN);
  }

  /** Extends the time that queries may wait by the time for which the gateway has stalled. */
  private void noteStall(long now) {
    long stall = clock.takeStall(now);
    if (stall > 0) {
      pending.extendQueueTimes(stall);
    }
  }

  @Override
  public void onHealthCheck(long now, String engine, boolean answered, LoadReport report) {
    EngineRecord e = findEngine(engine);
    if (e == null) {
      return;
    }
    healthChecks.onChecked(e);
    outcomes.recordReport(now, e, answered ? report : null);
    release(now, false);
  }

  @Override
  public void onPeerReport(long now, String engine, double level) {
    EngineRecord e = findEngine(engine);
    if (e != null) {
      peerReports.record(e, level);
      if (peerReports.isSuspected(e)) {
        healthChecks.onSuspected(now, e);
      }
    }
  }

  private EngineRecord findEngine(String name) {
    return engines == null ? null : engines.find(name);
  }

  private static double seconds(long time) {
    return time / SECOND;
  }

  // ---- Diagnostics ----

  /** The names of the engines that the scheduler knows, for diagnostics. */
  public Set<String> engineNames() {
    return engines == null ? Set.of() : engines.names();
  }

  /** The ids of the queries that are not finished or have attempts in flight, for diagnostics. */
  public Set<String> queryIds() {
    return queries == null ? Set.of() : queries.ids();
  }

  /** The ids of the queries that are queued, for diagnostics. */
  public Set<String> pendingQueryIds() {
    return pending == null ? Set.of() : pending.ids();
  }
}
