package reachloom.scheduler.api;

import java.util.List;

/** A class of queries; an empty list of kinds or zones binds it to none. */
public record QueryClass(
    long aim,
    double aimStretch,
    long deadline,
    double worth,
    double lateWorth,
    Idempotency effect,
    DeduplicationScope scope,
    long keyWindow,
    boolean ordered,
    boolean stream,
    List<Integer> kinds,
    List<Integer> zones,
    int threads,
    boolean load,
    boolean waitsForLoads) {}
