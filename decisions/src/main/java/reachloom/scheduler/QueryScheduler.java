package reachloom.scheduler;

// Events, actions and settings: decisions/src/main/java/reachloom/scheduler/api.

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import reachloom.balancing.EngineSubset;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineCapabilities;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
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
public final class QueryScheduler implements SchedulerEvents, EngineListener {
  private static final double SECOND = 1e9; // nanoseconds
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  // Holding.
  private static final int FRONT =
      8; // held queries looked at on each event; all of them on each tick
  private static final long TICK =
      25 * MILLISECOND; // between looks at the line, engines and attempts

  // Health.
  private static final double LOST_NOTES =
      1.5; // note periods without a sign of an attempt: it is lost
  private static final double SILENT_NOTES =
      2.5; // note periods without a sign of an engine: silence
  private static final double BAD_PLAN =
      4; // times the predicted time that the share done points to
  private static final double RESEND_GAIN =
      2; // a new attempt must be so much faster than what remains

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
    engines =
        new EngineRegistry(
            new EngineOrder(new EngineSubset(self)),
            s.kinds(),
            List.of(limiter, slowStart, this, peerReports, ratios));
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
    HealthCheckBudget checkBudget = new HealthCheckBudget(s, estimator);
    healthChecks = new HealthCheckScheduler(actions, checkBudget, engines, selector, limiter);
    if (s.subscribe()) {
      actions.watchEndpoints();
    }
    actions.setTimer(TICK, TICK_TOKEN);
  }

  @Override
  public void onEndpoints(long now, boolean complete, List<EngineEndpoint> entries) {
    List<EngineRecord> replaced = engines.update(now, complete, entries);
    replaced.forEach(old -> old.inFlight.attempts().forEach(a -> lose(now, a, false)));
    release(now, true);
  }

  @Override
  public void onEndpointsUnavailable(long now) {
    if (settings.subscribe()) {
      actions.setTimer((long) SECOND, WATCH_TOKEN);
    }
  }

  @Override
  public void onEngineListed(long now, EngineRecord engine, boolean asChange) {
    engine.lastSign = now;
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
      send(now, q, engine);
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

  // ---- Sending ----

  private void send(long now, QueryRecord q, EngineRecord e) {
    pending.remove(q);
    AttemptRecord a =
        new AttemptRecord(q, e, now, estimator.memoryMb(q), estimator.nominalSeconds(q));
    setTerms(q);
    actions.forward(q.query.id(), e.name, 0);
    q.add(a);
    retryBudget.onForwarded(now, a);
    healthChecks.onForwarded(now, a);
    limiter.onForwarded(now, a);
    slowStart.onForwarded(now, a);
    e.lastSign = e.inFlight.attemptCount() == 1 ? now : e.lastSign;
    outliers.onForwarded(now, a);
  }

  /** Grant and priority, where the engines heed them. */
  private void setTerms(QueryRecord q) {
    EngineCapabilities traits = settings.traits();
    int priority = estimator.hasHighValueDensity(q) ? 3 : 1;
    double grant = estimator.reservationMb(q);
    if (traits.priorities() && priority != 1 || grant > 0) {
      actions.setResources(q.query.id(), grant, priority);
    }
  }

  /** What may have changed while the attempt waited for its connection. */
  @Override
  public boolean mayStart(long now, String query, int attempt) {
    QueryRecord q = queries == null ? null : queries.find(query);
    if (q == null || q.isFinished() || attempt >= q.attempts().size()) {
      return false;
    }
    AttemptRecord a = q.attempts().get(attempt);
    EngineRecord e = a.engine;
    return !a.isEnded()
        && !a.isCancelled()
        && e.isListedUp()
        && e.isCurrent()
        && slowStart.mayStillStart(now, a)
        && retryPolicy.isSafeOn(now, q, e);
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
  public void onProgress(long now, ProgressReport note) {
    QueryRecord q = queries == null ? null : queries.find(note.queryId());
    if (q == null || note.attempt() >= q.attempts().size()) {
      return;
    }
    AttemptRecord a = q.attempts().get(note.attempt());
    a.engine.lastSign = now;
    a.lastNote = now;
    a.inLine = note.kind() == ProgressKind.MEMORY_WAIT;
    if (a.inLine) { // as good as a full refusal
      limiter.markFull(now, a.engine);
    }
    if (note.kind() == ProgressKind.LOAD_WAIT) {
      bulkLoads.onProgress(now, a, note);
      if (canMove(now, a)) {
        cancel(a); // it has done nothing yet, and a load takes long
      }
    } else if (note.kind() == ProgressKind.PROGRESS) {
      a.share = note.amount();
      if (a.query.queryClass.idempotency() == Idempotency.IDEMPOTENT
          && badPlan(now, a)
          && canMove(now, a)) {
        cancel(a);
      }
    }
  }

  /** A bad plan shows as a share far behind; the engine's own ratio tells a slow engine apart. */
  private boolean badPlan(long now, AttemptRecord a) {
    if (a.share <= 0 || a.share >= 1 || a.predictedSeconds <= 0) {
      return false;
    }
    double spent = seconds(now - a.forwardedAtNanos);
    double whole = spent / a.share;
    double usual = estimator.secondsOnSlower(a.query, a.engine);
    return a.query.query.estimatedCostNanos() > 0
        && whole > BAD_PLAN * usual
        && whole - spent > RESEND_GAIN * usual
        && now + (long) (usual * SECOND) < a.query.deadlineNanos;
  }

  /** Gives up an attempt of a query that is over, or that may go elsewhere or be answered. */
  private void cancel(AttemptRecord a) {
    QueryRecord q = a.query;
    boolean free =
        q.isFinished()
            || !q.isStreaming() && q.queryClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
    if (free && !a.isEnded() && !a.isCancelled() && settings.limits().cancel()) {
      a.cancel();
      actions.cancelAttempt(q.query.id(), a.number);
    }
  }

  /** True where another engine can take the query now, within the rules. */
  private boolean canMove(long now, AttemptRecord a) {
    QueryRecord q = a.query;
    return retryPolicy.allowsAttempt(now, q)
        && candidates.find(now, q).stream()
            .anyMatch(e -> e != a.engine && eligibility.isFreeOfBulkLoads(now, q, e));
  }

  // ---- The end of an attempt ----

  @Override
  public void onAttemptEnded(long now, AttemptResult end) {
    QueryRecord q = queries == null ? null : queries.find(end.queryId());
    if (q == null || end.attempt() >= q.attempts().size()) {
      return;
    }
    AttemptRecord a = q.attempts().get(end.attempt());
    limiter.activate(now, a.engine);
    settle(now, q, a, end);
    judge(now, a, end);
    if (end.queryFinished()) {
      q.finish();
    }
    if (!q.isFinished() && !q.isInFlight()) {
      goOn(now, q);
    }
    queries.removeIfDone(now, q);
    release(now, false);
  }

  private void settle(long now, QueryRecord q, AttemptRecord a, AttemptResult end) {
    q.end(a);
    limiter.release(a);
    retryPolicy.onEnded(a, end.outcome());
    keyOrdering.onEnded(now, q, end.outcome());
    noteReport(now, a.engine, end.loadReport());
  }

  /** Records the outcome of an attempt. */
  private void judge(long now, AttemptRecord a, AttemptResult end) {
    EngineRecord e = a.engine;
    switch (end.outcome()) {
      case SERVED -> {
        outliers.onServed(now, a);
        e.lastSign = now;
        estimator.onServed(a, end);
        limiter.onServed(a, end);
      }
      case FULL -> {
        limiter.onFull(now, e);
        outliers.ejectUntil(e, limiter.fullUntilNanos(e));
      }
      case TIMEOUT -> limiter.onTimeout(a);
      case ERROR, RESET, UNREACHED -> outliers.onFailed(now, a, end);
      case CANCELLED, NOT_SENT -> {
        // no information about the engine
      }
    }
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
        send(now, q, e);
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
    q.attempts().forEach(this::cancel);
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
    limiter.activeEngines().forEach(e -> watchOver(now, e));
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

  /** An attempt without a sign is lost: its room is free again, its query goes elsewhere. */
  private void lose(long now, AttemptRecord a, boolean silent) {
    limiter.release(a);
    outliers.onUnresponsive(now, a.engine, silent);
    cancel(a);
  }

  /** Finds silent engines. */
  private void watchOver(long now, EngineRecord e) {
    double period = settings.traits().progressPeriodNanos();
    long lastSign = Math.max(e.lastSign, clock.stalledUntilNanos());
    boolean silent = now - lastSign > SILENT_NOTES * period;
    boolean talks = now - lastSign < period;
    for (AttemptRecord a : period > 0 ? e.inFlight.attempts() : List.<AttemptRecord>of()) {
      long quiet =
          now - Math.max(clock.stalledUntilNanos(), Math.max(a.forwardedAtNanos, a.lastNote));
      // An engine may lose single queries while it answers the rest: each attempt is judged by its
      // own notes.
      // One that waits for memory tells so once and is then quiet until it runs.
      if (quiet > (talks ? LOST_NOTES : SILENT_NOTES) * period && !(talks && a.inLine)) {
        lose(now, a, silent);
      }
    }
  }

  @Override
  public void onHealthCheck(long now, String engine, boolean answered, LoadReport report) {
    EngineRecord e = findEngine(engine);
    if (e == null) {
      return;
    }
    healthChecks.onChecked(e);
    noteReport(now, e, answered ? report : null);
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

  private void noteReport(long now, EngineRecord engine, LoadReport report) {
    if (reports.record(now, engine, report)) {
      limiter.onReport(now, engine, report);
    }
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
