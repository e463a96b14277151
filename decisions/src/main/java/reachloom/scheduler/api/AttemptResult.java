package reachloom.scheduler.api;

/** How an attempt ended; {@code costMs} and {@code memoryMb} are 0 where not told. */
public record AttemptResult(
    String queryId,
    int attempt,
    String engine,
    AttemptOutcome outcome,
    long elapsedNanos,
    boolean queryFinished,
    long costMs,
    double memoryMb,
    LoadReport loadReport) {}
