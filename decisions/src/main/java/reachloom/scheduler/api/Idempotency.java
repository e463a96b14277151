package reachloom.scheduler.api;

/** Whether a query that may have run can be attempted again. */
public enum Idempotency {
  /** Always: the query has no effect, or the same effect however often it runs. */
  IDEMPOTENT,
  /**
   * Within the idempotency window and the {@link DeduplicationScope} of its class, in which engines
   * recognize its idempotency key.
   */
  IDEMPOTENT_BY_KEY,
  /** Never, unless it is certain that no attempt has run. */
  NOT_IDEMPOTENT
}
