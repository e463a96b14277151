package reachloom.peerreport;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * The outcomes of this node's own attempts at each engine over a sliding window, in slices of one
 * second. Not thread-safe; times are nanoseconds of the caller's clock.
 */
public final class OutcomeWindow {
  /** The evidence that an attempt gives about its engine. */
  public enum Observation {
    /** The attempt was served. */
    SERVED,
    /** The attempt failed with an error, a reset or a failed connection. */
    FAILED,
    /** The attempt got no response. */
    TIMED_OUT;

    /**
     * Returns the evidence that the outcome of an attempt gives about its engine; empty if it gives
     * none.
     *
     * @param queryActive false if the query ended before the attempt did, for example because its
     *     client disconnected: a cancelled attempt is then no evidence about the engine
     */
    public static Optional<Observation> of(AttemptOutcome outcome, boolean queryActive) {
      return switch (outcome) {
        case SERVED -> Optional.of(SERVED);
        case ERROR, RESET, UNREACHED -> Optional.of(FAILED);
        case TIMEOUT -> Optional.of(TIMED_OUT);
        case CANCELLED -> queryActive ? Optional.of(TIMED_OUT) : Optional.empty();
        case FULL, NOT_SENT -> Optional.empty();
      };
    }
  }

  private static final long SLICE_NANOS = 1_000_000_000;
  private static final int SLICES = 10; // enough attempts to count, and still current
  private static final int MIN_STREAK = 2; // consecutive failures; a single one may be chance

  /** How long a streak of failures is reported if no later attempt was served. */
  private static final long STREAK_LIFETIME_NANOS = 20 * SLICE_NANOS;

  private static final int MAX_ENGINES = 4_096;

  /** The outcomes of attempts at one process of an engine. */
  private static final class EngineOutcomes {
    private final long incarnation;
    private final int[][] counts = new int[SLICES][Observation.values().length];
    private final long[] sliceNumbers = new long[SLICES];
    private long lastAtNanos;
    private long lastFailureAtNanos;

    /** The number of attempts since the last one that was served, by observation. */
    private final int[] streak = new int[Observation.values().length];

    /** When the engine was last reported to others: the least recently reported goes first. */
    private long reportedAtNanos;

    EngineOutcomes(long incarnation) {
      this.incarnation = incarnation;
    }

    private void record(long nowNanos, Observation observation) {
      long sliceNumber = nowNanos / SLICE_NANOS;
      int slice = (int) (sliceNumber % SLICES);
      if (sliceNumbers[slice] != sliceNumber) {
        sliceNumbers[slice] = sliceNumber;
        counts[slice] = new int[Observation.values().length];
      }
      counts[slice][observation.ordinal()]++;
      lastAtNanos = nowNanos;
      if (observation == Observation.SERVED) {
        Arrays.fill(streak, 0);
      } else {
        lastFailureAtNanos = nowNanos;
        streak[observation.ordinal()]++;
      }
    }

    private int[] sum(long nowNanos, int slices) {
      int[] sum = new int[Observation.values().length];
      long newest = nowNanos / SLICE_NANOS;
      long oldest = newest - Math.min(slices, SLICES) + 1;
      for (int i = 0; i < SLICES; i++) {
        if (sliceNumbers[i] >= oldest && sliceNumbers[i] <= newest) {
          for (int kind = 0; kind < sum.length; kind++) {
            sum[kind] += counts[i][kind];
          }
        }
      }
      return sum;
    }
  }

  private final Map<String, EngineOutcomes> engines = new LinkedHashMap<>();

  /** Records an attempt; the window of a new process of an engine starts empty. */
  public void record(long nowNanos, String engine, long incarnation, Observation observation) {
    EngineOutcomes outcomes = engines.get(engine);
    if (outcomes != null && incarnation < outcomes.incarnation) {
      return; // an attempt at the previous process has ended late
    }
    if (outcomes == null || incarnation > outcomes.incarnation) {
      engines.remove(engine);
      if (engines.size() >= MAX_ENGINES) {
        engines.remove(engines.keySet().iterator().next());
      }
      outcomes = new EngineOutcomes(incarnation);
      engines.put(engine, outcomes);
    }
    outcomes.record(nowNanos, observation);
  }

  /** Removes the outcomes of an engine. */
  public void forget(String engine) {
    engines.remove(engine);
  }

  /**
   * Returns the outcomes of attempts at that process over the last {@code seconds}; a report of
   * zero attempts if there were none.
   */
  public PeerReport summary(long nowNanos, String engine, long incarnation, int seconds) {
    EngineOutcomes outcomes = engines.get(engine);
    if (outcomes == null || outcomes.incarnation != incarnation) {
      return new PeerReport(engine, incarnation, 0, 0, 0, Long.MAX_VALUE);
    }
    int[] sum = outcomes.sum(nowNanos, seconds);
    return new PeerReport(
        engine,
        incarnation,
        sum[Observation.SERVED.ordinal()],
        sum[Observation.FAILED.ordinal()],
        sum[Observation.TIMED_OUT.ordinal()],
        nowNanos - outcomes.lastAtNanos);
  }

  /**
   * Returns when an attempt at that process last failed or timed out, in nanoseconds; 0 if none
   * did.
   */
  public long lastFailureAtNanos(String engine, long incarnation) {
    EngineOutcomes outcomes = engines.get(engine);
    return outcomes == null || outcomes.incarnation != incarnation
        ? 0
        : outcomes.lastFailureAtNanos;
  }

  /**
   * Returns the report on an engine. If the latest attempts all failed, the report counts only
   * those: attempts served earlier would hide the failures until the window has passed.
   */
  private PeerReport report(long nowNanos, String engine, EngineOutcomes outcomes) {
    int failed = outcomes.streak[Observation.FAILED.ordinal()];
    int timedOut = outcomes.streak[Observation.TIMED_OUT.ordinal()];
    long ageNanos = nowNanos - outcomes.lastAtNanos;
    if (failed + timedOut >= MIN_STREAK && ageNanos <= STREAK_LIFETIME_NANOS) {
      return new PeerReport(engine, outcomes.incarnation, 0, failed, timedOut, ageNanos);
    }
    return summary(nowNanos, engine, outcomes.incarnation, SLICES);
  }

  /**
   * Returns up to {@code maxReports} reports for one packet: engines with failures first, then the
   * least recently reported ones. The returned reports count as reported now.
   */
  public List<PeerReport> reportsToSend(long nowNanos, int maxReports) {
    List<PeerReport> reports = new ArrayList<>();
    engines.forEach(
        (engine, outcomes) -> {
          PeerReport report = report(nowNanos, engine, outcomes);
          if (report.attempts() > 0) {
            reports.add(report);
          }
        });
    reports.sort(
        Comparator.<PeerReport>comparingInt(report -> report.unserved() > 0 ? 0 : 1)
            .thenComparingLong(report -> engines.get(report.engine()).reportedAtNanos));
    List<PeerReport> chosen = reports.subList(0, Math.min(maxReports, reports.size()));
    chosen.forEach(report -> engines.get(report.engine()).reportedAtNanos = nowNanos);
    return List.copyOf(chosen);
  }
}
