package reachloom.gateway.state;

import java.util.HashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;

/** A connection of a client. */
public final class ClientConnection {
  public final IoSession session;
  public long handle;

  /** When it came up, or when the last whole message came from it or went to it. */
  public long activeAt;

  /** When a message began that was not whole at once. */
  public long begunAt;

  /** The open requests by their numbers. */
  public final Map<Integer, ClientRequest> open = new HashMap<>();

  /** A connection just accepted. */
  public ClientConnection(IoSession session, long now) {
    this.session = session;
    activeAt = now;
  }
}
