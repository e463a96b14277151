package reachloom.gateway.wire;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import reachloom.flowcontrol.FlowController;
import reachloom.flowcontrol.FlowWindow;

/**
 * What is known of the input of a connection: the unfinished work that it has caused, and whether
 * more of it waits to be read.
 *
 * <p>{@link #charge}, {@link #release} and {@link #of} may be called from any thread, everything
 * else from the thread that serves the sockets.
 */
public final class ConnectionInput {
  private static final AttributeKey INPUT = new AttributeKey(ConnectionInput.class, "input");

  /** Reads a paused connection again, and learns when a closed one has caused its last work. */
  interface Owner {
    /** Reading may be resumed; called on any thread. */
    void resume(ConnectionInput input);

    /** The connection is closed and all its work is finished; called on any thread. */
    void finished(IoSession session);
  }

  private static final Owner NO_OWNER =
      new Owner() {
        @Override
        public void resume(ConnectionInput input) {
          // a connection without an owner is never paused
        }

        @Override
        public void finished(IoSession session) {
          // nobody counts the connection
        }
      };

  private final IoSession session;
  private final Owner owner;
  private final FlowWindow window;
  private final AtomicBoolean closed = new AtomicBoolean();

  private boolean endOfStream;

  /** Whether the latest read has left, or may have left, input unread. */
  private boolean unread;

  /** Whether the listener was told that input is unread. */
  private boolean unreadReported;

  /** When the input that is unread may have arrived at the earliest. */
  private long unreadSinceNanos;

  /** The number of the poll after which the connection was read last. */
  private long lastReadPoll;

  private long lastReadAtNanos;

  /** The earliest arrival of the bytes read last. */
  private long earliestArrivalNanos;

  private ConnectionInput(IoSession session, Owner owner, FlowWindow window) {
    this.session = session;
    this.owner = owner;
    this.window = window;
  }

  /** Creates the input of a connection that is owned by the sockets of a gateway. */
  static ConnectionInput open(IoSession session, Owner owner, FlowWindow window) {
    ConnectionInput input = new ConnectionInput(session, owner, window);
    session.setAttribute(INPUT, input);
    session.getCloseFuture().addListener(future -> input.onClosed());
    return input;
  }

  /** Returns whether {@link #open} was called for a connection. */
  static boolean isOpen(IoSession session) {
    return session.containsAttribute(INPUT);
  }

  /** Returns the input of a connection; without limits if no {@link Sockets} serve it. */
  public static ConnectionInput of(IoSession session) {
    if (session.getAttribute(INPUT) instanceof ConnectionInput input) {
      return input;
    }
    FlowWindow unlimited = new FlowController().openWindow(Long.MAX_VALUE);
    session.setAttributeIfAbsent(INPUT, new ConnectionInput(session, NO_OWNER, unlimited));
    return (ConnectionInput) session.getAttribute(INPUT);
  }

  IoSession session() {
    return session;
  }

  // ---- Unfinished work ----

  /** Charges the connection with work that it has caused, in bytes of memory. */
  public void charge(long bytes) {
    window.charge(bytes);
  }

  /** Records that work is finished, in bytes of memory; reading is resumed if it was paused. */
  public void release(long bytes) {
    if (window.release(bytes)) {
      owner.resume(this);
    }
    finishIfClosed();
  }

  private void onClosed() {
    closed.set(true);
    finishIfClosed();
  }

  private void finishIfClosed() {
    if (closed.get() && window.isEmpty()) {
      owner.finished(session);
    }
  }

  /** Pauses reading if the connection has caused too much work; returns whether it is paused. */
  boolean pauseIfFull() {
    if (owner == NO_OWNER || session.isClosing() || !window.pauseIfFull()) {
      return false;
    }
    session.suspendRead();
    markUnread(earliestArrivalNanos);
    return true;
  }

  // ---- Reading ----

  int readLimit() {
    return window.readLimit();
  }

  void recordRead(int bytes, int messages) {
    window.recordRead(bytes, messages);
  }

  /** Records that the end of the stream was read. */
  void endOfStreamRead() {
    endOfStream = true;
  }

  /** Returns whether the remote side has ended its stream, as far as it has been read. */
  boolean isEndOfStream() {
    return endOfStream;
  }

  /** Records that the connection has no more input now. */
  void readCompletely() {
    unread = false;
  }

  /**
   * Records that the connection may have more input than was read.
   *
   * @param poll the number of the latest poll
   * @param sinceNanos the earliest arrival of that input, if none was unread before
   */
  void readInPart(long poll, long sinceNanos) {
    markUnread(sinceNanos);
    lastReadPoll = poll;
  }

  private void markUnread(long sinceNanos) {
    if (!unread) {
      unreadSinceNanos = sinceNanos;
    }
    unread = true;
  }

  /** Returns whether the connection was read after a poll. */
  boolean wasReadAfter(long poll) {
    return lastReadPoll >= poll;
  }

  /** Returns whether input may be unread. */
  boolean isUnread() {
    return unread;
  }

  /** Records what the listener is told about unread input; returns whether that is new to it. */
  boolean report(boolean nowUnread) {
    boolean changed = unreadReported != nowUnread;
    unreadReported = nowUnread;
    return changed;
  }

  // ---- Arrival ----

  /**
   * Records a read.
   *
   * @param earliestNanos the earliest arrival of the bytes that were read; if input was unread
   *     before, they may have arrived together with that
   */
  void recordArrival(long earliestNanos, long nowNanos) {
    lastReadAtNanos = nowNanos;
    earliestArrivalNanos = unread ? Math.min(earliestNanos, unreadSinceNanos) : earliestNanos;
  }

  /** Returns the earliest arrival of the bytes read last; empty if they were read as they came. */
  OptionalLong earliestArrivalNanos() {
    return earliestArrivalNanos < lastReadAtNanos
        ? OptionalLong.of(earliestArrivalNanos)
        : OptionalLong.empty();
  }
}
