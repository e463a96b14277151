package reachloom.scheduler;

import static reachloom.scheduler.Nanoseconds.PER_MILLISECOND;

import java.util.List;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;

/**
 * Outlier detection: ejects failing engines for a while, with exponential backoff. After an
 * ejection an engine gets at most one query per second until its error rate has fallen to the
 * threshold. Errors, connection resets, failed connects and timeouts found by {@link
 * AttemptMonitor} count as failures.
 */
final class OutlierDetector implements ForwardingListener {
  /** Weight of the newest outcome in the error rate of an engine. */
  private static final double NEWEST_WEIGHT = 0.2;

  /**
   * Error rate above which an engine is ejected: two consecutive failures of an engine without
   * errors exceed it (0.36).
   */
  private static final double EJECTION_ERROR_RATE = 0.35;

  /** Relative load added per unit of the error rate. */
  private static final double LOAD_PER_ERROR_RATE = 3;

  /** Relative load added per unit of suspicion by peers: the same as for errors. */
  private static final double LOAD_PER_SUSPICION = 3;

  /** Duration of the first ejection; doubles with each further one. */
  private static final long BASE_EJECTION_NANOS = 1_000 * PER_MILLISECOND;

  /** Limits an ejection to eight times the first one. */
  private static final int MAX_EJECTION_DOUBLINGS = 3;

  /** Resets within this time count once: they are of one connection. */
  private static final long SAME_RESET_NANOS = 20 * PER_MILLISECOND;

  /** Threshold that no error rate exceeds. */
  private static final double NO_EJECTION = 1;

  /** The health of one engine; private to {@link OutlierDetector}. */
  static final class EngineHealth {
    private double errorRate;
    private int ejections;
    private long ejectedUntilNanos;

    /** When the latest connection reset was counted. */
    private long resetAtNanos;
  }

  private final PeerReports peerReports;

  /** Creates a detector without any outcomes. */
  OutlierDetector(PeerReports peerReports) {
    this.peerReports = peerReports;
  }

  // ---- Effects ----

  /** Whether an engine may get a query: none while ejected, one at a time while suspected. */
  boolean allows(long nowNanos, EngineRecord engine) {
    return nowNanos >= engine.health.ejectedUntilNanos
        && (!peerReports.isSuspected(engine) || engine.inFlight.isEmpty());
  }

  /** Factor on the load of an engine; 1 for a healthy one. */
  double loadFactor(EngineRecord engine) {
    return 1
        + LOAD_PER_ERROR_RATE * engine.health.errorRate
        + LOAD_PER_SUSPICION * peerReports.level(engine);
  }

  // ---- Outcomes ----

  /**
   * Keeps an engine that was ejected from getting another query for {@link #BASE_EJECTION_NANOS},
   * whether or not it serves this one.
   */
  @Override
  public void onForwarded(long nowNanos, AttemptRecord attempt) {
    EngineHealth health = attempt.engine.health;
    if (health.ejections > 0) {
      health.ejectedUntilNanos = nowNanos + BASE_EJECTION_NANOS;
    }
  }

  /** Handles a served attempt. */
  void onServed(long nowNanos, AttemptRecord attempt) {
    attributeErrors(nowNanos, attempt.query, true);
    EngineHealth health = attempt.engine.health;
    health.errorRate -= NEWEST_WEIGHT * health.errorRate;
    if (health.errorRate <= EJECTION_ERROR_RATE) {
      health.ejections = 0;
    }
  }

  /**
   * Handles an attempt that ended in an error, a reset or a failed connect. An error of a query
   * that may be retried counts only when the query is done.
   */
  void onFailed(long nowNanos, AttemptRecord attempt, AttemptResult result) {
    EngineHealth health = attempt.engine.health;
    AttemptOutcome outcome = result.outcome();
    if (outcome == AttemptOutcome.ERROR && !result.queryFinished()) {
      attempt.unattributedError(true);
      return;
    }
    if (outcome == AttemptOutcome.RESET) {
      if (nowNanos - health.resetAtNanos < SAME_RESET_NANOS) {
        return;
      }
      health.resetAtNanos = nowNanos;
    }
    recordFailure(nowNanos, attempt.engine, EJECTION_ERROR_RATE);
  }

  /** Handles the end of a query that no engine served. */
  void onUnserved(long nowNanos, QueryRecord query) {
    attributeErrors(nowNanos, query, false);
  }

  /**
   * Counts an abandoned attempt as a failure: one that timed out, or whose engine process was
   * replaced. If the engine as a whole is unresponsive, it is ejected; else it is only chosen less.
   */
  void onUnresponsive(long nowNanos, EngineRecord engine, boolean engineIsUnresponsive) {
    recordFailure(nowNanos, engine, engineIsUnresponsive ? 0 : NO_EJECTION);
  }

  /** Ejects an engine at least until the given time. */
  void ejectUntil(EngineRecord engine, long nanos) {
    engine.health.ejectedUntilNanos = Math.max(engine.health.ejectedUntilNanos, nanos);
  }

  /**
   * Counts the errors of a query that is done. A query that failed on several engines and was
   * served by none is assumed to be invalid, and its errors do not count.
   */
  private void attributeErrors(long nowNanos, QueryRecord query, boolean served) {
    List<EngineRecord> engines =
        query.attempts().stream()
            .filter(AttemptRecord::hasUnattributedError)
            .map(a -> a.engine)
            .distinct()
            .toList();
    if (served || engines.size() == 1) {
      engines.forEach(e -> recordFailure(nowNanos, e, EJECTION_ERROR_RATE));
    }
  }

  private void recordFailure(long nowNanos, EngineRecord engine, double ejectionErrorRate) {
    EngineHealth health = engine.health;
    health.errorRate += NEWEST_WEIGHT * (1 - health.errorRate);
    if (health.errorRate > ejectionErrorRate && nowNanos >= health.ejectedUntilNanos) {
      int doublings = Math.min(health.ejections, MAX_EJECTION_DOUBLINGS);
      health.ejectedUntilNanos = nowNanos + (BASE_EJECTION_NANOS << doublings);
      health.ejections++;
    }
  }
}
