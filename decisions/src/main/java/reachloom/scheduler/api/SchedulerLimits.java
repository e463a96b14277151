package reachloom.scheduler.api;

/**
 * What the platform allows a gateway to do.
 *
 * @param maxAttempts maximum number of attempts of one query, including the first
 * @param cancel whether an attempt may be cancelled
 * @param healthChecks whether health checks may be sent to engines
 * @param hedging whether a second attempt may run beside the first
 * @param retryAfter whether a rejection may carry a Retry-After
 * @param maxRetryAfterNanos the longest Retry-After, in nanoseconds
 */
public record SchedulerLimits(
    int maxAttempts,
    boolean cancel,
    boolean healthChecks,
    boolean hedging,
    boolean retryAfter,
    long maxRetryAfterNanos) {}
