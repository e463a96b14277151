package reachloom.scheduler.api;

/** What the engines heed and tell. */
public record EngineCapabilities(
    boolean grants,
    boolean priorities,
    boolean reports,
    long notePeriod,
    double largestShare,
    OvercommitPolicy overbooked) {}
