package reachloom.scheduler.api;

/** News of an attempt. */
public record ProgressReport(
    String query, int attempt, String engine, ProgressKind kind, double amount) {}
