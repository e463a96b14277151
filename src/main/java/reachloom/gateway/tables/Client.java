package reachloom.gateway.tables;

import java.util.HashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;

/** A connection of a client. */
public final class Client {
  public final IoSession session;
  public long handle;
  /** The open requests by their numbers. */
  public final Map<Integer, Request> open = new HashMap<>();

  /** A connection just accepted. */
  public Client(IoSession session) {
    this.session = session;
  }
}
