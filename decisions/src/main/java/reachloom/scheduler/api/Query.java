package reachloom.scheduler.api;

/**
 * A query as a client sent it. A number that the client did not tell is 0.
 *
 * @param id the front's name for it, unique in this gateway
 * @param queryClass its class, a number in {@link SchedulerSettings#classes}
 * @param tenant its tenant, a number in {@link SchedulerSettings#tenants}; beyond them for none
 * @param key its idempotency and ordering key, or null
 * @param remainingNanos time until the client stops waiting
 * @param estimatedCostNanos estimated processor time of all its threads
 * @param estimatedMemoryMb estimated memory, in MB
 * @param tableGroup the group of tables that it reads, or -1
 * @param clientRetry whether the client has sent it before
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
    boolean clientRetry) {}
