package reachloom.scheduler;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the engine of a query: the less loaded of two random candidates (power of two random
 * choices), or of the engines that answered a request for load reports on behalf of the query.
 */
final class EngineSelector {
  private final EngineCandidates candidates;
  private final RandomPair randomPair;
  private final LoadScore score;
  private final ConcurrencyLimiter limiter;
  private final LoadReports reports;

  /** Creates a selector that compares engines by the given score. */
  EngineSelector(
      EngineCandidates candidates,
      RandomPair randomPair,
      LoadScore score,
      ConcurrencyLimiter limiter,
      LoadReports reports) {
    this.candidates = candidates;
    this.randomPair = randomPair;
    this.score = score;
    this.limiter = limiter;
    this.reports = reports;
  }

  /** The engine for the query; empty if none has capacity. */
  Optional<EngineRecord> select(long nowNanos, QueryRecord query) {
    List<EngineRecord> open =
        limiter.fitsPool(nowNanos, query) ? candidates.find(nowNanos, query) : List.of();
    List<EngineRecord> answered = answered(query, open);
    List<EngineRecord> drawn = answered.isEmpty() ? randomPair.draw(nowNanos, open) : answered;
    return drawn.stream().min(score.leastLoadedFirst(nowNanos, query));
  }

  /** The engines that answered a request for load reports; one that did not may be overloaded. */
  private List<EngineRecord> answered(QueryRecord query, List<EngineRecord> engines) {
    HealthCheckScheduler.ReportRequest request = query.reportRequest;
    return request.isEmpty()
        ? List.of()
        : engines.stream().filter(e -> request.isAnsweredBy(e, reports)).toList();
  }

  /** Two random engines with capacity for the query; fewer if there are no more. */
  List<EngineRecord> drawPair(long nowNanos, QueryRecord query) {
    return randomPair.draw(nowNanos, candidates.find(nowNanos, query));
  }

  /** Whether an engine may get the query and has capacity for it. */
  boolean hasCapacity(long nowNanos, QueryRecord query, EngineRecord engine) {
    return candidates.hasCapacity(nowNanos, query, engine);
  }
}
