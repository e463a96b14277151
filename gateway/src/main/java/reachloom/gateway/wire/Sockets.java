package reachloom.gateway.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandler;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.pause.AcceptQueue;
import reachloom.pause.PauseDetector;
import reachloom.pause.PollHistory;
import reachloom.time.MonotonicClock;

/**
 * All TCP sockets of a gateway, served by Apache MINA with one thread that reads and writes. The
 * methods may be called from any thread.
 */
public final class Sockets {
  private static final int BACKLOG = 512;
  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 16 * 1024;

  /** Limit of the bytes that are read from a connection at once if more are available. */
  private static final int MAX_SINGLE_READ_BYTES = 256 * 1024;

  private static final long CONNECT_CHECK_INTERVAL_MS = 50;
  private static final long ACCEPT_PAUSE_MS = 2;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final long REPORT_INTERVAL_MS =
      PauseDetector.REPORT_INTERVAL_NANOS / NANOS_PER_MILLISECOND;
  private static final long MINA_TIMEOUT_FACTOR = 2;
  private static final int END_OF_STREAM = -1;

  private static final AttributeKey END_OF_STREAM_READ =
      new AttributeKey(Sockets.class, "endOfStreamRead");

  /** The number of the first poll that includes a connection. */
  private static final AttributeKey FIRST_POLL = new AttributeKey(Sockets.class, "firstPoll");

