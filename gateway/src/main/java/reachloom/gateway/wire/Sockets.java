package reachloom.gateway.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandler;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.pause.PauseDetector;
import reachloom.time.MonotonicClock;

/**
 * All TCP sockets of a gateway, served by Apache MINA with one thread that reads and writes. The
 * methods may be called from any thread.
 */
public final class Sockets {
  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2 * 1024;
  private static final int MAX_READ_BYTES = 8 * 1024;
  private static final long CONNECT_CHECK_INTERVAL_MS = 50;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final long MINA_TIMEOUT_FACTOR = 2;

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r, "sockets");
            t.setDaemon(true);
            return t;
          });
  private final LocalFailures failures = new LocalFailures();
  private final SocketProcessor processor;
  private final BoundedAcceptor acceptor;
  private final List<NioSocketConnector> connectors = new CopyOnWriteArrayList<>();

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
   * or later. To be called on the thread that serves the sockets.
   */
  public static boolean isEndOfStream(IoSession session) {
    return ConnectionInput.of(session).isEndOfStream();
  }

  /**
   * Returns the earliest time at which the bytes of a connection that were read last may have
   * arrived, in nanoseconds on the monotonic clock. It differs from the time of the read if the
   * process did not run in between, or left input of the connection unread. To be called on the
   * thread that serves the sockets, while it passes these bytes on.
   */
  public static OptionalLong earliestArrivalNanos(IoSession session) {
    return ConnectionInput.of(session).earliestArrivalNanos();
  }

  /**
   * Creates sockets with at most {@code maxClients} client connections; further connections wait in
   * the accept queue of the operating system.
   *
   * @param pauses detects when the process does not run
   */
  public Sockets(int maxClients, PauseDetector pauses) {
    MonotonicClock clock = new MonotonicClock();
    processor = new SocketProcessor(threads, clock, pauses, failures);
    acceptor = new BoundedAcceptor(threads, processor, maxClients, clock, pauses, failures);
    processor.setAcceptor(acceptor);
  }

  /** Listens for clients on the given address only. */
  public void listen(InetSocketAddress address, IoHandler handler) throws IOException {
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BoundedAcceptor.BACKLOG);
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

  /**
   * Reads what has arrived on all connections; the result tells whether that has been read and
   * passed on.
   */
  public BooleanSupplier readArrived() {
    return processor.readArrived();
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
