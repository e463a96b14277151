package reachloom.scheduler;

import java.util.ArrayList;
import java.util.List;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.QueryClass;

/** A query that the gateway has taken, until it is answered and nothing of it is out. */
final class QueryRecord {
  public final Query query;
  public final QueryClass queryClass;
  public final long sequence;
  public final long arrivedAt;
  public final long deadlineNanos;
  public final List<AttemptRecord> attempts = new ArrayList<>();
  public int out;
  public boolean over;
  public boolean streaming;
  public boolean beyondShare;
  public long heldUntil;

  /** Engines asked for a report before it is sent, and until when their answers are waited for. */
  public final List<EngineRecord> asked = new ArrayList<>();

  public long askedUntil;

  /** When the first attempt that may have run was sent, and where; -1 while none may have. */
  public long firstRunAt = -1;

  public EngineRecord firstRunOn;
  public KeyQueue keyQueue;

  /** A query just taken. */
  public QueryRecord(
      Query query, QueryClass queryClass, long sequence, long arrivedAt, long deadlineNanos) {
    this.query = query;
    this.queryClass = queryClass;
    this.sequence = sequence;
    this.arrivedAt = arrivedAt;
    this.deadlineNanos = deadlineNanos;
  }

  /** Notes an attempt that may have run; the first one counts. */
  public void mayHaveRun(AttemptRecord a) {
    if (firstRunAt < 0) {
      firstRunAt = a.forwardedAtNanos;
      firstRunOn = a.engine;
    }
  }

  /** Whether an attempt went to that engine. */
  public boolean triedOn(EngineRecord engine) {
    return attempts.stream().anyMatch(a -> a.engine == engine);
  }

  /** The largest share done of the attempts that are out. */
  public double done() {
    return attempts.stream().filter(a -> !a.ended).mapToDouble(a -> a.share).max().orElse(0);
  }
}
