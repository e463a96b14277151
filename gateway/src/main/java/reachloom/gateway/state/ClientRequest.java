package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.List;
import reachloom.gateway.state.DeadlineQueue.Deadline;

/** A request that was taken, until it is answered and nothing of it is out. */
public final class ClientRequest {
  public final String id;
  public final String queryClass;
  public final String key;
  public final byte[] frame;
  public final int from;
  public final int length;

  /** The connection that brought it, and its number there. */
  public final long client;

  public final int seq;

  /** When its last byte had come, and when the client stops waiting. */
  public final long arrivedAt;

  public final long deadline;
  public final List<EngineAttempt> attempts = new ArrayList<>(1);
  public long handle;
  public int out;
  public int priority = 1;
  public boolean over;

  /** Answers the request should nothing else have done so in time. */
  public Deadline backstop;

  /** A request as it came; the statement is a stretch of the frame. */
  public ClientRequest(
      String id,
      String queryClass,
      String key,
      byte[] frame,
      int from,
      int length,
      long client,
      int seq,
      long arrivedAt,
      long deadline) {
    this.id = id;
    this.queryClass = queryClass;
    this.key = key;
    this.frame = frame;
    this.from = from;
    this.length = length;
    this.client = client;
    this.seq = seq;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }
}
