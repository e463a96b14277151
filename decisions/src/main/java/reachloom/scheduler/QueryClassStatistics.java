package reachloom.scheduler;

import reachloom.scheduler.api.QueryClass;
import reachloom.scheduler.state.MovingAverage;

/** Observations of one class of queries; owned by {@link CostEstimator}. */
final class QueryClassStatistics {
  final QueryClass queryClass;

  /** Service time in seconds; the latency objective until a query was served. */
  final MovingAverage serviceSeconds;

  /** Work in seconds of all queries whose cost is known. */
  final MovingAverage workSeconds = new MovingAverage(0);

  /** Work in seconds of the queries that were served. */
  final MovingAverage servedWorkSeconds = new MovingAverage(0);

  /** Memory of a query, in MB. */
  final MovingAverage memoryMb = new MovingAverage(0);

  /** Actual over estimated memory of a query. */
  final MovingAverage memoryFactor = new MovingAverage(1);

  /** Service time per second of work; 0 before the first cost is known. */
  double secondsPerWorkSecond;

  /** Creates statistics without observations. */
  QueryClassStatistics(QueryClass queryClass) {
    this.queryClass = queryClass;
    this.serviceSeconds =
        new MovingAverage(Nanoseconds.toSeconds(queryClass.latencyObjectiveNanos()));
  }
}
