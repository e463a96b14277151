package reachloom.scheduler;

// Events, actions and settings: decisions/src/main/java/reachloom/scheduler/api.

import java.util.List;
import java.util.Set;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Schedules the queries of one gateway: admits or rejects a query at arrival, queues it for a short
 * time if necessary, forwards it to the less loaded of two engines, and retries failed attempts.
 * This class passes each event to the parts of the scheduler, in order, and has no rules of its
 * own; docs/design.md has the reasons for each rule.
 *
 * <p>Not thread-safe: all events have to come on one thread. Deterministic: time comes with the
 * events and random numbers from the seed, so that the same events lead to the same actions. Before
 * {@link #onStart}, events that name an engine, a query or an attempt are ignored, since none is
 * known; {@link #onQuery}, {@link #onEndpoints} and {@link #onTimer} must not be called.
 */
public final class QueryScheduler implements SchedulerEvents {
  private static final long TICK_TOKEN = 0;
  private static final long WATCH_TOKEN = 1;
  private static final long WATCH_RETRY_NANOS = 1_000 * Nanoseconds.PER_MILLISECOND;

  private final SchedulerActions actions;
  private boolean subscribesToEndpoints;

  /** Null before the start. */
  private SchedulerParts parts;

  /** Creates a scheduler that acts through the given front end; {@link #onStart} starts it. */
  public QueryScheduler(SchedulerActions actions) {
    this.actions = actions;
  }

  @Override
  public void onStart(long nowNanos, long seed, SchedulerSettings settings) {
    parts = new SchedulerParts(actions, nowNanos, seed, settings);
    subscribesToEndpoints = settings.subscribe();
    if (subscribesToEndpoints) {
      actions.watchEndpoints();
    }
    actions.setTimer(TickClock.INTERVAL_NANOS, TICK_TOKEN);
  }

  // ---- Engines ----

  @Override
  public void onEndpoints(long nowNanos, boolean complete, List<EngineEndpoint> endpoints) {
    List<EngineRecord> replaced = parts.engines.update(nowNanos, complete, endpoints);
    replaced.forEach(engine -> parts.monitor.abandonAll(nowNanos, engine));
    parts.dispatcher.releaseAll(nowNanos);
  }

  @Override
  public void onEndpointsUnavailable(long nowNanos) {
    if (subscribesToEndpoints) {
      actions.setTimer(WATCH_RETRY_NANOS, WATCH_TOKEN);
    }
  }

  @Override
  public void onHealthCheck(long nowNanos, String engineName, boolean answered, LoadReport report) {
    EngineRecord engine = findEngine(engineName);
    if (engine != null) {
      parts.healthChecks.onChecked(engine);
      parts.outcomes.recordReport(nowNanos, engine, answered ? report : null);
      parts.dispatcher.releaseOldest(nowNanos);
    }
  }

  @Override
  public void onPeerReport(long nowNanos, String engineName, double level) {
    EngineRecord engine = findEngine(engineName);
    if (engine != null) {
      parts.peerReports.record(engine, level);
      if (parts.peerReports.isSuspected(engine)) {
        parts.healthChecks.onSuspected(nowNanos, engine);
      }
    }
  }

  // ---- Queries ----

  @Override
  public void onQuery(long nowNanos, Query query) {
    QueryRecord added = parts.queries.add(nowNanos, query);
    parts.retryBudget.onQuery(nowNanos, query);
    parts.healthChecks.onQuery(nowNanos);
    parts.quotas.onQuery(nowNanos, added);
    parts.estimator.onQuery(added);
    parts.keyOrdering.onQuery(added);
    parts.pending.restartQueueTime(nowNanos, added);
    parts.dispatcher.apply(nowNanos, added, parts.admission.decide(nowNanos, added));
  }

  @Override
  public void onClientGone(long nowNanos, String id) {
    QueryRecord query = findQuery(id);
    if (query != null) {
      parts.pending.remove(query);
      query.finish();
      query.attempts().forEach(parts.canceller::cancel);
      parts.queries.removeIfDone(nowNanos, query);
      parts.dispatcher.releaseOldest(nowNanos);
    }
  }

  // ---- Attempts ----

  @Override
  public boolean mayStart(long nowNanos, String id, int number) {
    AttemptRecord attempt = findAttempt(id, number);
    return attempt != null
        && !attempt.query.isFinished()
        && !attempt.isEnded()
        && !attempt.isCancelled()
        && attempt.engine.isUp()
        && parts.slowStart.mayStillStart(nowNanos, attempt)
        && parts.retryPolicy.isSafeOn(nowNanos, attempt.query, attempt.engine);
  }

  @Override
  public void onStreaming(long nowNanos, String id, int number) {
    QueryRecord query = findQuery(id);
    if (query != null) {
      query.startStreaming();
    }
  }

  @Override
  public void onProgress(long nowNanos, ProgressReport progress) {
    AttemptRecord attempt = findAttempt(progress.queryId(), progress.attempt());
    if (attempt != null) {
      parts.monitor.onProgress(nowNanos, attempt, progress);
      parts.bulkLoads.onProgress(nowNanos, attempt, progress);
      parts.migration.onProgress(nowNanos, attempt, progress);
    }
  }

  @Override
  public void onAttemptEnded(long nowNanos, AttemptResult result) {
    AttemptRecord attempt = findAttempt(result.queryId(), result.attempt());
    if (attempt == null) {
      return;
    }
    QueryRecord query = attempt.query;
    query.end(attempt);
    parts.limiter.activate(nowNanos, attempt.engine);
    parts.limiter.release(attempt);
    parts.retryPolicy.onEnded(attempt, result.outcome());
    parts.keyOrdering.onEnded(nowNanos, query, result.outcome());
    parts.outcomes.recordResult(nowNanos, attempt, result);
    if (result.queryFinished()) {
      query.finish();
    }
    if (!query.isFinished() && !query.isInFlight()) {
      retryOrReject(nowNanos, query);
    }
    parts.queries.removeIfDone(nowNanos, query);
    parts.dispatcher.releaseOldest(nowNanos);
  }

  /** Queues a query for its next attempt, or rejects it if none is possible. */
  private void retryOrReject(long nowNanos, QueryRecord query) {
    if (parts.retryPolicy.shouldRetry(nowNanos, query)) {
      parts.pending.restartQueueTime(nowNanos, query);
      parts.pending.add(query);
    } else {
      parts.rejector.reject(nowNanos, query);
    }
  }

  // ---- Time ----

  @Override
  public void onTimer(long nowNanos, long token) {
    if (token == WATCH_TOKEN) {
      actions.watchEndpoints();
      return;
    }
    parts.dispatcher.extendAfterStall(nowNanos);
    parts.clock.tick(nowNanos);
    parts.limiter.updateInversePoolShare(nowNanos);
    parts.keyOrdering.forgetIdle(nowNanos);
    parts.engines.forgetRemoved();
    parts.monitor.onTick(nowNanos, parts.limiter.activeEngines());
    parts.limiter.adjustEngines(nowNanos);
    parts.healthChecks.onTick(nowNanos);
    parts.limiter.adjustPool(nowNanos);
    parts.dispatcher.releaseAll(nowNanos);
    actions.setTimer(TickClock.INTERVAL_NANOS, TICK_TOKEN);
  }

  // ---- Lookup ----

  private EngineRecord findEngine(String name) {
    return parts == null ? null : parts.engines.find(name);
  }

  private QueryRecord findQuery(String id) {
    return parts == null ? null : parts.queries.find(id);
  }

  private AttemptRecord findAttempt(String id, int number) {
    return parts == null ? null : parts.queries.findAttempt(id, number);
  }

  // ---- Diagnostics ----

  /** The names of the engines that the scheduler knows, for diagnostics. */
  public Set<String> engineNames() {
    return parts == null ? Set.of() : parts.engines.names();
  }

  /** The ids of the queries that are not finished or have attempts in flight, for diagnostics. */
  public Set<String> queryIds() {
    return parts == null ? Set.of() : parts.queries.ids();
  }

  /** The ids of the queries that are queued, for diagnostics. */
  public Set<String> pendingQueryIds() {
    return parts == null ? Set.of() : parts.pending.ids();
  }
}
