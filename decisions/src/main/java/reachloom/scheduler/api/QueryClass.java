package reachloom.scheduler.api;

import java.util.List;

/**
 * A class of queries.
 *
 * @param latencyObjectiveNanos the time within which an answer earns its full weight
 * @param latencyObjectiveStretch seconds added to the objective per second of work of a thread
 * @param deadlineNanos the time after which an answer earns nothing
 * @param priorityWeight the weight that an answer within the objective earns
 * @param latePriorityWeight the weight that a later answer earns
 * @param idempotency whether an attempt may be repeated
 * @param deduplicationScope which engines recognize the idempotency key
 * @param idempotencyWindowNanos how long after the first attempt engines recognize the idempotency
 *     key
 * @param ordered whether queries of one key run one after another, in order of arrival
 * @param streams whether answers are streamed
 * @param engineKinds kinds of engines that may run it; empty for all
 * @param zones zones in which it may run; empty for all
 * @param threads threads that a query takes on an engine, at least 1
 * @param loadsTables whether a query loads the table group that it names
 * @param waitsForTableLoads whether a query waits while its table group is loaded
 */
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
