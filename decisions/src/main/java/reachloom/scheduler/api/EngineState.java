package reachloom.scheduler.api;

/** How far an engine is in use, as discovery tells. */
public enum EngineState {
  UP,
  DRAINING,
  REMOVED
}
