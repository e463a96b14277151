package reachloom.scheduler.api;

/**
 * An engine as the endpoint list has it.
 *
 * @param name its name, which a later process at the same place keeps
 * @param state whether it takes queries
 * @param kind its kind, a number in {@link SchedulerSettings#kinds}
 * @param zone its zone
 * @param cell its cell within the zone
 * @param weight its capacity against others where its kind does not tell its cores
 * @param incarnation the start of its process on the list's clock, in nanoseconds, which tells one
 *     process from the next; 0 for one that started long ago
 */
public record EngineEndpoint(
    String name,
    EngineState state,
    int kind,
    int zone,
    int cell,
    double weight,
    long incarnation) {}
