package reachloom.scheduler;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The queries that wait for capacity, for their key or for load reports, oldest first. */
final class PendingQueue {
  /** Share of its remaining time for which a query may wait for capacity. */
  private static final double QUEUE_TIME_SHARE = 0.1;

  private final TreeMap<Long, QueryRecord> queries = new TreeMap<>();
  private final KeyOrdering keyOrdering;
  private final CostEstimator estimator;

  /** Creates an empty queue. */
  PendingQueue(KeyOrdering keyOrdering, CostEstimator estimator) {
    this.keyOrdering = keyOrdering;
    this.estimator = estimator;
  }

  /** Adds a query at its place by arrival; has no effect if it is queued already. */
  void add(QueryRecord query) {
    queries.put(query.sequence, query);
  }

  /** Removes a query if it is queued. */
  void remove(QueryRecord query) {
    queries.remove(query.sequence);
  }

  /** A snapshot of the oldest queries, at most the given number. */
  List<QueryRecord> oldest(int max) {
    return queries.values().stream().limit(max).toList();
  }

  /** The ids of all queued queries. */
  Set<String> ids() {
    return queries.values().stream().map(q -> q.query.id()).collect(Collectors.toSet());
  }

  /** Starts the time for which a query may wait for capacity. */
  void restartQueueTime(long nowNanos, QueryRecord query) {
    query.queueUntil(nowNanos + (long) ((query.deadlineNanos - nowNanos) * QUEUE_TIME_SHARE));
  }

  /** Extends the time for which queries may wait for capacity, in nanoseconds. */
  void extendQueueTimes(long nanos) {
    queries.values().forEach(q -> q.queueUntil(q.queuedUntilNanos() + nanos));
  }

  /** Work of the queries that wait for capacity alone, in thread-seconds. */
  double workSeconds(long nowNanos) {
    return queries.values().stream()
        .filter(q -> keyOrdering.mayRun(nowNanos, q))
        .mapToDouble(q -> estimator.averageSeconds(q) * q.queryClass.threads())
        .sum();
  }
}
