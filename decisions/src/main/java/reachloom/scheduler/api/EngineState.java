package reachloom.scheduler.api;

/** The state of an engine in the endpoint list. */
public enum EngineState {
  /** The engine accepts queries. */
  UP,
  /** The engine finishes its queries and accepts no new ones. */
  DRAINING,
  /** The engine is no longer listed. */
  REMOVED
}
