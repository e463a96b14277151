package reachloom.scheduler.api;

/** Which engines drop a repeat of a keyed query. */
public enum DeduplicationScope {
  ALL,
  ZONE,
  CELL
}
