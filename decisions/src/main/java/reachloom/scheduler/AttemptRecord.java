package reachloom.scheduler;

/** One attempt of a query. */
final class AttemptRecord {
  public final QueryRecord query;
  public final int number;
  public final EngineRecord engine;
  public final long forwardedAtNanos;
  public int threads;
  public double memoryMb;

  /** Predicted time, in seconds, before the engine's ratio. */
  public double predictedSeconds;

  public double share;
  public long lastNote;
  public boolean inLine;
  public boolean ended;
  public boolean abandoned;

  /** Ended in an error that is nobody's fault yet. */
  public boolean erred;

  /** An attempt just sent. */
  public AttemptRecord(QueryRecord query, int number, EngineRecord engine, long forwardedAtNanos) {
    this.query = query;
    this.number = number;
    this.engine = engine;
    this.forwardedAtNanos = forwardedAtNanos;
  }
}
