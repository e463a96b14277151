package reachloom.scheduler.api;

/**
 * Figures of the rules; {@code retryBudgetWindowNanos} 0 means that further attempts are not
 * rationed.
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
