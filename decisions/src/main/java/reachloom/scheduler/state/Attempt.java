package reachloom.scheduler.state;

/** One attempt of a query. */
public final class Attempt {
  public final QueryRecord query;
  public final int number;
  public final Engine engine;
  public final long sentAt;
  public int threads;
  public double memory;

  /** Predicted time, in seconds, before the engine's ratio. */
  public double predicted;

  public double share;
  public long lastNote;
  public boolean inLine;
  public boolean ended;
  public boolean abandoned;

  /** Ended in an error that is nobody's fault yet. */
  public boolean erred;

  /** An attempt just sent. */
  public Attempt(QueryRecord query, int number, Engine engine, long sentAt) {
    this.query = query;
    this.number = number;
    this.engine = engine;
    this.sentAt = sentAt;
  }
}
