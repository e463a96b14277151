package reachloom.scheduler.api;

/**
 * A query as a client sent it. A number that the client did not send is 0.
 *
 * @param id the identifier that the front end has assigned, unique in this gateway
 * @param queryClass its class, an index into {@link SchedulerSettings#classes}
 * @param tenant its tenant, an index into {@link SchedulerSettings#tenants}; an index beyond the
 *     list if the query has no tenant
 * @param key its idempotency and ordering key, or null
 * @param remainingNanos time until the client stops waiting
 * @param estimatedCostNanos estimated processor time of all its threads
 * @param estimatedMemoryMb estimated memory, in MB
 * @param tableGroup the group of tables that it reads, or -1
 * @param clientRetry whether the client has sent the query before
 * @param ageNanos time since the query arrived, at the longest; over 0 if the front end noticed it
 *     late
 */
public record Query(
    String id,
    int queryClass,
    int tenant,
    String key,
    long remainingNanos,
    long estimatedCostNanos,
    double estimatedMemoryMb,
    int tableGroup,
    boolean clientRetry,
    long ageNanos) {
  /** Creates a query that has just arrived. */
  public Query(
      String id,
      int queryClass,
      int tenant,
      String key,
      long remainingNanos,
      long estimatedCostNanos,
      double estimatedMemoryMb,
      int tableGroup,
      boolean clientRetry) {
    this(
        id,
        queryClass,
        tenant,
        key,
        remainingNanos,
        estimatedCostNanos,
        estimatedMemoryMb,
        tableGroup,
        clientRetry,
        0);
  }
}
