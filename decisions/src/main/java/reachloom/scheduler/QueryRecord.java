package reachloom.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.QueryClass;

/** A query that has arrived, until it is finished and none of its attempts is in flight. */
final class QueryRecord {
  final Query query;
  final QueryClass queryClass;

  /** Position in the order of arrival. */
  final long sequence;

  final long deadlineNanos;

  /** Load reports requested on behalf of the query; owned by {@link HealthCheckScheduler}. */
  final HealthCheckScheduler.ReportRequest reportRequest = new HealthCheckScheduler.ReportRequest();

  /** The first attempt that may have run; owned by {@link RetryPolicy}. */
  final RetryPolicy.FirstExecution firstExecution = new RetryPolicy.FirstExecution();

  private final List<AttemptRecord> attempts = new ArrayList<>();
  private final List<AttemptRecord> attemptsView = Collections.unmodifiableList(attempts);
  private int inFlight;
  private boolean finished;
  private boolean streaming;
  private boolean overQuota;
  private long queuedUntilNanos;
  private KeyQueue keyQueue;

  /** Creates the record of a query that has just arrived. */
  QueryRecord(Query query, QueryClass queryClass, long sequence, long deadlineNanos) {
    this.query = query;
    this.queryClass = queryClass;
    this.sequence = sequence;
    this.deadlineNanos = deadlineNanos;
  }

  /** All attempts so far, in order. */
  List<AttemptRecord> attempts() {
    return attemptsView;
  }

  /** Adds an attempt that was forwarded. */
  void add(AttemptRecord attempt) {
    attempts.add(attempt);
    inFlight++;
  }

  /** Marks an attempt as ended. */
  void end(AttemptRecord attempt) {
    attempt.end();
    inFlight--;
  }

  /** Whether an attempt has not ended yet. */
  boolean isInFlight() {
    return inFlight > 0;
  }

  /** Whether an attempt was forwarded to the given engine. */
  boolean hasTried(EngineRecord engine) {
    for (AttemptRecord attempt : attempts) {
      if (attempt.engine == engine) {
        return true;
      }
    }
    return false;
  }

  /** The largest completed share of an attempt in flight, from 0 to 1. */
  double completedShare() {
    return attempts.stream()
        .filter(a -> !a.isEnded())
        .mapToDouble(a -> a.signals.completedShare())
        .max()
        .orElse(0);
  }

  /** Whether the query has its final answer, or needs none since its client is gone. */
  boolean isFinished() {
    return finished;
  }

  /** Marks the query as finished. */
  void finish() {
    finished = true;
  }

  /** Whether an answer has begun to stream to the client. */
  boolean isStreaming() {
    return streaming;
  }

  /** Marks the query as streaming. */
  void startStreaming() {
    streaming = true;
  }

  /** Whether the query's tenant was over its quota at arrival; set by {@link TenantQuotas}. */
  boolean isOverQuota() {
    return overQuota;
  }

  /** Sets whether the query's tenant was over its quota at arrival. */
  void overQuota(boolean value) {
    overQuota = value;
  }

  /** Until when the query may wait for capacity; set by {@link PendingQueue}. */
  long queuedUntilNanos() {
    return queuedUntilNanos;
  }

  /** Sets until when the query may wait for capacity. */
  void queueUntil(long nanos) {
    queuedUntilNanos = nanos;
  }

  /** The queue of the query's key, or null if its order does not matter. */
  KeyQueue keyQueue() {
    return keyQueue;
  }

  /** Sets the queue of the query's key; called by {@link KeyOrdering}. */
  void keyQueue(KeyQueue queue) {
    keyQueue = queue;
  }
}
