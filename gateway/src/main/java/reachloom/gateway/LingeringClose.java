package reachloom.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Sockets;

/**
 * Ends connections that this side wants to end, to clients, engines and the change log alike:
 * nothing more is read as work, what is owed is written, the output is shut, what still comes is
 * read and dropped, and once the other side has closed, or after a bound, the connection is closed.
 * A close over unread bytes would reset it, and take with it what the other side has not read yet.
 * For the loop's own thread.
 */
final class LingeringClose {
  private final EventLoop loop;
  private final Sockets sockets;
  private final long longest;
  private int most;

  /** Those that the other side has still to close, the oldest first, with the end of its time. */
  private final Map<IoSession, Deadline> pending = new LinkedHashMap<>();

  /** Waits so long for the other side, in nanoseconds, and for so many connections at once. */
  LingeringClose(EventLoop loop, Sockets sockets, long longest, int most) {
    this.loop = loop;
    this.sockets = sockets;
    this.longest = longest;
    this.most = Math.max(1, most);
  }

  /** Ends a connection; nothing may be written to it any more. */
  void end(IoSession session) {
    if (session.isClosing() || pending.containsKey(session)) {
      return;
    }
    DecodingHandler.readNoMore(session);
    pending.put(session, loop.deadlines().add(loop.now() + longest, () -> cut(session)));
    session.getCloseFuture().addListener(f -> loop.post(0, () -> cut(session)));
    sockets.shutOutputOnceWritten(session);
    if (pending.size() > most) {
      cut(pending.keySet().iterator().next());
    }
  }

  private void cut(IoSession session) {
    Deadline end = pending.remove(session);
    if (end != null) {
      loop.deadlines().cancel(end);
      session.closeNow();
    }
  }

  /** From now on nothing new needs the descriptors: none is cut for another one that is to end. */
  void allAtOnce() {
    most = Integer.MAX_VALUE;
  }

  /** Whether one more can be ended without another one being cut for it. */
  boolean hasRoom() {
    return pending.size() < most;
  }

  /** How many connections are on their way to their end. */
  int pending() {
    return pending.size();
  }
}
