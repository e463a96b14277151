package reachloom.scheduler.api;

/** A query; absent numbers are 0, an absent key is null, an absent table group is -1. */
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
