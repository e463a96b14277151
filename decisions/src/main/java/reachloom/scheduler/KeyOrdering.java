package reachloom.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Preserves the order of queries with the same key, for classes that require it: only the oldest
 * unfinished query of a key may run, and only when earlier ones can no longer be running.
 */
final class KeyOrdering {
  private final CostEstimator estimator;
  private final long settleNanos;
  private final Map<String, KeyQueue> queues = new LinkedHashMap<>();

  /** Creates an ordering without keys. */
  KeyOrdering(SchedulerSettings settings, CostEstimator estimator) {
    this.estimator = estimator;
    this.settleNanos = settings.rules().orderSettleNanos();
  }

  /** Enqueues a query that has just arrived behind earlier ones of its key, if order matters. */
  void onQuery(QueryRecord query) {
    String key = query.query.key();
    if (query.queryClass.ordered() && key != null) {
      KeyQueue queue = queues.computeIfAbsent(key, KeyQueue::new);
      queue.queries.addLast(query);
      query.keyQueue(queue);
    }
  }

  /** Whether the query need not wait for other queries of its key. */
  boolean mayRun(long nowNanos, QueryRecord query) {
    KeyQueue queue = query.keyQueue();
    return queue == null
        || queue.queries.peekFirst() == query && nowNanos >= queue.blockedUntilNanos;
  }

  /** Time that the other queries of its key still need on an average engine, in seconds. */
  double waitSeconds(QueryRecord query) {
    KeyQueue queue = query.keyQueue();
    return queue == null
        ? 0
        : queue.queries.stream()
            .filter(other -> other != query)
            .mapToDouble(o -> estimator.averageSeconds(o) * (1 - o.completedShare()))
            .sum();
  }

  /** Service time on an average engine, plus the wait for the key unless it may run, in seconds. */
  double secondsToFinish(QueryRecord query, boolean mayRun) {
    return estimator.averageSeconds(query) + (mayRun ? 0 : waitSeconds(query));
  }

  /** Blocks the key for a while after an attempt that its engine may continue to run. */
  void onEnded(long nowNanos, QueryRecord query, AttemptOutcome outcome) {
    KeyQueue queue = query.keyQueue();
    if (queue != null && outcome.mayStillRun) {
      queue.blockedUntilNanos = Math.max(queue.blockedUntilNanos, nowNanos + settleNanos);
    }
  }

  /** Removes a query that is done. */
  void remove(long nowNanos, QueryRecord query) {
    KeyQueue queue = query.keyQueue();
    if (queue != null) {
      queue.queries.remove(query);
      if (isIdle(nowNanos, queue)) {
        queues.remove(queue.key);
      }
    }
  }

  /** Forgets keys that have no queries and are not blocked. */
  void forgetIdle(long nowNanos) {
    queues.values().removeIf(queue -> isIdle(nowNanos, queue));
  }

  private static boolean isIdle(long nowNanos, KeyQueue queue) {
    return queue.queries.isEmpty() && nowNanos >= queue.blockedUntilNanos;
  }
}
