package reachloom.gateway.wire;

import org.apache.mina.core.session.IoSession;

/**
 * Receives the events of connections, on the thread that serves the sockets: implementations must
 * not block, and post what they receive to the event loop.
 *
 * @param <M> the messages
 */
public interface Listener<M> {
  /** A connection is up. */
  void opened(IoSession session);

  /**
   * A message was received.
   *
   * @param bytes about what it takes in memory
   */
  void received(IoSession session, M message, int bytes);

  /** A message has begun that is not whole yet; the next one received ends it. */
  default void messageStarted(IoSession session) {}

  /** What was received can't be decoded, and nothing more is: the connection is to be closed. */
  default void inputMalformed(IoSession session) {
    session.closeNow();
  }

  /** A connection is closed, by whichever side. */
  void closed(IoSession session);
}
