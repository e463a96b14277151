package reachloom.scheduler.api;

/**
 * A kind of engine: the capacity that all engines of the kind have.
 *
 * @param cores processor cores; 0 if not configured
 * @param memoryMb memory in MB; 0 if not configured
 */
public record EngineKind(int cores, double memoryMb) {}
