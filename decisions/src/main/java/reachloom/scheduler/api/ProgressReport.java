package reachloom.scheduler.api;

/**
 * A report on an attempt that is under way.
 *
 * @param queryId the query
 * @param attempt the attempt's number, from 0
 * @param engine the engine's name
 * @param kind what is reported
 * @param amount the share done for {@link ProgressKind#PROGRESS}, from 0 to 1
 */
public record ProgressReport(
    String queryId, int attempt, String engine, ProgressKind kind, double amount) {}
