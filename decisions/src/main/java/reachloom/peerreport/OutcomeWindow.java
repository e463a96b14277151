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
 * The outcomes of this node's own attempts at each engine over a sliding window, in slices of a
 * second. Not thread-safe; times are nanoseconds of the clock handed in.
 */
public final class OutcomeWindow {
  /** What an attempt shows of its engine. */
  public enum Observation {
    /** It was served. */
    SERVED,
    /** It failed by an error, a reset or no connection. */
    FAILED,
    /** It got no answer. */
    TIMED_OUT;

    /**
     * What the end of an attempt shows of its engine; empty where it shows nothing.
     *
     * @param wanted false where its query was over before: an attempt whose client has gone shows
     *     nothing of the engine
     */
    public static Optional<Observation> of(AttemptOutcome outcome, boolean wanted) {
      return switch (outcome) {
        case SERVED -> Optional.of(SERVED);
        case ERROR, RESET, UNREACHED -> Optional.of(FAILED);
        case TIMEOUT -> Optional.of(TIMED_OUT);
        case CANCELLED -> wanted ? Optional.of(TIMED_OUT) : Optional.empty();
        case FULL, NOT_SENT -> Optional.empty();
      };
    }
  }

  private static final long SLICE_NANOS = 1_000_000_000;
  private static final int SLICES = 10; // long enough for a count, short enough to be of now
  private static final int MIN_STREAK = 2; // failures in a row that are reported: one may be chance
  private static final long STREAK_MEMORY_NANOS = 20 * SLICE_NANOS; // nobody has seen better since
  private static final int MAX_ENGINES = 4_096;

  /** What was seen of one process of an engine. */
  private static final class EngineOutcomes {
    private final long incarnation;
    private final int[][] counts = new int[SLICES][Observation.values().length];
    private final long[] sliceNumbers = new long[SLICES];
    private long lastAtNanos;
    private long lastFailureAtNanos;

    /** Of each kind, the attempts since the last one that was served. */
    private final int[] streak = new int[Observation.values().length];

    /** When it was last reported to others: what has waited longest goes first. */
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

  /** Records what an attempt showed; a new process of an engine begins with nothing. */
  public void record(long nowNanos, String engine, long incarnation, Observation observation) {
    EngineOutcomes outcomes = engines.get(engine);
    if (outcomes != null && incarnation < outcomes.incarnation) {
      return; // the end of an attempt at the process before
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

  /** Forgets an engine that is removed. */
  public void forget(String engine) {
    engines.remove(engine);
  }

  /**
   * What was seen of that process over the last {@code seconds}; a report of no attempts where
   * nothing was.
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

  /** When an attempt at that process last was not served, in nanoseconds; 0 where none was. */
  public long lastFailureAtNanos(String engine, long incarnation) {
    EngineOutcomes outcomes = engines.get(engine);
    return outcomes == null || outcomes.incarnation != incarnation
        ? 0
        : outcomes.lastFailureAtNanos;
  }

  /**
   * What to report of an engine. Where the latest attempts all failed, the report counts those
   * alone: what the engine served before would hide them for as long as the window.
   */
  private PeerReport report(long nowNanos, String engine, EngineOutcomes outcomes) {
    int failed = outcomes.streak[Observation.FAILED.ordinal()];
    int timedOut = outcomes.streak[Observation.TIMED_OUT.ordinal()];
    long ageNanos = nowNanos - outcomes.lastAtNanos;
    if (failed + timedOut >= MIN_STREAK && ageNanos <= STREAK_MEMORY_NANOS) {
      return new PeerReport(engine, outcomes.incarnation, 0, failed, timedOut, ageNanos);
    }
    return summary(nowNanos, engine, outcomes.incarnation, SLICES);
  }

  /**
   * The reports for one packet, at most so many: engines with failures first, then those that have
   * not been reported for longest. What is given counts as reported now.
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
