package reachloom.peerreport;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * What this instance itself has seen of each engine, over the latest span, in slices of a second.
 */
public final class OutcomeWindow {
  /** What became of an attempt. */
  public enum Observation {
    SERVED,
    FAILED,
    TIMED_OUT;

    /**
     * What the end of an attempt tells of its engine, or null where it tells nothing; {@code
     * wanted} is false where its query was over before: one given up by its client says nothing of
     * the engine.
     */
    public static OutcomeWindow.Observation of(AttemptOutcome outcome, boolean wanted) {
      return switch (outcome) {
        case SERVED -> SERVED;
        case ERROR, RESET, UNREACHED -> FAILED;
        case TIMEOUT -> TIMED_OUT;
        case CANCELLED -> wanted ? TIMED_OUT : null;
        case FULL, NOT_SENT -> null;
      };
    }
  }

  private static final long SLICE = 1_000_000_000; // nanoseconds
  private static final int SLICES =
      10; // of the span: long enough for a count, short enough to be of now
  private static final int STREAK = 2; // attempts in a row that came to nothing: one may be chance
  private static final long MEMORY = 20 * SLICE; // of such a row: nobody has seen better since
  private static final int MAX_ENGINES = 4_096;

  private static final class Page {
    private final long since;
    private final int[][] counts = new int[SLICES][OutcomeWindow.Observation.values().length];
    private final long[] slices = new long[SLICES];
    private long lastAt;
    private long lastBadAt;

    /**
     * What came to nothing since the last attempt that was served: of each kind, and since when.
     */
    private final int[] streak = new int[OutcomeWindow.Observation.values().length];

    /** When it was last told to others: who has waited longest goes first. */
    private long toldAt;

    Page(long since) {
      this.since = since;
    }
  }

  private final Map<String, Page> pages = new LinkedHashMap<>();

  /** Notes what became of an attempt at an engine; a new process begins a new page. */
  public void record(long now, String engine, long since, OutcomeWindow.Observation seen) {
    Page p = pages.get(engine);
    if (p != null && since < p.since) {
      return; // the end of an attempt at the process before
    }
    if (p == null || since > p.since) {
      pages.remove(engine);
      if (pages.size() >= MAX_ENGINES) {
        pages.remove(pages.keySet().iterator().next());
      }
      p = new Page(since);
      pages.put(engine, p);
    }
    long slice = now / SLICE;
    int place = (int) (slice % SLICES);
    if (p.slices[place] != slice) {
      p.slices[place] = slice;
      p.counts[place] = new int[OutcomeWindow.Observation.values().length];
    }
    p.counts[place][seen.ordinal()]++;
    p.lastAt = now;
    if (seen == OutcomeWindow.Observation.SERVED) {
      Arrays.fill(p.streak, 0);
    } else {
      p.lastBadAt = now;
      p.streak[seen.ordinal()]++;
    }
  }

  /** Forgets an engine that is gone. */
  public void forget(String engine) {
    pages.remove(engine);
  }

  /**
   * What has been seen of that process over the last {@code slices} seconds; a sample of 0 where
   * nothing has.
   */
  public PeerReport summary(long now, String engine, long since, int slices) {
    Page p = pages.get(engine);
    if (p == null || p.since != since) {
      return new PeerReport(engine, since, 0, 0, 0, Long.MAX_VALUE);
    }
    int[] sum = new int[OutcomeWindow.Observation.values().length];
    long slice = now / SLICE;
    for (int i = 0; i < SLICES; i++) {
      if (p.slices[i] > slice - Math.min(slices, SLICES) && p.slices[i] <= slice) {
        for (int k = 0; k < sum.length; k++) {
          sum[k] += p.counts[i][k];
        }
      }
    }
    return new PeerReport(
        engine,
        since,
        sum[OutcomeWindow.Observation.SERVED.ordinal()],
        sum[OutcomeWindow.Observation.FAILED.ordinal()],
        sum[OutcomeWindow.Observation.TIMED_OUT.ordinal()],
        now - p.lastAt);
  }

  /** When an attempt at that process last came to nothing; 0 where none has. */
  public long lastFailureAtNanos(String engine, long since) {
    Page p = pages.get(engine);
    return p == null || p.since != since ? 0 : p.lastBadAt;
  }

  /**
   * What to tell of an engine. One at which the latest attempts all came to nothing is told of by
   * those alone: what it served before it fell sick would hide it for as long as the span.
   */
  private PeerReport claim(long now, String engine, Page p) {
    int failed = p.streak[OutcomeWindow.Observation.FAILED.ordinal()];
    int lost = p.streak[OutcomeWindow.Observation.TIMED_OUT.ordinal()];
    if (failed + lost >= STREAK && now - p.lastAt <= MEMORY) {
      return new PeerReport(engine, p.since, 0, failed, lost, now - p.lastAt);
    }
    return summary(now, engine, p.since, SLICES);
  }

  /**
   * Claims for one packet: engines that fail go first, then those that have not been told of for
   * longest.
   */
  public List<PeerReport> reportsToSend(long now, int most) {
    List<PeerReport> claims = new ArrayList<>();
    pages.forEach(
        (engine, p) -> {
          PeerReport c = claim(now, engine, p);
          if (c.attempts() > 0) {
            claims.add(c);
          }
        });
    claims.sort(
        Comparator.<PeerReport>comparingInt(c -> c.failed() + c.timedOut() > 0 ? 0 : 1)
            .thenComparingLong(c -> pages.get(c.engine()).toldAt));
    List<PeerReport> told = claims.subList(0, Math.min(most, claims.size()));
    told.forEach(c -> pages.get(c.engine()).toldAt = now);
    return List.copyOf(told);
  }
}
