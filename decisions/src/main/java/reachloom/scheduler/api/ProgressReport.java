package reachloom.scheduler.api;

/** News of an attempt. */
public record ProgressReport(
    String queryId, int attempt, String engine, ProgressKind kind, double amount) {}
