package reachloom.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Sockets;

/**
 * Closes connections to clients, engines and the change log gracefully: stops handling input,
 * writes pending output, shuts the output down, reads and discards further input, and closes the
 * connection once the peer has closed it, or after a timeout. A close with unread input would reset
 * the connection, and destroy data that the peer has not read yet.
 *
 * <p>Confined to the event loop's thread.
 */
final class LingeringClose {
  private final EventLoop loop;
  private final Sockets sockets;
  private final long timeoutNanos;
  private int maxConnections;

  /** The connections that the peer has not closed yet, oldest first, with their timeouts. */
  private final Map<IoSession, Deadline> closing = new LinkedHashMap<>();

  /**
   * Creates the component; no connection is closing yet.
   *
   * @param timeoutNanos how long the peer may take to close
   * @param maxConnections the most connections that may be closing at once; at least 1 is allowed
   */
  LingeringClose(EventLoop loop, Sockets sockets, long timeoutNanos, int maxConnections) {
    this.loop = loop;
    this.sockets = sockets;
    this.timeoutNanos = timeoutNanos;
    this.maxConnections = Math.max(1, maxConnections);
  }

  /**
   * Starts to close a connection; nothing may be written to it afterwards. If too many are closing,
   * the oldest one is closed at once.
   */
  void close(IoSession session) {
    if (session.isClosing() || closing.containsKey(session)) {
      return;
    }
    DecodingHandler.discardInput(session);
    closing.put(session, loop.deadlines().add(loop.now() + timeoutNanos, () -> closeNow(session)));
    session.getCloseFuture().addListener(future -> loop.post(0, () -> closeNow(session)));
    sockets.shutOutputOnceWritten(session);
    if (closing.size() > maxConnections) {
      closeNow(closing.keySet().iterator().next());
    }
  }

  private void closeNow(IoSession session) {
    Deadline timeout = closing.remove(session);
    if (timeout != null) {
      loop.deadlines().cancel(timeout);
      session.closeNow();
    }
  }

  /**
   * Removes the limit on closing connections: no new connection needs their descriptors any more.
   */
  void removeLimit() {
    maxConnections = Integer.MAX_VALUE;
  }

  /** Returns whether one more connection can be closed without closing another one at once. */
  boolean hasCapacity() {
    return closing.size() < maxConnections;
  }

  /** Returns the number of connections that are closing. */
  int pending() {
    return closing.size();
  }
}