  /** The earliest arrival of the bytes read last; absent if they were read as they arrived. */
  private static final AttributeKey EARLIEST_ARRIVAL =
      new AttributeKey(Sockets.class, "earliestArrival");

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r, "sockets");
            t.setDaemon(true);
            return t;
          });
  private final LocalFailures failures = new LocalFailures();
  private final MonotonicClock clock = new MonotonicClock();
  private final PauseDetector pauses;
  private final HalfClosingProcessor processor = new HalfClosingProcessor(threads);
  private final BoundedAcceptor acceptor;
  private final List<NioSocketConnector> connectors = new CopyOnWriteArrayList<>();

  /**
   * MINA's processor, which can also shut down only the output of a connection. It reads all
   * available bytes, up to {@link #MAX_SINGLE_READ_BYTES}, before it passes any of them on, so that
   * the end of a stream is known before the first message of a client that sends a lot and then
   * closes the connection is handled.
   */
  private final class HalfClosingProcessor extends NioProcessor {
    private final PollHistory history = new PollHistory(clock.now());
    private long polls;

    HalfClosingProcessor(Executor threads) {
      super(threads);
    }

    @Override
    protected int select(long timeoutMs) throws Exception {
      long beganAtNanos = clock.now();
      int selected = super.select(timeoutMs);
      history.waited(beganAtNanos, clock.now());
      polls++;
      return selected;
    }

    @Override
    protected void init(NioSession session) throws Exception {
      super.init(session);
      session.setAttribute(FIRST_POLL, polls + 1);
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
      int read;
      try {
        read = super.read(session, buffer);
        // Numbers below -1 mean that the call was interrupted.
        read = read < END_OF_STREAM ? 0 : read;
      } catch (IOException e) {
        if (!LocalFailures.isTemporary(e)) {
          throw e;
        }
        failures.pause("read", e);
        return 0; // the available bytes can still be read
      }
      if (read > 0) {
        recordArrival(session);
      }
      if (read == END_OF_STREAM) {
        session.setAttribute(END_OF_STREAM_READ);
      } else if (!buffer.hasRemaining() && buffer.capacity() < MAX_SINGLE_READ_BYTES) {
        buffer.expand(buffer.capacity()); // MINA reads on while the buffer has room
      }
      return read;
    }

    /** Records when the bytes that were just read may have arrived at the earliest. */
    private void recordArrival(IoSession session) {
      long now = clock.now();
      long earliest = pauses.earliestArrival(arrivedAfterNanos(session), now);
      if (earliest < now) {
        session.setAttribute(EARLIEST_ARRIVAL, earliest);
      } else {
        session.removeAttribute(EARLIEST_ARRIVAL);
      }
    }

    /** Returns a time at which the bytes that were just read had not arrived. */
    private long arrivedAfterNanos(IoSession session) {
      boolean isFirstPoll =
          session.getAttribute(FIRST_POLL) instanceof Long first && first == polls;
      Long establishedAfter = isFirstPoll ? acceptor.holders.get(session) : null;
      return establishedAfter != null ? establishedAfter : history.arrivedAfterNanos();
    }

    private void shutdownOutput(IoSession session) {
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

  /**
   * Shuts down the output of a connection once all bytes passed to it are written; nothing may be
   * written later. The connection no longer counts towards the limit of client connections: the
   * caller limits the number of connections that are closing.
   */
  public void shutOutputOnceWritten(IoSession session) {
    acceptor.release(session);
    DecodingHandler.runOnceWritten(session, () -> processor.shutdownOutput(session));
  }

  /**
   * Whether the remote side has ended its stream. This becomes known when its last bytes are read,
   * or later.
   */
  public static boolean isEndOfStream(IoSession session) {
    return session.containsAttribute(END_OF_STREAM_READ);
  }

  /**
   * Returns the earliest time at which the bytes of a connection that were read last may have
   * arrived, in nanoseconds on the monotonic clock. It differs from the time of the read if the
   * process did not run in between. To be called on the thread that serves the sockets, while it
   * passes these bytes on.
   */
  public static OptionalLong earliestArrivalNanos(IoSession session) {
    return session.getAttribute(EARLIEST_ARRIVAL) instanceof Long earliest
        ? OptionalLong.of(earliest)
        : OptionalLong.empty();
  }

  /**
   * Creates sockets with at most {@code maxClients} client connections; further connections wait in
   * the accept queue of the operating system.
   *
   * @param pauses detects when the process does not run
   */
  public Sockets(int maxClients, PauseDetector pauses) {
    this.pauses = pauses;
    acceptor = new BoundedAcceptor(maxClients);
  }

  /**
   * Accepts client connections up to a limit, then only as others are closed or begin to close
   * ({@link #shutOutputOnceWritten}). Without the limit, a flood of connections would take all
   * descriptors before the event loop decides which of them to keep, and none would be left for
   * connections to engines.
   */
  private final class BoundedAcceptor extends NioSocketAcceptor {
    private final int maxHeld;
    private final AtomicInteger held = new AtomicInteger();

    /**
     * The connections that count towards the limit, with a time after which each was established.
     */
    private final Map<IoSession, Long> holders = new ConcurrentHashMap<>();

    private final AcceptQueue queue = new AcceptQueue(BACKLOG, clock.now());

    BoundedAcceptor(int maxHeld) {
      super(threads, processor);
      this.maxHeld = maxHeld;
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
      if (held.get() >= maxHeld) {
        Thread.sleep(ACCEPT_PAUSE_MS); // this thread only accepts
        return null;
      }
      NioSession session = acceptOrPause(of, channel);
      if (session != null) {
        held.incrementAndGet();
        holders.put(session, queue.establishedAfterNanos());
        queue.accepted(clock.now());
        session.getCloseFuture().addListener(f -> release(session));
      }
      return session;
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

    private void release(IoSession session) {
      if (holders.remove(session) != null) {
        held.decrementAndGet();
      }
    }
  }

  /** Listens for clients on the given address only. */
  public void listen(InetSocketAddress address, IoHandler handler) throws IOException {
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    // Otherwise unbind() would close all connections, including those with pending responses.
    acceptor.setCloseOnDeactivation(false);
    configure(acceptor.getSessionConfig());
    acceptor.setHandler(handler);
    acceptor.bind(address);
  }

  /** Stops accepting clients. */
  public void unbind() {
    acceptor.unbind();
  }

  /** Closes all connections and ends all threads at once; this object can't be used afterwards. */
  public void abandon() {
    acceptor.dispose();
    connectors.forEach(NioSocketConnector::dispose);
    processor.dispose();
    threads.shutdown();
  }

  /**
   * Creates a connector whose connections are served by a handler. The caller gives up a connection
   * attempt after {@code dialTimeoutNanos} at the latest; MINA's own time-out is later, so that the
   * caller's applies first.
   */
  public NioSocketConnector connector(IoHandler handler, long dialTimeoutNanos) {
    NioSocketConnector connector = new NioSocketConnector(threads, processor);
    connectors.add(connector);
    connector.setHandler(handler);
    connector.setConnectTimeoutCheckInterval(CONNECT_CHECK_INTERVAL_MS);
    connector.setConnectTimeoutMillis(
        MINA_TIMEOUT_FACTOR
            * Math.max(CONNECT_CHECK_INTERVAL_MS, dialTimeoutNanos / NANOS_PER_MILLISECOND));
    configure(connector.getSessionConfig());
    return connector;
  }

  private static void configure(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(MIN_READ_BYTES);
    config.setReadBufferSize(INITIAL_READ_BYTES);
    config.setMaxReadBufferSize(MAX_READ_BYTES);
    // MINA measures the write time-out by the wall clock, and closes all connections that wait to
    // write when that clock jumps forward. The gateway closes connections that read nothing by its
    // own limits: on unsent responses and on idle time.
    config.setWriteTimeout(0);
  }

  /** Writes bytes to a connection. */
  public static WriteFuture write(IoSession session, ByteBuffer bytes) {
    return session.write(IoBuffer.wrap(bytes));
  }

  /**
   * Whether a connection attempt failed on this machine before anything was sent, so that it says
   * nothing about the remote side. Such a failure is counted.
   */
  public boolean failedLocally(ConnectFuture future) {
    boolean local = LocalFailures.isLocal(future.getException());
    if (local) {
      failures.record("connect", future.getException());
    }
    return local;
  }

  /**
   * Gives up a connection attempt; the connection is closed if it is established later. The future
   * is not cancelled, because MINA subtracts an attempt twice from the connector's count of pending
   * attempts if it is cancelled after its connection is established and before its session is
   * created. The count is then too low, so the connector's worker thread ends while the next
   * attempt is pending, and after each further such cancel: the connector never connects again.
   */
  public static void giveUp(ConnectFuture future) {
    future.addListener(
        f -> {
          if (future.isConnected()) {
            future.getSession().closeNow();
          }
        });
  }
}
