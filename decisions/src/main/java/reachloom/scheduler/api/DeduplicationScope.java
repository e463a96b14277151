package reachloom.scheduler.api;

/** Which engines recognize a repeated query by its idempotency key. */
public enum DeduplicationScope {
  /** All engines. */
  ALL,
  /** The engines of the zone in which the query ran first. */
  ZONE,
  /** The engines of the cell in which the query ran first. */
  CELL
}
