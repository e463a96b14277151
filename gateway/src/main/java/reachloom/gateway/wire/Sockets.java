package reachloom.gateway.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
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

/**
 * All sockets of a gateway, served by Apache MINA with one thread that reads and writes. The
 * methods may be called from any thread.
 */
public final class Sockets {
  private static final int BACKLOG = 512;
  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 16 * 1024;

  /** Bytes that are read from a connection in one go where so much is there. */
  private static final int MAX_READ_AT_ONCE = 256 * 1024;

  private static final long CONNECT_CHECK_INTERVAL_MS = 50;
  private static final long ACCEPT_PAUSE_MS = 2;
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long LIBRARY_TIMEOUT_FACTOR = 2;
  private static final int END_OF_STREAM = -1;

  private static final AttributeKey ENDED = new AttributeKey(Sockets.class, "ended");

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r, "sockets");
            t.setDaemon(true);
            return t;
          });
  private final LocalFailures failures = new LocalFailures();
  private final HalfClosing processor = new HalfClosing(threads);
  private final BoundedAcceptor acceptor;
  private final List<NioSocketConnector> connectors = new CopyOnWriteArrayList<>();

  /**
   * The library's, which can also shut the output of a connection alone. It reads all that is there
   * before anything of it is passed on, so that one who sends much and goes has gone before the
   * first of it counts.
   */
  private final class HalfClosing extends NioProcessor {
    HalfClosing(Executor threads) {
      super(threads);
    }

    @Override
    protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
      try {
        return Math.max(
            0, super.write(session, buffer, length)); // interrupted: nothing was written
      } catch (IOException e) {
        if (!LocalFailures.isTemporary(e)) {
          throw e;
        }
        failures.pause("write", e);
        return 0; // the library tries again once the connection takes something
      }
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
      int read;
      try {
        read = super.read(session, buffer);
        read =
            read < END_OF_STREAM
                ? 0
                : read; // interrupted: the platform tells that by other numbers
      } catch (IOException e) {
        if (!LocalFailures.isTemporary(e)) {
          throw e;
        }
        failures.pause("read", e);
        return 0; // what is there is still there
      }
      if (read == END_OF_STREAM) {
        session.setAttribute(ENDED);
      } else if (!buffer.hasRemaining() && buffer.capacity() < MAX_READ_AT_ONCE) {
        buffer.expand(buffer.capacity()); // the library goes on while there is room
      }
      return read;
    }

    private void shutOutput(IoSession session) {
      for (SelectionKey key : selector.keys()) {
        if (key.attachment() == session && key.channel() instanceof SocketChannel channel) {
          try {
            channel.shutdownOutput();
          } catch (IOException e) { // it has ended by itself
            session.closeNow();
          }
          return;
        }
      }
    }
  }

  /**
   * Shuts the output of a connection once all that was handed to it is written; nothing may be
   * written later. It takes no place among the clients any more: whoever ends connections bounds
   * those that are ending.
   */
  public void shutOutputOnceWritten(IoSession session) {
    acceptor.leave(session);
    DecodingHandler.onceWritten(session, () -> processor.shutOutput(session));
  }

  /** Whether the other side has sent its last; known with the last of what it sent, or later. */
  public static boolean isEndOfStream(IoSession session) {
    return session.containsAttribute(ENDED);
  }

  /**
   * Sockets of which at most that many are held for clients; further ones wait in the system's
   * queue.
   */
  public Sockets(int maxClients) {
    acceptor = new BoundedAcceptor(maxClients);
  }

  /**
   * Accepts no faster than connections are closed. Without that, a flood of connections takes all
   * descriptors while the loop has still to decide which of them to keep, and nothing is left to
   * reach engines with.
   */
  private final class BoundedAcceptor extends NioSocketAcceptor {
    private final int maxHeld;
    private final AtomicInteger held = new AtomicInteger();
    private final Set<IoSession> holders = ConcurrentHashMap.newKeySet();

    BoundedAcceptor(int maxHeld) {
      super(threads, processor);
      this.maxHeld = maxHeld;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> of, ServerSocketChannel channel)
        throws Exception {
      if (held.get() >= maxHeld) {
        Thread.sleep(ACCEPT_PAUSE_MS); // this thread does nothing else
        return null;
      }
      NioSession session = acceptOrWait(of, channel);
      if (session != null) {
        held.incrementAndGet();
        holders.add(session);
        session.getCloseFuture().addListener(f -> leave(session));
      }
      return session;
    }

    /**
     * The next connection; null where the call failed, and whoever waits is accepted a little
     * later.
     */
    private NioSession acceptOrWait(IoProcessor<NioSession> of, ServerSocketChannel channel)
        throws Exception {
      try {
        return super.accept(of, channel);
      } catch (IOException e) { // the library would accept nothing for a second
        failures.pause("accept", e);
        return null;
      }
    }

    private void leave(IoSession session) {
      if (holders.remove(session)) {
        held.decrementAndGet();
      }
    }
  }

  /** Listens for clients on that address only. */
  public void listen(InetSocketAddress address, IoHandler handler) throws IOException {
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.setCloseOnDeactivation(
        false); // else unbinding cuts all connections, whatever they are owed
    configure(acceptor.getSessionConfig());
    acceptor.setHandler(handler);
    acceptor.bind(address);
  }

  /** Takes no new clients. */
  public void unbind() {
    acceptor.unbind();
  }

  /** Ends all connections and threads at once; nothing can be made of this any more. */
  public void abandon() {
    acceptor.dispose();
    connectors.forEach(NioSocketConnector::dispose);
    processor.dispose();
    threads.shutdown();
  }

  /**
   * A connector whose connections that handler serves, for dials that are given up after that time
   * at the latest. The library ends one that is not up some time later: whoever waits gives it up
   * first.
   */
  public NioSocketConnector connector(IoHandler handler, long dialTimeout) {
    NioSocketConnector connector = new NioSocketConnector(threads, processor);
    connectors.add(connector);
    connector.setHandler(handler);
    connector.setConnectTimeoutCheckInterval(CONNECT_CHECK_INTERVAL_MS);
    connector.setConnectTimeoutMillis(
        LIBRARY_TIMEOUT_FACTOR * Math.max(CONNECT_CHECK_INTERVAL_MS, dialTimeout / MILLISECOND));
    configure(connector.getSessionConfig());
    return connector;
  }

  private static void configure(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(MIN_READ_BYTES);
    config.setReadBufferSize(INITIAL_READ_BYTES);
    config.setMaxReadBufferSize(MAX_READ_BYTES);
    // The library measures it on the wall clock, and ends all that wait to write once that goes
    // forward.
    // Who takes nothing is ended by bounds of the gateway: on unsent answers and on rest.
    config.setWriteTimeout(0);
  }

  /** Puts bytes on a connection. */
  public static WriteFuture write(IoSession session, ByteBuffer bytes) {
    return session.write(IoBuffer.wrap(bytes));
  }

  /**
   * Whether a dial failed on this machine, before anything left it, so that it tells nothing of the
   * other side; then it is counted.
   */
  public boolean failedLocally(ConnectFuture future) {
    boolean here = LocalFailures.isOfThisMachine(future.getException());
    if (here) {
      failures.note("connect", future.getException());
    }
    return here;
  }

  /**
   * Gives up a connection that is not up yet; one that comes up all the same is closed. It is not
   * cancelled: the library counts a dial down that is cancelled while its connection is up and its
   * session is still to be made, though it has counted it down before. Its worker then ends with
   * the next dial unserved, and so on with each cancel: such a connector never connects again.
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
