package reachloom.gateway.wire;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import reachloom.pause.AcceptQueue;
import reachloom.pause.PauseDetector;
import reachloom.time.MonotonicClock;

/**
 * Accepts client connections up to a limit, then only as others are closed or begin to close, and
 * as the work of closed ones is finished. Without the limit, a flood of connections would take all
 * descriptors before the event loop decides which of them to keep, and none would be left for
 * connections to engines.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
  /** The most connections that wait to be accepted. */
  static final int BACKLOG = 512;

  /** The most connections that are closed while work that they have caused is unfinished. */
  private static final int MAX_CLOSED_UNFINISHED = 64;

  private static final long ACCEPT_PAUSE_MS = 2;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final long REPORT_INTERVAL_MS =
      PauseDetector.REPORT_INTERVAL_NANOS / NANOS_PER_MILLISECOND;

  private final int maxHeld;
  private final MonotonicClock clock;
  private final PauseDetector pauses;
  private final LocalFailures failures;
  private final AtomicInteger held = new AtomicInteger();

  /** The connections that count towards the limit, with a time after which each was established. */
  private final Map<IoSession, Long> holders = new ConcurrentHashMap<>();

  /** The connections that may still cause work, or have caused work that is not finished. */
  private final Set<IoSession> unfinished = ConcurrentHashMap.newKeySet();

  private final AcceptQueue queue;

  BoundedAcceptor(
      Executor threads,
      SocketProcessor processor,
      int maxHeld,
      MonotonicClock clock,
      PauseDetector pauses,
      LocalFailures failures) {
    super(threads, processor);
    this.maxHeld = maxHeld;
    this.clock = clock;
    this.pauses = pauses;
    this.failures = failures;
    queue = new AcceptQueue(BACKLOG, clock.now());
  }

  /**
   * Polls the accept queue before it waits for connections, to know when the queue was empty. The
   * thread reports that the process runs, since the event loop does not while it handles a task.
   * The poll may take the effect of a wake-up, which then has its effect after the wait.
   */
  @Override
  protected int select() throws Exception {
    long polledAtNanos = clock.now();
    pauses.report(polledAtNanos);
    int selected = selector.selectNow();
    if (selected > 0) {
      return selected;
    }
    queue.empty(polledAtNanos);
    selected = selector.select(REPORT_INTERVAL_MS);
    long returnedAtNanos = clock.now();
    pauses.report(returnedAtNanos);
    queue.waited(polledAtNanos, returnedAtNanos);
    return selected;
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> of, ServerSocketChannel channel)
      throws Exception {
    if (held.get() >= maxHeld || unfinished.size() >= maxHeld + MAX_CLOSED_UNFINISHED) {
      Thread.sleep(ACCEPT_PAUSE_MS); // this thread only accepts
      return null;
    }
    NioSession session = acceptOrPause(of, channel);
    if (session != null) {
      held.incrementAndGet();
      unfinished.add(session);
      holders.put(session, queue.establishedAfterNanos());
      queue.accepted(clock.now());
      session.getCloseFuture().addListener(future -> closed(session));
    }
    return session;
  }

  private void closed(IoSession session) {
    release(session);
    if (!ConnectionInput.isOpen(session)) { // the processor could not open it: it causes no work
      unfinished.remove(session);
    }
  }

  /**
   * Accepts the next connection. If the call fails, waits and returns null; a later call accepts
   * the connection.
   */
  private NioSession acceptOrPause(IoProcessor<NioSession> of, ServerSocketChannel channel)
      throws Exception {
    try {
      return super.accept(of, channel);
    } catch (IOException e) { // MINA would pause accepting for a second
      failures.pause("accept", e);
      return null;
    }
  }

  /** Stops counting a connection towards the limit; ignores one that is not counted. */
  void release(IoSession session) {
    if (holders.remove(session) != null) {
      held.decrementAndGet();
    }
  }

  /** Records that a closed connection has no unfinished work. */
  void finished(IoSession session) {
    unfinished.remove(session);
  }

  /** Returns a time after which a connection was established; empty if it is not counted. */
  OptionalLong establishedAfterNanos(IoSession session) {
    Long nanos = holders.get(session);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }
}
