package reachloom.scheduler;

import java.util.List;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Tracks the progress that engines report and abandons attempts that became unresponsive. Engines
 * that report progress do so once per period. An engine that has sent nothing for several periods
 * is unresponsive as a whole; an engine that still reports may have lost single attempts.
 */
final class AttemptMonitor implements EngineListener, ForwardingListener {
  /** Periods without progress after which an attempt times out while its engine responds. */
  private static final double ATTEMPT_TIMEOUT_PERIODS = 1.5;

  /** Periods without any signal after which an engine and its attempts time out. */
  private static final double ENGINE_TIMEOUT_PERIODS = 2.5;

  /** The latest signal of one engine; private to {@link AttemptMonitor}. */
  static final class EngineSignals {
    private long lastSignalNanos;
  }

  /** The latest progress of one attempt; written by {@link AttemptMonitor} alone. */
  static final class AttemptSignals {
    private long lastProgressNanos;
    private boolean waitsForMemory;
    private double completedShare;

    /** The share of the query that the attempt has done, from 0 to 1. */
    double completedShare() {
      return completedShare;
    }
  }

  private final TickClock clock;
  private final OutlierDetector outliers;
  private final ConcurrencyLimiter limiter;
  private final AttemptCanceller canceller;

  /** Nanoseconds between two progress reports of an attempt; 0 if engines send none. */
  private final double periodNanos;

  /** Creates a monitor without attempts. */
  AttemptMonitor(
      SchedulerSettings settings,
      TickClock clock,
      OutlierDetector outliers,
      ConcurrencyLimiter limiter,
      AttemptCanceller canceller) {
    this.clock = clock;
    this.outliers = outliers;
    this.limiter = limiter;
    this.canceller = canceller;
    this.periodNanos = settings.capabilities().progressPeriodNanos();
  }

  // ---- Signals ----

  @Override
  public void onEngineListed(long nowNanos, EngineRecord engine, boolean isIncremental) {
    onSignal(nowNanos, engine);
  }

  /**
   * Starts the timeout of an engine that was idle. Must be notified after {@link
   * ConcurrencyLimiter}, which counts the attempt as in flight.
   */
  @Override
  public void onForwarded(long nowNanos, AttemptRecord attempt) {
    if (attempt.engine.inFlight.attemptCount() == 1) {
      onSignal(nowNanos, attempt.engine);
    }
  }

  /** Records that an engine sent something. */
  void onSignal(long nowNanos, EngineRecord engine) {
    engine.signals.lastSignalNanos = nowNanos;
  }

  /** Records progress of an attempt; an attempt that waits for memory marks its engine as full. */
  void onProgress(long nowNanos, AttemptRecord attempt, ProgressReport progress) {
    onSignal(nowNanos, attempt.engine);
    AttemptSignals signals = attempt.signals;
    signals.lastProgressNanos = nowNanos;
    signals.waitsForMemory = progress.kind() == ProgressKind.MEMORY_WAIT;
    if (signals.waitsForMemory) {
      limiter.markFull(nowNanos, attempt.engine);
    } else if (progress.kind() == ProgressKind.PROGRESS) {
      signals.completedShare = progress.amount();
    }
  }

  // ---- Unresponsive attempts ----

  /** Abandons attempts on the given engines that have timed out. */
  void onTick(long nowNanos, List<EngineRecord> engines) {
    if (periodNanos > 0) {
      engines.forEach(e -> abandonUnresponsive(nowNanos, e));
    }
  }

  private void abandonUnresponsive(long nowNanos, EngineRecord engine) {
    long lastSignalNanos = Math.max(engine.signals.lastSignalNanos, clock.stalledUntilNanos());
    boolean engineIsUnresponsive =
        nowNanos - lastSignalNanos > ENGINE_TIMEOUT_PERIODS * periodNanos;
    boolean engineResponds = nowNanos - lastSignalNanos < periodNanos;
    for (AttemptRecord attempt : engine.inFlight.attempts()) {
      long silentNanos = nowNanos - lastSignalOf(attempt);
      // An engine may lose single queries while it answers the rest, so that each attempt has a
      // timeout of its own. An attempt that waits for memory reports this once, and then nothing
      // until it runs.
      boolean isUnresponsive =
          silentNanos
              > (engineResponds ? ATTEMPT_TIMEOUT_PERIODS : ENGINE_TIMEOUT_PERIODS) * periodNanos;
      if (isUnresponsive && !(engineResponds && attempt.signals.waitsForMemory)) {
        abandon(nowNanos, attempt, engineIsUnresponsive);
      }
    }
  }

  private long lastSignalOf(AttemptRecord attempt) {
    long lastSignal = Math.max(attempt.forwardedAtNanos, attempt.signals.lastProgressNanos);
    return Math.max(clock.stalledUntilNanos(), lastSignal);
  }

  /** Abandons all attempts on an incarnation that was replaced by another one. */
  void abandonAll(long nowNanos, EngineRecord engine) {
    engine.inFlight.attempts().forEach(a -> abandon(nowNanos, a, false));
  }

  /**
   * Frees the capacity of an attempt and cancels it, so that its query can be retried elsewhere.
   */
  private void abandon(long nowNanos, AttemptRecord attempt, boolean engineIsUnresponsive) {
    limiter.release(attempt);
    outliers.onUnresponsive(nowNanos, attempt.engine, engineIsUnresponsive);
    canceller.cancel(attempt);
  }
}
