package reachloom.scheduler;

import reachloom.scheduler.api.QueryClass;
import reachloom.scheduler.state.MovingAverage;

/** What a gateway has learned of one class. */
final class QueryClassStatistics {
  public final QueryClass queryClass;

  /** Seconds of time for a second of cost; 0 before the first cost is known. */
  public double factor;

  /** Seconds that a query takes; stands at the aim until one was served. */
  public final MovingAverage time;

  /** Seconds of work: of all queries whose cost is known, and of those served. */
  public final MovingAverage cost = new MovingAverage(0);

  public final MovingAverage served = new MovingAverage(0);

  /** Memory needed, in MB, and for each MB estimated. */
  public final MovingAverage memory = new MovingAverage(0);

  public final MovingAverage memoryFactor = new MovingAverage(1);

  /** Nothing learned yet. */
  public QueryClassStatistics(QueryClass queryClass) {
    this.queryClass = queryClass;
    this.time = new MovingAverage(queryClass.latencyObjectiveNanos() / 1e9);
  }
}
