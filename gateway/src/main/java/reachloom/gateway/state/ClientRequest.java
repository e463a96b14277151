package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.List;
import reachloom.gateway.state.DeadlineQueue.Deadline;

/**
 * A request that was admitted, until it is closed and none of its attempts is in flight. Confined
 * to the event loop's thread. Times are nanoseconds on its clock.
 */
public final class ClientRequest {
  /**
   * What a request is known by.
   *
   * @param id its id, 16 hexadecimal digits
   * @param queryClass the name of its class
   * @param key the client's idempotency key, or null
   */
  public record Header(String id, String queryClass, String key) {}

  /**
   * The bytes of a statement.
   *
   * @param frame the frame that brought it
   * @param from where it begins there
   * @param length its length in bytes
   */
  public record Statement(byte[] frame, int from, int length) {}

  /**
   * Where a request came from.
   *
   * @param connection the handle of its connection
   * @param sequence its sequence number there
   */
  public record Origin(long connection, int sequence) {}

  public final String id;
  public final String queryClass;
  public final String key;

  /** The frame that holds the statement, which begins at {@link #from}. */
  public final byte[] frame;

  public final int from;
  public final int length;

  /** The handle of the connection that it came on, and its sequence number there. */
  public final long connection;

  public final int sequence;

  /** When its last byte was received, and when the client stops waiting. */
  public final long receivedAtNanos;

  public final long deadlineNanos;
  public final List<EngineAttempt> attempts = new ArrayList<>(1);

  /** Its handle in the registry's slots. */
  public long handle;

  /** Attempts whose end has not been reported yet. */
  public int attemptsInFlight;

  public int priority = 1;

  /** The client is owed nothing more: it got its response, or is gone. */
  public boolean closed;

  /** Responds to the request should nothing else have done so in time. */
  public Deadline backstop;

  /** A request as it was received. */
  public ClientRequest(
      Header header, Statement statement, Origin origin, long receivedAtNanos, long deadlineNanos) {
    id = header.id();
    queryClass = header.queryClass();
    key = header.key();
    frame = statement.frame();
    from = statement.from();
    length = statement.length();
    connection = origin.connection();
    sequence = origin.sequence();
    this.receivedAtNanos = receivedAtNanos;
    this.deadlineNanos = deadlineNanos;
  }
}
