package reachloom.scheduler.api;

/** What the engines heed and tell. */
public record EngineCapabilities(
    boolean memoryGrants,
    boolean priorities,
    boolean loadReports,
    long progressPeriodNanos,
    double largestShare,
    OvercommitPolicy overcommitPolicy) {}
