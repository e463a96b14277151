package reachloom.scheduler.api;

/** What a note tells. */
public enum ProgressKind {
  PROGRESS,
  SPILL,
  MEMORY_WAIT,
  LOAD_WAIT,
  OTHER
}
