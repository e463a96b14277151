package reachloom.scheduler;

import static reachloom.scheduler.Nanoseconds.PER_MILLISECOND;

import reachloom.scheduler.api.LoadReport;

/** The latest load report of each engine, from health checks and from the ends of attempts. */
final class LoadReports {
  /** Older reports are ignored. */
  static final long MAX_AGE_NANOS = 2_000 * PER_MILLISECOND;

  /** Replaces a missing report: no load. */
  private static final LoadReport NONE = new LoadReport(0, 0, 0, 0);

  /** The latest load report of one engine; private to {@link LoadReports}. */
  static final class LatestReport {
    private LoadReport report = NONE;
    private long receivedAtNanos;
  }

  private final TickClock clock;

  /** Creates an empty store; reports that were read during a stall of the clock are ignored. */
  LoadReports(TickClock clock) {
    this.clock = clock;
  }

  /**
   * Records a load report of an engine.
   *
   * @param report null if there is none
   * @return false if there is none, or if it may be old since the gateway has just stalled
   */
  boolean record(long nowNanos, EngineRecord engine, LoadReport report) {
    if (report == null || nowNanos <= clock.stalledUntilNanos()) {
      return false;
    }
    engine.latestReport.report = report;
    engine.latestReport.receivedAtNanos = nowNanos;
    return true;
  }

  /** The latest report of an engine; a report of no load if there is no recent one. */
  LoadReport recent(long nowNanos, EngineRecord engine) {
    LatestReport latest = engine.latestReport;
    return nowNanos - latest.receivedAtNanos < MAX_AGE_NANOS ? latest.report : NONE;
  }

  /** Whether a report of an engine was received at the given time or later. */
  boolean hasReportedSince(long nanos, EngineRecord engine) {
    return engine.latestReport.receivedAtNanos >= nanos;
  }
}
