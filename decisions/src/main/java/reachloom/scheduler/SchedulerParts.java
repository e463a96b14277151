package reachloom.scheduler;

import java.util.List;
import java.util.SplittableRandom;
import reachloom.balancing.EngineSubset;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Creates the parts of one scheduler and injects their collaborators. Used by {@link
 * QueryScheduler} alone; no part depends on this class.
 */
final class SchedulerParts {
  final TickClock clock;
  final EngineRegistry engines;
  final QueryTable queries;
  final PendingQueue pending;
  final KeyOrdering keyOrdering;
  final TenantQuotas quotas;
  final CostEstimator estimator;
  final ConcurrencyLimiter limiter;
  final PeerReports peerReports;
  final SlowStart slowStart;
  final BulkLoadTracker bulkLoads;
  final RetryBudget retryBudget;
  final RetryPolicy retryPolicy;
  final HealthCheckScheduler healthChecks;
  final AdmissionController admission;
  final QueryRejector rejector;
  final QueryDispatcher dispatcher;
  final OutcomeRecorder outcomes;
  final AttemptCanceller canceller;
  final AttemptMonitor monitor;
  final AttemptMigration migration;

  /** Creates the parts of a scheduler that starts now. */
  SchedulerParts(SchedulerActions actions, long nowNanos, long seed, SchedulerSettings settings) {
    SplittableRandom random = new SplittableRandom(seed);
    int self = // random if the settings have no number
        settings.selfIndex() >= 0 ? settings.selfIndex() : random.nextInt(settings.gateways());

    // State of engines and queries.
    LatencyRatios ratios = new LatencyRatios();
    clock = new TickClock(nowNanos);
    estimator = new CostEstimator(settings, ratios);
    LoadReports reports = new LoadReports(clock);
    peerReports = new PeerReports();
    OutlierDetector outliers = new OutlierDetector(peerReports);
    slowStart = new SlowStart(estimator, settings, self, nowNanos);
    limiter = new ConcurrencyLimiter(settings, estimator, reports);
    bulkLoads = new BulkLoadTracker();
    quotas = new TenantQuotas(settings);
    keyOrdering = new KeyOrdering(settings, estimator);
    pending = new PendingQueue(keyOrdering, estimator);
    queries = new QueryTable(settings.classes(), keyOrdering);
    retryBudget = new RetryBudget(settings);
    canceller = new AttemptCanceller(actions, settings);
    monitor = new AttemptMonitor(settings, clock, outliers, limiter, canceller);
    engines =
        new EngineRegistry(
            new EngineOrder(new EngineSubset(self)),
            settings.kinds(),
            List.of(limiter, slowStart, monitor, peerReports, ratios));

    // Choice of engine.
    retryPolicy = new RetryPolicy(settings, retryBudget, estimator, engines);
    EngineEligibility eligibility =
        new EngineEligibility(retryPolicy, outliers, slowStart, bulkLoads, limiter);
    EngineCandidates candidates =
        new EngineCandidates(engines, slowStart, peerReports, eligibility, limiter);
    RandomPair randomPair = new RandomPair(random, slowStart);
    LoadScore score = new LoadScore(settings, ratios, outliers, reports, limiter);
    EngineSelector selector = new EngineSelector(candidates, randomPair, score, limiter, reports);
    migration = new AttemptMigration(estimator, retryPolicy, candidates, eligibility, canceller);

    // Admission, dispatch and outcomes of queries.
    HealthCheckBudget checkBudget = new HealthCheckBudget(settings, estimator);
    healthChecks = new HealthCheckScheduler(actions, checkBudget, engines, selector, limiter);
    WaitPredictor waitPredictor =
        new WaitPredictor(pending, keyOrdering, engines, eligibility, limiter);
    admission =
        new AdmissionController(keyOrdering, estimator, healthChecks, selector, waitPredictor);
    ReleasePolicy releasePolicy =
        new ReleasePolicy(pending, keyOrdering, healthChecks, selector, retryPolicy);
    rejector = new QueryRejector(actions, queries, outliers, retryPolicy, waitPredictor);
    List<ForwardingListener> listeners =
        List.of(retryBudget, healthChecks, limiter, slowStart, monitor, outliers);
    AttemptForwarder forwarder = new AttemptForwarder(actions, settings, estimator, listeners);
    dispatcher = new QueryDispatcher(clock, pending, releasePolicy, forwarder, rejector);
    outcomes = new OutcomeRecorder(reports, estimator, limiter, outliers, monitor);
  }
}
