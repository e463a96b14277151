package reachloom.scheduler.api;

/** A load report; a value that the engines do not tell is 0. */
public record LoadReport(
    double utilization, double queueLength, double memoryShare, double diskShare) {}
