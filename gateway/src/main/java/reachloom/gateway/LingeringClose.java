package reachloom.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Sockets;

/**
 * Closes connections to clients, engines and the change log in order: nothing more is read as work,
 * what is owed is written, the output is shut down, what still arrives is read and discarded, and
 * once the other side has closed, or after a time-out, the connection is closed. A close with
 * unread input would reset the connection, and destroy what the other side has not read yet.
 *
 * <p>Confined to the event loop's thread.
 */
final class LingeringClose {
  private final EventLoop loop;
  private final Sockets sockets;
  private final long timeoutNanos;
  private int maxConnections;

  /** The connections that the other side has still to close, oldest first, with their time-outs. */
  private final Map<IoSession, Deadline> closing = new LinkedHashMap<>();

  /**
   * Nothing is closing yet.
   *
   * @param timeoutNanos how long the other side may take to close
   * @param maxConnections connections that may be closing at once; at least 1 is allowed
   */
  LingeringClose(EventLoop loop, Sockets sockets, long timeoutNanos, int maxConnections) {
    this.loop = loop;
    this.sockets = sockets;
    this.timeoutNanos = timeoutNanos;
    this.maxConnections = Math.max(1, maxConnections);
  }

  /**
   * Starts to close a connection, to which nothing may be written any more. The oldest one that is
   * closing is cut where there are too many.
   */
  void end(IoSession session) {
    if (session.isClosing() || closing.containsKey(session)) {
      return;
    }
    DecodingHandler.discardInput(session);
    closing.put(session, loop.deadlines().add(loop.now() + timeoutNanos, () -> cut(session)));
    session.getCloseFuture().addListener(future -> loop.post(0, () -> cut(session)));
    sockets.shutOutputOnceWritten(session);
    if (closing.size() > maxConnections) {
      cut(closing.keySet().iterator().next());
    }
  }

  private void cut(IoSession session) {
    Deadline timeout = closing.remove(session);
    if (timeout != null) {
      loop.deadlines().cancel(timeout);
      session.closeNow();
    }
  }

  /** Lifts the bound: nothing new needs the descriptors, so that none has to be cut for another. */
  void removeLimit() {
    maxConnections = Integer.MAX_VALUE;
  }

  /** Whether one more can be closed without another one being cut for it. */
  boolean hasCapacity() {
    return closing.size() < maxConnections;
  }

  /** The number of connections that are closing. */
  int pending() {
    return closing.size();
  }
}
