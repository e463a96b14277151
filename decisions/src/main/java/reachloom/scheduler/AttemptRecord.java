package reachloom.scheduler;

/** One attempt to run a query on one engine. */
final class AttemptRecord {
  final QueryRecord query;

  /** The attempt's place among those of its query, from 0. */
  final int number;

  final EngineRecord engine;
  final long forwardedAtNanos;

  /** Threads that the attempt occupies at its engine. */
  final int threads;

  /** Memory that the attempt is assumed to occupy at its engine, in MB. */
  final double memoryMb;

  /** Seconds that the attempt is predicted to take on an engine of latency ratio 1. */
  final double predictedSeconds;

  /** The progress reported so far; owned by {@link AttemptMonitor}. */
  final AttemptMonitor.AttemptSignals signals = new AttemptMonitor.AttemptSignals();

  private boolean ended;
  private boolean cancelled;
  private boolean unattributedError;

  /** Creates the next attempt of the query, which is not yet among {@link QueryRecord#attempts}. */
  AttemptRecord(
      QueryRecord query,
      EngineRecord engine,
      long forwardedAtNanos,
      double memoryMb,
      double predictedSeconds) {
    this.query = query;
    this.number = query.attempts().size();
    this.engine = engine;
    this.forwardedAtNanos = forwardedAtNanos;
    this.threads = query.queryClass.threads();
    this.memoryMb = memoryMb;
    this.predictedSeconds = predictedSeconds;
  }

  /** Whether the event of the attempt's end has arrived. */
  boolean isEnded() {
    return ended;
  }

  /** Marks the attempt as ended. */
  void end() {
    ended = true;
  }

  /** Whether the attempt was cancelled; the event of its end may still be outstanding. */
  boolean isCancelled() {
    return cancelled;
  }

  /** Marks the attempt as cancelled. */
  void cancel() {
    cancelled = true;
  }

  /** Whether the attempt ended in an error that may be the query's fault or the engine's. */
  boolean hasUnattributedError() {
    return unattributedError;
  }

  /** Sets whether the attempt ended in an error that may be the query's fault or the engine's. */
  void unattributedError(boolean value) {
    unattributedError = value;
  }
}
