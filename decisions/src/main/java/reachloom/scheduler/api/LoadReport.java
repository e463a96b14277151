package reachloom.scheduler.api;

/**
 * An engine's load as it reports it; a value that engines of this kind do not report is 0.
 *
 * @param utilization share of its cores in use
 * @param queueLength queries that wait for a thread
 * @param memoryShare share of its memory in use
 * @param diskShare share of its disk throughput in use
 */
public record LoadReport(
    double utilization, double queueLength, double memoryShare, double diskShare) {}
