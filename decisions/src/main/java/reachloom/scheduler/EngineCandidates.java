package reachloom.scheduler;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Finds the engines among which the engine of a query is drawn. A gateway uses the first few
 * engines with capacity in its own order (deterministic subsetting), which keeps the number of
 * connections low.
 */
final class EngineCandidates {
  /** Enough that two random choices find capacity while some engines are ejected. */
  private static final int MIN_SUBSET_SIZE = 8;

  /** Share of an engine's cores in use by this gateway above which it uses more engines. */
  private static final double CORES_SHARE_PER_ENGINE = 0.2;

  private static final Comparator<EngineRecord> BY_LIST_POSITION =
      Comparator.comparingLong(e -> e.listPosition);

  private final EngineRegistry engines;
  private final SlowStart slowStart;
  private final PeerReports peerReports;
  private final EngineEligibility eligibility;
  private final ConcurrencyLimiter limiter;

  /** Creates a finder over the engines of the given registry. */
  EngineCandidates(
      EngineRegistry engines,
      SlowStart slowStart,
      PeerReports peerReports,
      EngineEligibility eligibility,
      ConcurrencyLimiter limiter) {
    this.engines = engines;
    this.slowStart = slowStart;
    this.peerReports = peerReports;
    this.eligibility = eligibility;
    this.limiter = limiter;
  }

  /** The engines with capacity for the query among which one is to be drawn; possibly empty. */
  List<EngineRecord> find(long nowNanos, QueryRecord query) {
    int wanted = subsetSize();
    // Engines that were tried and engines that peers suspect are used only if no other has
    // capacity.
    Predicate<EngineRecord> isBest =
        e ->
            !peerReports.isSuspected(e)
                && !query.hasTried(e)
                && eligibility.hasCapacity(nowNanos, query, e);
    List<EngineRecord> found = byPreference(nowNanos, wanted + 1, isBest);
    if (found.isEmpty()) {
      found = secondChoice(nowNanos, query, wanted);
    } else if (found.size() <= wanted) {
      found = found.stream().sorted(BY_LIST_POSITION).toList();
    }
    return preferring(
        found.size() > wanted ? found.subList(0, wanted) : found,
        e -> eligibility.isFreeOfBulkLoads(nowNanos, query, e));
  }

  /** Whether an engine may get the query and has capacity for it. */
  boolean hasCapacity(long nowNanos, QueryRecord query, EngineRecord engine) {
    return eligibility.hasCapacity(nowNanos, query, engine);
  }

  private int subsetSize() {
    double meanCores = limiter.poolCores() / Math.max(1, engines.size());
    return (int)
        Math.max(
            MIN_SUBSET_SIZE,
            Math.ceil(limiter.poolThreads() / (meanCores * CORES_SHARE_PER_ENGINE)));
  }

  /**
   * The first engines in this gateway's order; those that are warming up come before the others,
   * since few gateways may use them.
   */
  private List<EngineRecord> byPreference(
      long nowNanos, int count, Predicate<EngineRecord> wanted) {
    Stream<EngineRecord> warm =
        engines.upByPreference().filter(e -> !slowStart.isWarmingUp(nowNanos, e));
    return Stream.concat(slowStart.warmingUp(nowNanos), warm).filter(wanted).limit(count).toList();
  }

  /**
   * The engines with capacity that were tried before or that peers suspect, for when there is no
   * other.
   */
  private List<EngineRecord> secondChoice(long nowNanos, QueryRecord query, int wanted) {
    Stream<EngineRecord> tried = query.attempts().stream().map(a -> a.engine);
    List<EngineRecord> found =
        Stream.concat(tried, peerReports.suspected())
            .distinct()
            .filter(e -> e.isUp() && eligibility.hasCapacity(nowNanos, query, e))
            .sorted(BY_LIST_POSITION)
            .toList();
    found = preferring(found, e -> !query.hasTried(e));
    found = preferring(found, e -> !peerReports.isSuspected(e));
    return found.size() <= wanted
        ? found
        : byPreference(nowNanos, wanted, new LinkedHashSet<>(found)::contains);
  }

  private static List<EngineRecord> preferring(
      List<EngineRecord> engines, Predicate<EngineRecord> wanted) {
    List<EngineRecord> preferred = engines.stream().filter(wanted).toList();
    return preferred.isEmpty() ? engines : preferred;
  }
}
