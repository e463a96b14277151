package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import reachloom.gateway.state.DeadlineQueue.Deadline;

/**
 * An admitted request, until it is closed and none of its attempts is in flight. Confined to the
 * event loop's thread. Times are nanoseconds on the event loop's clock.
 */
public final class ClientRequest {
  /**
   * The identification of a request.
   *
   * @param id the request's id, 16 hexadecimal digits
   * @param queryClass the name of the request's class
   * @param classIndex the index of the class in the settings
   * @param tenantIndex the index of the tenant in the settings
   * @param key the client's idempotency key, or null
   */
  public record Header(String id, String queryClass, int classIndex, int tenantIndex, String key) {}

  /**
   * The bytes of a statement.
   *
   * @param frame the frame that holds the statement
   * @param offset the statement's offset in the frame
   * @param length the statement's length in bytes
   */
  public record Statement(byte[] frame, int offset, int length) {}

  /**
   * The origin of a request.
   *
   * @param connection the handle of the request's connection
   * @param sequence the request's sequence number on that connection
   */
  public record Origin(long connection, int sequence) {}

  /**
   * The wait of a request until it is known whether the client of an earlier one has left.
   *
   * @param sinceNanos when the wait began
   * @param arrivalsHandled whether everything that had arrived by then is handled
   */
  public record DepartureWait(long sinceNanos, boolean arrivalsHandled) {}

  public final String id;
  public final String queryClass;
  public final int classIndex;
  public final int tenantIndex;
  public final String key;

  /** The frame that holds the statement at {@link #statementOffset}. */
  public final byte[] frame;

  public final int statementOffset;
  public final int statementLength;

  /** The handle of the request's connection. */
  public final long connection;

  /** The sequence number of the request on its connection. */
  public final int sequence;

  /** When the last byte of the request was received, or may have been at the earliest. */
  public final long receivedAtNanos;

  /** When the client stops waiting, or earlier if the gateway shuts down. */
  public final long deadlineNanos;

  public final List<EngineAttempt> attempts = new ArrayList<>(1);

  /** The handle of this request in the registry's slots. */
  public long handle;

  /** The number of attempts whose end has not been reported yet. */
  public int attemptsInFlight;

  public int priority = 1;

  /** Whether the scheduler was told of the request. */
  public boolean submitted;

  /** When it is checked again whether the request may be submitted; null if that is not due. */
  public Deadline nextCheck;

  /** Whether the client needs no response any more: it was sent, or the client is gone. */
  public boolean closed;

  /** Whether it was closed because its client has cancelled it or left. */
  public boolean clientGone;

  /** When it was closed. */
  public long closedAtNanos;

  /** Its wait for the client of an earlier request with its id; null if there is none. */
  public DepartureWait departureWait;

  /** The deadline at which the gateway itself responds if the request is still open. */
  public Deadline expiryTimer;

  /** Creates a request as it was received. */
  public ClientRequest(
      Header header, Statement statement, Origin origin, long receivedAtNanos, long deadlineNanos) {
    id = header.id();
    queryClass = header.queryClass();
    classIndex = header.classIndex();
    tenantIndex = header.tenantIndex();
    key = header.key();
    frame = statement.frame();
    statementOffset = statement.offset();
    statementLength = statement.length();
    connection = origin.connection();
    sequence = origin.sequence();
    this.receivedAtNanos = receivedAtNanos;
    this.deadlineNanos = deadlineNanos;
  }

  /** Returns whether another request has the same statement. */
  public boolean hasSameStatement(ClientRequest other) {
    return Arrays.equals(
        frame,
        statementOffset,
        statementOffset + statementLength,
        other.frame,
        other.statementOffset,
        other.statementOffset + other.statementLength);
  }
}
