package reachloom.scheduler;

import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/**
 * The state of one incarnation of an engine. State that belongs to one part only is in a record of
 * that part, whose fields are private to it; this class has references to these records so that no
 * part needs a lookup by engine.
 */
final class EngineRecord {
  final String name;

  /** Position in the order in which engines were first listed; the same for all incarnations. */
  final long listPosition;

  final double cores;
  final InFlightWork inFlight = new InFlightWork();
  final ConcurrencyLimiter.Limit limit;
  final LatencyRatios.EngineLatency latency = new LatencyRatios.EngineLatency();
  final OutlierDetector.EngineHealth health = new OutlierDetector.EngineHealth();
  final PeerReports.Suspicion suspicion = new PeerReports.Suspicion();
  final SlowStart.WarmUp warmUp = new SlowStart.WarmUp();
  final LoadReports.LatestReport latestReport = new LoadReports.LatestReport();
  final HealthCheckScheduler.CheckState healthCheck = new HealthCheckScheduler.CheckState();
  final AttemptMonitor.EngineSignals signals = new AttemptMonitor.EngineSignals();
  final BulkLoadTracker.ForeignLoads foreignLoads = new BulkLoadTracker.ForeignLoads();

  private EngineEndpoint endpoint;
  private EngineState state = EngineState.UP;
  private boolean current = true;

  /** Creates the record of an engine that was just listed; {@code memoryMb} is 0 if unknown. */
  EngineRecord(EngineEndpoint endpoint, long listPosition, double cores, double memoryMb) {
    this.name = endpoint.name();
    this.listPosition = listPosition;
    this.cores = cores;
    this.limit = new ConcurrencyLimiter.Limit(cores, memoryMb, inFlight);
    this.endpoint = endpoint;
  }

  /** The latest list entry of the engine. */
  EngineEndpoint endpoint() {
    return endpoint;
  }

  /**
   * Whether the latest list entry of this incarnation says that it is up; also true for one that
   * was replaced since.
   */
  boolean isListedUp() {
    return state == EngineState.UP;
  }

  /** Whether this incarnation is listed as up and has not been replaced. */
  boolean isUp() {
    return state == EngineState.UP && current;
  }

  /** Whether the registry still has this incarnation. */
  boolean isCurrent() {
    return current;
  }

  /** Sets the latest list entry; called by {@link EngineRegistry}. */
  void update(EngineEndpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /** Sets the state; called by {@link EngineRegistry}. */
  void state(EngineState newState) {
    state = newState;
  }

  /** Marks the incarnation as replaced or removed; called by {@link EngineRegistry}. */
  void retire() {
    current = false;
  }
}
