package reachloom.gateway.state;

import java.util.HashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;

/** A client's connection. Confined to the event loop's thread; its session is not. */
public final class ClientConnection {
  public final IoSession session;

  /** Its handle in {@link ClientConnectionTable}. */
  public long handle;

  /** When it connected, or was last active; see {@link ClientConnectionTable#touch}. */
  public long lastActiveAtNanos;

  /** When a message began that was not received whole at once. */
  public long messageBegunAtNanos;

  /** The open requests by their sequence numbers. */
  public final Map<Integer, ClientRequest> openRequests = new HashMap<>();

  /** A connection just accepted. */
  public ClientConnection(IoSession session, long nowNanos) {
    this.session = session;
    lastActiveAtNanos = nowNanos;
  }
}
