package reachloom.scheduler.api;

/**
 * The parameters of the rules that all decisions of a gateway must observe.
 *
 * @param answerGraceNanos how long after its deadline a query may still be answered
 * @param slowStartShare share of its capacity that an engine has when its process has just started
 * @param slowStartNanos how long after its start an engine is warming up
 * @param overloadMultiple multiple of its capacity at which an engine that is warming up fails
 * @param overloadWindowNanos the window over which the load on an engine that is warming up is
 *     summed
 * @param orderSettleNanos how long an attempt that was abandoned may continue to run, which blocks
 *     the next query of its key
 * @param retryBudgetWindowNanos the window of the retry budget; 0 sets no budget
 * @param retryBudgetBase retries that are allowed in each window whatever the number of queries
 * @param retryBudgetPerQuery retries that each query received in the window adds
 */
public record SchedulingRules(
    long answerGraceNanos,
    double slowStartShare,
    long slowStartNanos,
    double overloadMultiple,
    long overloadWindowNanos,
    long orderSettleNanos,
    long retryBudgetWindowNanos,
    double retryBudgetBase,
    double retryBudgetPerQuery) {}
