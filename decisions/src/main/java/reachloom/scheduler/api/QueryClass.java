package reachloom.scheduler.api;

import java.util.List;

/** A class of queries; an empty list of kinds or zones binds it to none. */
public record QueryClass(
    long latencyObjectiveNanos,
    double latencyObjectiveStretch,
    long deadlineNanos,
    double priorityWeight,
    double latePriorityWeight,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long idempotencyWindowNanos,
    boolean ordered,
    boolean streams,
    List<Integer> engineKinds,
    List<Integer> zones,
    int threads,
    boolean loadsTables,
    boolean waitsForTableLoads) {}
