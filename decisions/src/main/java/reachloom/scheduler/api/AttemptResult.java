package reachloom.scheduler.api;

/**
 * The result of an attempt that has ended.
 *
 * @param queryId the query
 * @param attempt the attempt's number, from 0
 * @param engine the engine's name
 * @param outcome how the attempt ended
 * @param elapsedNanos time since the attempt was forwarded
 * @param queryFinished whether the query is finished as well: its client needs no further answer
 * @param costMs processor time of all threads of the attempt, in milliseconds; 0 if the engine does
 *     not report it
 * @param memoryMb memory that the attempt needed, in MB; 0 if the engine does not report it
 * @param loadReport the engine's load report, or null
 */
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
