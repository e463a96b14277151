package reachloom.scheduler.api;

/**
 * What the engines of an installation support.
 *
 * @param memoryGrants whether a query may be given a memory grant
 * @param priorities whether a query may be given a priority
 * @param loadReports whether engines report their load
 * @param progressPeriodNanos how often an engine reports the progress of an attempt; 0 for never
 * @param largestShare largest share of an engine's memory that one query may be granted
 * @param overcommitPolicy what an engine does with grants beyond its memory
 */
public record EngineCapabilities(
    boolean memoryGrants,
    boolean priorities,
    boolean loadReports,
    long progressPeriodNanos,
    double largestShare,
    OvercommitPolicy overcommitPolicy) {}
