package reachloom.scheduler.api;

/** What is allowed. */
public record SchedulerLimits(
    int maxAttempts,
    boolean cancel,
    boolean healthChecks,
    boolean hedging,
    boolean retryAfter,
    long maxRetryAfterNanos) {}
