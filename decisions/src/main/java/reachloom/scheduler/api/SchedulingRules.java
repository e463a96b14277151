package reachloom.scheduler.api;

/**
 * The figures of the rules that a gateway keeps, whatever it decides.
 *
 * @param answerGraceNanos how long after its deadline a query may still be answered
 * @param slowStartShare share of an engine's capacity that it has when its process has just started
 * @param slowStartNanos how long after its start an engine is warming up
 * @param overloadMultiple times its capacity that a warming engine takes before it fails
 * @param overloadWindowNanos the window over which that load is summed
 * @param orderSettleNanos how long an attempt that was given up may still run on, which holds up
 *     the next query of its key
 * @param retryBudgetWindowNanos the window of the retry budget; 0 sets no budget
 * @param retryBudgetBase further attempts that are free in each window
 * @param retryBudgetPerQuery further attempts that each query taken in the window adds
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
