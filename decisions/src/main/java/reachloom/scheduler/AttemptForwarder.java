package reachloom.scheduler;

import java.util.List;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerSettings;

/** Forwards queries to engines and requests the resources that they should get there. */
final class AttemptForwarder {
  private static final int NORMAL_PRIORITY = 1;
  private static final int HIGH_PRIORITY = 3;

  /** No timeout of its own: the attempt may last until the client's deadline. */
  private static final long NO_TIMEOUT = 0;

  private final SchedulerActions actions;
  private final boolean enginesSupportPriorities;
  private final CostEstimator estimator;
  private final List<ForwardingListener> listeners;

  /** Creates a forwarder that notifies the listeners of each attempt, in the given order. */
  AttemptForwarder(
      SchedulerActions actions,
      SchedulerSettings settings,
      CostEstimator estimator,
      List<ForwardingListener> listeners) {
    this.actions = actions;
    this.enginesSupportPriorities = settings.capabilities().priorities();
    this.estimator = estimator;
    this.listeners = listeners;
  }

  /** Forwards a query to that engine. */
  void forward(long nowNanos, QueryRecord query, EngineRecord engine) {
    AttemptRecord attempt =
        new AttemptRecord(
            query, engine, nowNanos, estimator.memoryMb(query), estimator.nominalSeconds(query));
    setResources(query);
    actions.forward(query.query.id(), engine.name, NO_TIMEOUT);
    query.add(attempt);
    listeners.forEach(l -> l.onForwarded(nowNanos, attempt));
  }

  /** Sends memory reservation and priority, where the engines support them. */
  private void setResources(QueryRecord query) {
    int priority = estimator.hasHighValueDensity(query) ? HIGH_PRIORITY : NORMAL_PRIORITY;
    double reservationMb = estimator.reservationMb(query);
    if (enginesSupportPriorities && priority != NORMAL_PRIORITY || reservationMb > 0) {
      actions.setResources(query.query.id(), reservationMb, priority);
    }
  }
}
