package reachloom.scheduler.api;

/** An engine as discovery lists it; {@code incarnation} 0 means that it started long ago. */
public record EngineEndpoint(
    String name,
    EngineState state,
    int kind,
    int zone,
    int cell,
    double weight,
    long incarnation) {}
