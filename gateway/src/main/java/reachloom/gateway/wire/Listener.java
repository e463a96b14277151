package reachloom.gateway.wire;

import org.apache.mina.core.session.IoSession;

/**
 * Receives the events of connections on the thread that serves the sockets. Implementations must
 * not block; they post events to the event loop.
 *
 * @param <M> the type of the messages
 */
public interface Listener<M> {
  /** A connection was established. */
  void opened(IoSession session);

  /**
   * A message was received.
   *
   * @param bytes the approximate memory of the message, in bytes
   */
  void received(IoSession session, M message, int bytes);

  /** The start of a message was received; the next message received is this one, complete. */
  default void messageStarted(IoSession session) {}

  /**
   * A further part of the message that {@link #messageStarted} announced was received, and the
   * message is still incomplete.
   *
   * @param bytes the number of bytes received
   */
  default void messageContinued(IoSession session, int bytes) {}

  /**
   * More input may have arrived than was read so far. Reported before the messages of a read that
   * left input, and when reading is paused. The end of the stream may be among what is unread.
   */
  default void inputUnread(IoSession session) {}

  /** All input was read that had arrived, after {@link #inputUnread}. */
  default void inputRead(IoSession session) {}

  /** Malformed input was received; no more input is decoded, and the connection must be closed. */
  default void inputMalformed(IoSession session) {
    session.closeNow();
  }

  /** A connection was closed by either side. */
  void closed(IoSession session);
}
