package reachloom.scheduler;

/** What to do with a query now. */
final class SchedulingDecision {
  /** The kinds of decisions. */
  enum Action {
    /** Forward the query to the engine of the decision. */
    FORWARD,
    /** Queue the query; younger queries may be forwarded before it. */
    QUEUE,
    /** Queue the query for capacity; younger queries for the same engines wait behind it. */
    QUEUE_IN_ORDER,
    /** Reject the query. */
    REJECT
  }

  static final SchedulingDecision QUEUE = new SchedulingDecision(Action.QUEUE, null);
  static final SchedulingDecision QUEUE_IN_ORDER =
      new SchedulingDecision(Action.QUEUE_IN_ORDER, null);
  static final SchedulingDecision REJECT = new SchedulingDecision(Action.REJECT, null);

  final Action action;

  /** Null except for {@link Action#FORWARD}. */
  final EngineRecord engine;

  private SchedulingDecision(Action action, EngineRecord engine) {
    this.action = action;
    this.engine = engine;
  }

  /** A decision to forward the query to the given engine. */
  static SchedulingDecision forward(EngineRecord engine) {
    return new SchedulingDecision(Action.FORWARD, engine);
  }
}
