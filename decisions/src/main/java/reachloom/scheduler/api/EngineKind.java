package reachloom.scheduler.api;

/** A kind of engine; 0 where a figure is not told. */
public record EngineKind(int cores, double memoryMb) {}
