package reachloom.scheduler.api;

/** Whether a query may be repeated. */
public enum Idempotency {
  IDEMPOTENT,
  IDEMPOTENT_BY_KEY,
  NOT_IDEMPOTENT
}
