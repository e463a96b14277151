package reachloom.gateway.wire;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import reachloom.flowcontrol.FlowController;
import reachloom.pause.PauseDetector;
import reachloom.pause.PollHistory;
import reachloom.time.MonotonicClock;

/**
 * MINA's processor, which can also shut down only the output of a connection, and which reads no
 * more of a connection than its {@link ConnectionInput} allows. Connections take turns: each is
 * read once after a poll. Whether input is left unread is recorded, since the end of a stream is
 * found only once all of it is read.
 */
final class SocketProcessor extends NioProcessor implements ConnectionInput.Owner {
  private static final int END_OF_STREAM = -1;

  /** The number of the first poll that includes a connection. */
  private static final AttributeKey FIRST_POLL =
      new AttributeKey(SocketProcessor.class, "firstPoll");

  private final MonotonicClock clock;
  private final PauseDetector pauses;
  private final LocalFailures failures;
  private final FlowController flow = new FlowController();
  private final PollHistory history;

  /** The connections that may be read again; other threads add them. */
  private final Queue<ConnectionInput> resumable = new ConcurrentLinkedQueue<>();

  /** The connections that are not paused and may have unread input. */
  private final Set<ConnectionInput> unread = new LinkedHashSet<>();

  private BoundedAcceptor acceptor;
  private long polls;
  private long pollBeganAtNanos;

  /** What arrived before this time has been read, but for the rest of unread input. */
  private volatile long readUntilNanos;

  /** The number of connections; without any, MINA ends this processor's thread. */
  private volatile int connections;

  /** The latest time until which somebody waits for the sockets to be read. */
  private volatile long readRequestedNanos;

  SocketProcessor(
      Executor threads, MonotonicClock clock, PauseDetector pauses, LocalFailures failures) {
    super(threads);
    this.clock = clock;
    this.pauses = pauses;
    this.failures = failures;
    pollBeganAtNanos = clock.now();
    readUntilNanos = pollBeganAtNanos;
    readRequestedNanos = pollBeganAtNanos;
    history = new PollHistory(pollBeganAtNanos);
  }

  /** Sets the acceptor of the client connections; to be called before it accepts any. */
  void setAcceptor(BoundedAcceptor acceptor) {
    this.acceptor = acceptor;
  }

  @Override
  protected int select(long timeoutMs) throws Exception {
    readUntilNanos = pollBeganAtNanos;
    resumeReading();
    reportReadCompletely();
    pollBeganAtNanos = clock.now();
    boolean mayWait = unread.isEmpty() && readUntilNanos >= readRequestedNanos;
    int selected = mayWait ? super.select(timeoutMs) : selectNow();
    history.waited(pollBeganAtNanos, clock.now());
    polls++;
    return selected;
  }

  /**
   * Reads what has arrived on all connections. May be called from any thread.
   *
   * @return whether that has been read and passed on
   */
  BooleanSupplier readArrived() {
    long now = clock.now();
    readRequestedNanos = now;
    wakeup();
    return () -> readUntilNanos >= now || connections == 0;
  }

  /** Polls without waiting: to know whether input is unread, or until what has arrived is read. */
  private int selectNow() throws IOException {
    wakeupCalled.set(true); // MINA takes a poll that neither waits nor finds any for a fault
    return selector.selectNow();
  }

  @Override
  public void resume(ConnectionInput input) {
    resumable.add(input);
    wakeup();
  }

  @Override
  public void finished(IoSession session) {
    acceptor.finished(session);
  }

  private void resumeReading() {
    for (ConnectionInput input = resumable.poll(); input != null; input = resumable.poll()) {
      if (!input.session().isClosing()) {
        input.session().resumeRead();
        input.readInPart(polls, clock.now()); // unread since it was paused
        unread.add(input);
      }
    }
  }

  /**
   * Reports the connections whose input has been read completely: those that the latest poll did
   * not return.
   */
  private void reportReadCompletely() {
    for (Iterator<ConnectionInput> inputs = unread.iterator(); inputs.hasNext(); ) {
      ConnectionInput input = inputs.next();
      if (input.session().isClosing() || input.session().isReadSuspended()) {
        inputs.remove();
      } else if (!input.wasReadAfter(polls)) {
        inputs.remove();
        input.readCompletely();
        if (input.session().getHandler() instanceof DecodingHandler<?> handler) {
          handler.readCompletely(input);
        }
      }
    }
  }

  @Override
  protected void init(NioSession session) throws Exception {
    super.init(session);
    connections++;
    session.setAttribute(FIRST_POLL, polls + 1);
    long windowBytes =
        session.getHandler() instanceof DecodingHandler<?> handler
            ? handler.windowBytes()
            : Long.MAX_VALUE;
    ConnectionInput.open(session, this, flow.openWindow(windowBytes));
  }

  @Override
  protected void destroy(NioSession session) throws Exception {
    connections--;
    super.destroy(session);
  }

  @Override
  protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
    try {
      // A negative number means that the call was interrupted and wrote nothing.
      return Math.max(0, super.write(session, buffer, length));
    } catch (IOException e) {
      if (!LocalFailures.isTemporary(e)) {
        throw e;
      }
      failures.pause("write", e);
      return 0; // MINA retries once the connection is writable
    }
  }

  @Override
  protected int read(NioSession session, IoBuffer buffer) throws Exception {
    ConnectionInput input = ConnectionInput.of(session);
    buffer.limit(Math.max(buffer.position(), Math.min(buffer.capacity(), input.readLimit())));
    int read;
    try {
      read = super.read(session, buffer);
    } catch (IOException e) {
      if (!LocalFailures.isTemporary(e)) {
        throw e;
      }
      failures.pause("read", e);
      markUnread(input);
      return 0; // the available bytes can still be read
    }
    if (read < END_OF_STREAM) { // the call was interrupted
      markUnread(input);
      return 0;
    }
    if (read > 0) {
      long now = clock.now();
      input.recordArrival(earliestArrivalNanos(session, now), now);
    }
    if (read == END_OF_STREAM) {
      input.endOfStreamRead();
    } else if (buffer.hasRemaining()) { // MINA reads on until nothing is read
      markReadCompletely(input, read);
    } else {
      markUnread(input);
    }
    return read;
  }

  private void markReadCompletely(ConnectionInput input, int read) {
    if (read == 0 && input.isUnread()) {
      unread.remove(input);
      input.readCompletely();
    }
  }

  private void markUnread(ConnectionInput input) {
    input.readInPart(polls, earliestArrivalNanos(input.session(), clock.now()));
    unread.add(input);
  }

  /** Returns when the bytes that the latest poll found may have arrived at the earliest. */
  private long earliestArrivalNanos(IoSession session, long nowNanos) {
    return pauses.earliestArrival(arrivedAfterNanos(session), nowNanos);
  }

  /** Returns a time at which the bytes that were just read had not arrived. */
  private long arrivedAfterNanos(IoSession session) {
    boolean isFirstPoll = session.getAttribute(FIRST_POLL) instanceof Long first && first == polls;
    OptionalLong establishedAfter =
        isFirstPoll ? acceptor.establishedAfterNanos(session) : OptionalLong.empty();
    return establishedAfter.orElse(history.arrivedAfterNanos());
  }

  void shutdownOutput(IoSession session) {
    for (SelectionKey key : selector.keys()) {
      if (key.attachment() == session && key.channel() instanceof SocketChannel channel) {
        try {
          channel.shutdownOutput();
        } catch (IOException e) { // the connection is already closed
          session.closeNow();
        }
        return;
      }
    }
  }
}
