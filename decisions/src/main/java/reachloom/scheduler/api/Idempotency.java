package reachloom.scheduler.api;

/** Whether a query that may have run can be attempted again. */
public enum Idempotency {
  /** Always: it has no effect, or the same effect however often it runs. */
  IDEMPOTENT,
  /**
   * Within its window and {@link DeduplicationScope}, where engines recognize its idempotency key.
   */
  IDEMPOTENT_BY_KEY,
  /** Never, unless it is certain that no attempt has run. */
  NOT_IDEMPOTENT
}
