package reachloom.scheduler.api;

/** The state of an engine in the endpoint list. */
public enum EngineState {
  /** It takes queries. */
  UP,
  /** It finishes what it has and takes nothing new. */
  DRAINING,
  /** It is no longer listed. */
  REMOVED
}
