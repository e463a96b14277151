package reachloom.scheduler.api;

/** What is allowed. */
public record SchedulerLimits(
    int maxAttempts,
    boolean cancel,
    boolean probes,
    boolean secondCopies,
    boolean retryAfter,
    long maxRetryAfter) {}
