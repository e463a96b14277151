package reachloom.scheduler.api;

/**
 * A kind of engine, which several engines share.
 *
 * @param cores processor cores; 0 where the settings do not say
 * @param memoryMb memory in MB; 0 where the settings do not say
 */
public record EngineKind(int cores, double memoryMb) {}
