package reachloom.scheduler.api;

/** Figures of the rules; {@code lookBack} 0 means that further attempts are not rationed. */
public record SchedulingRules(
    long answerGrace,
    double coldShare,
    long coldTime,
    double fallMultiple,
    long fallTime,
    long orderSettle,
    long lookBack,
    double extraFree,
    double extraPerQuery) {}
