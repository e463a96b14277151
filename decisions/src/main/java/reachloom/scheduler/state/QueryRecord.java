package reachloom.scheduler.state;

import java.util.ArrayList;
import java.util.List;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.QueryClass;

/** A query that the gateway has taken, until it is answered and nothing of it is out. */
public final class QueryRecord {
  public final Query query;
  public final QueryClass kind;
  public final long number;
  public final long arrivedAt;
  public final long deadline;
  public final List<Attempt> attempts = new ArrayList<>();
  public int out;
  public boolean over;
  public boolean streaming;
  public boolean beyondShare;
  public long heldUntil;

  /** Engines asked for a report before it is sent, and until when their answers are waited for. */
  public final List<Engine> asked = new ArrayList<>();

  public long askedUntil;

  /** When the first attempt that may have run was sent, and where; -1 while none may have. */
  public long firstRunAt = -1;

  public Engine firstRunOn;
  public KeyQueue keyLine;

  /** A query just taken. */
  public QueryRecord(Query query, QueryClass kind, long number, long arrivedAt, long deadline) {
    this.query = query;
    this.kind = kind;
    this.number = number;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }

  /** Notes an attempt that may have run; the first one counts. */
  public void mayHaveRun(Attempt a) {
    if (firstRunAt < 0) {
      firstRunAt = a.sentAt;
      firstRunOn = a.engine;
    }
  }

  /** Whether an attempt went to that engine. */
  public boolean triedOn(Engine engine) {
    return attempts.stream().anyMatch(a -> a.engine == engine);
  }

  /** The largest share done of the attempts that are out. */
  public double done() {
    return attempts.stream().filter(a -> !a.ended).mapToDouble(a -> a.share).max().orElse(0);
  }
}
