package reachloom.scheduler.api;

/**
 * The end of an attempt.
 *
 * @param queryId the query
 * @param attempt the attempt's number, from 0
 * @param engine the engine's name
 * @param outcome how it ended
 * @param elapsedNanos time since it was forwarded
 * @param queryFinished whether the query is finished with it: nothing more is owed to the client
 * @param costMs processor time of all its threads as the engine tells, in milliseconds; 0 where it
 *     does not
 * @param memoryMb memory that it needed as the engine tells, in MB; 0 where it does not
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
