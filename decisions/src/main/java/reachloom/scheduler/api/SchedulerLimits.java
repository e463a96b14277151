package reachloom.scheduler.api;

/**
 * What the platform lets a gateway do.
 *
 * @param maxAttempts attempts of one query at most, the first one included
 * @param cancel whether an attempt may be cancelled
 * @param healthChecks whether engines may be asked for their health and load
 * @param hedging whether a second attempt may run beside the first
 * @param retryAfter whether a rejection may name a time to come back
 * @param maxRetryAfterNanos the longest such time, in nanoseconds
 */
public record SchedulerLimits(
    int maxAttempts,
    boolean cancel,
    boolean healthChecks,
    boolean hedging,
    boolean retryAfter,
    long maxRetryAfterNanos) {}
