package reachloom.scheduler.api;

/**
 * An engine as an entry of the endpoint list.
 *
 * @param name the engine's name; a process that replaces another one keeps its name
 * @param state whether the engine accepts queries
 * @param kind its kind, an index into {@link SchedulerSettings#kinds}
 * @param zone its zone
 * @param cell its cell within the zone
 * @param weight its capacity relative to other engines; used if its kind has no number of cores
 * @param incarnation the start of its process by the clock of the list, in nanoseconds, which
 *     distinguishes successive processes; 0 for a process that started long ago
 */
public record EngineEndpoint(
    String name,
    EngineState state,
    int kind,
    int zone,
    int cell,
    double weight,
    long incarnation) {}
