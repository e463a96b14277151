package reachloom.scheduler;

import reachloom.scheduler.SchedulingDecision.Action;

/** Carries out the decisions on queries, and visits queued queries when that may help them. */
final class QueryDispatcher {
  /** Queued queries that are visited on each event; a tick visits all of them. */
  private static final int MAX_VISITED_PER_EVENT = 8;

  private final TickClock clock;
  private final PendingQueue pending;
  private final ReleasePolicy releasePolicy;
  private final AttemptForwarder forwarder;
  private final QueryRejector rejector;

  /** Creates a dispatcher for the given queue. */
  QueryDispatcher(
      TickClock clock,
      PendingQueue pending,
      ReleasePolicy releasePolicy,
      AttemptForwarder forwarder,
      QueryRejector rejector) {
    this.clock = clock;
    this.pending = pending;
    this.releasePolicy = releasePolicy;
    this.forwarder = forwarder;
    this.rejector = rejector;
  }

  /** Carries out a decision. */
  void apply(long nowNanos, QueryRecord query, SchedulingDecision decision) {
    switch (decision.action) {
      case FORWARD -> {
        pending.remove(query);
        forwarder.forward(nowNanos, query, decision.engine);
      }
      case QUEUE, QUEUE_IN_ORDER -> pending.add(query);
      case REJECT -> {
        pending.remove(query);
        rejector.reject(nowNanos, query);
      }
    }
  }

  /** Visits the oldest queued queries after an event. */
  void releaseOldest(long nowNanos) {
    release(nowNanos, MAX_VISITED_PER_EVENT);
  }

  /** Visits all queued queries. */
  void releaseAll(long nowNanos) {
    release(nowNanos, Integer.MAX_VALUE);
  }

  private void release(long nowNanos, int max) {
    extendAfterStall(nowNanos);
    boolean isBlocked = false;
    for (QueryRecord query : pending.oldest(max)) {
      SchedulingDecision decision = releasePolicy.decide(nowNanos, query, isBlocked);
      apply(nowNanos, query, decision);
      isBlocked |= decision.action == Action.QUEUE_IN_ORDER;
    }
  }

  /** Extends the time that queries may wait by the time for which the gateway has stalled. */
  void extendAfterStall(long nowNanos) {
    long stallNanos = clock.takeStall(nowNanos);
    if (stallNanos > 0) {
      pending.extendQueueTimes(stallNanos);
    }
  }
}
