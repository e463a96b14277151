package reachloom.gateway.state;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;

/** A client connection. Confined to the event loop's thread, except for its session. */
public final class ClientConnection {
  public final IoSession session;

  /** The handle of this connection in {@link ClientConnectionTable}. */
  public long handle;

  /** When the client connected or was last active; see {@link ClientConnectionTable#touch}. */
  public long lastActiveAtNanos;

  /** Whether no complete message has been received so far. */
  public boolean silent = true;

  /** Whether a part of an incomplete message was received. */
  public boolean withinMessage;

  /** When the first part of the latest incomplete message was received. */
  public long messageBegunAtNanos;

  /**
   * Whether input of the client may have arrived that was not read yet: it may have cancelled its
   * requests, or be gone.
   */
  public boolean inputUnread;

  /** Since when {@link #inputUnread} is set, on the event loop's clock. */
  public long unreadSinceNanos;

  /** The open requests by their sequence numbers, oldest first. */
  public final Map<Integer, ClientRequest> openRequests = new LinkedHashMap<>();

  /** Creates a connection that was just accepted. */
  public ClientConnection(IoSession session, long nowNanos) {
    this.session = session;
    lastActiveAtNanos = nowNanos;
  }

  /** Returns whether the client has begun a message, or has not sent any since it connected. */
  public boolean awaitsMessage() {
    return silent || withinMessage;
  }
}
