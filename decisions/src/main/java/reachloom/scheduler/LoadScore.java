package reachloom.scheduler;

import java.util.Comparator;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * The load that an engine would have with a query: threads per core of this gateway, divided by its
 * share of the pool, plus one; multiplied by the engine's latency ratio, its health, its reported
 * load and, in another zone, the price of crossing zones.
 */
final class LoadScore {
  /** Relative load per unit of the price of crossing zones. */
  private static final double CROSS_ZONE_WEIGHT = 15;

  private final LatencyRatios ratios;
  private final OutlierDetector outliers;
  private final LoadReports reports;
  private final ConcurrencyLimiter limiter;
  private final int zone;
  private final double crossZoneFactor;

  /** Creates a score from the state of the given parts. */
  LoadScore(
      SchedulerSettings settings,
      LatencyRatios ratios,
      OutlierDetector outliers,
      LoadReports reports,
      ConcurrencyLimiter limiter) {
    this.ratios = ratios;
    this.outliers = outliers;
    this.reports = reports;
    this.limiter = limiter;
    this.zone = settings.zone();
    this.crossZoneFactor = 1 + settings.crossZonePrice() * CROSS_ZONE_WEIGHT;
  }

  /** Orders engines by load with the query; among equals those without any answer come first. */
  Comparator<EngineRecord> leastLoadedFirst(long nowNanos, QueryRecord query) {
    return Comparator.<EngineRecord>comparingDouble(e -> of(nowNanos, query, e))
        .thenComparing(ratios::hasAnswered);
  }

  private double of(long nowNanos, QueryRecord query, EngineRecord engine) {
    double threads =
        (engine.inFlight.threads() + query.queryClass.threads()) * limiter.inversePoolShare();
    LoadReport report = reports.recent(nowNanos, engine);
    double load = outliers.loadFactor(engine) * (1 + threads / engine.cores) * ratios.of(engine);
    load *= 1 + report.utilization() + report.queueLength() / engine.cores;
    return engine.endpoint().zone() == zone ? load : load * crossZoneFactor;
  }
}
