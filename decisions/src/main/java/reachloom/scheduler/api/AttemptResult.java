package reachloom.scheduler.api;

/** How an attempt ended; {@code costMs} and {@code memoryMb} are 0 where not told. */
public record AttemptResult(
    String query,
    int attempt,
    String engine,
    AttemptOutcome outcome,
    long spent,
    boolean over,
    long costMs,
    double memoryMb,
    LoadReport report) {}
