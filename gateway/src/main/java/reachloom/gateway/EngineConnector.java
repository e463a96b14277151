package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.state.GenerationalSlots;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.EngineResponseDecoder;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;

/**
 * Establishes connections to engines within the connect timeout, and brings what happens on their
 * sockets to the event loop's thread. A connect that fails on this machine, before anything has
 * left it, is tried again within that time.
 *
 * <p>Confined to the event loop's thread but for the handler of the sockets, which only posts to
 * it.
 */
final class EngineConnector {
  private static final Logger LOG = System.getLogger(EngineClient.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final AttributeKey HANDLE = new AttributeKey(EngineConnector.class, "handle");

  /** Between tries to connect where it is this machine that fails. */
  private static final long LOCAL_RETRY_INTERVAL_NANOS = 5 * MILLISECOND;

  /** Is told of connections; on the event loop's thread. */
  interface Events {
    /** The connection is established. */
    void onConnected(EngineConnection connection, IoSession session);

    /** The connection could not be established; the reason is for the log. */
    void onConnectFailed(EngineConnection connection, String reason);

    /** A response has come. */
    void onResponse(EngineConnection connection, EngineResponse response);

    /** A response has begun that is not complete yet. */
    void onPartialResponse(EngineConnection connection);

    /** What came can't be decoded; nothing more is read from the connection. */
    void onUndecodableResponse(EngineConnection connection);

    /** The transport has ended. */
    void onDisconnected(EngineConnection connection);
  }

  private final EventLoop loop;
  private final Sockets sockets;
  private final long connectTimeoutNanos;
  private final GenerationalSlots<EngineConnection> connections;
  private final Events events;
  private final NioSocketConnector connector;

  /**
   * A connector for connections that stand in a table.
   *
   * @param connections the table; a connection that has been removed from it is told of no more
   */
  EngineConnector(
      EventLoop loop,
      Sockets sockets,
      long connectTimeoutNanos,
      GenerationalSlots<EngineConnection> connections,
      Events events) {
    this.loop = loop;
    this.sockets = sockets;
    this.connectTimeoutNanos = connectTimeoutNanos;
    this.connections = connections;
    this.events = events;
    this.connector =
        sockets.connector(
            new DecodingHandler<>("engine", EngineResponseDecoder::new, new SocketHandler()),
            connectTimeoutNanos);
  }

  /** Begins to establish a connection; what becomes of it is told later, never in this call. */
  void connect(EngineConnection connection, InetSocketAddress address) {
    connection.setConnectTimeout(
        loop.deadlines()
            .add(loop.now() + connectTimeoutNanos, () -> connectTimedOut(connection, address)));
    tryConnect(connection, address);
  }

  private void connectTimedOut(EngineConnection connection, InetSocketAddress address) {
    LOG.log(Level.INFO, "engine {0} at {1}: no connection in time", connection.engine(), address);
    Sockets.giveUp(connection.connectFuture());
    events.onConnectFailed(connection, "no connection in time");
  }

  private void tryConnect(EngineConnection connection, InetSocketAddress address) {
    if (connection.isClosed()) {
      return;
    }
    ConnectFuture future =
        connector.connect(
            address, (session, f) -> session.setAttribute(HANDLE, connection.handle()));
    connection.setConnectFuture(future);
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            loop.post(0, () -> tryFailed(connection, address, future));
          }
        });
  }

  private void tryFailed(
      EngineConnection connection, InetSocketAddress address, ConnectFuture future) {
    LOG.log(
        Level.DEBUG, "engine {0} at {1}: {2}", connection.engine(), address, future.getException());
    boolean failedLocally = sockets.failedLocally(future);
    connection.setConnectFailedLocally(failedLocally);
    if (failedLocally) {
      loop.deadlines()
          .add(loop.now() + LOCAL_RETRY_INTERVAL_NANOS, () -> tryConnect(connection, address));
    } else {
      events.onConnectFailed(connection, "the connect failed");
    }
  }

  /** Called on the thread that serves the sockets. */
  private final class SocketHandler implements Listener<EngineResponse> {
    @Override
    public void opened(IoSession session) {
      long handle = handle(session);
      loop.post(0, () -> connected(handle, session));
    }

    @Override
    public void received(IoSession session, EngineResponse response, int bytes) {
      post(session, bytes, connection -> events.onResponse(connection, response));
    }

    @Override
    public void messageStarted(IoSession session) {
      post(session, 0, events::onPartialResponse);
    }

    @Override
    public void inputMalformed(IoSession session) {
      post(session, 0, events::onUndecodableResponse);
    }

    @Override
    public void closed(IoSession session) {
      post(session, 0, events::onDisconnected);
    }

    /** Runs an action on the event loop's thread, unless the connection has been closed by then. */
    private void post(IoSession session, int bytes, Consumer<EngineConnection> action) {
      long handle = handle(session);
      loop.post(
          bytes,
          () -> {
            EngineConnection connection = connections.get(handle);
            if (connection != null) {
              action.accept(connection);
            }
          });
    }

    private static long handle(IoSession session) {
      return (Long) session.getAttribute(HANDLE);
    }
  }

  private void connected(long handle, IoSession session) {
    EngineConnection connection = connections.get(handle);
    if (connection == null || connection.isClosed()) {
      session.closeNow();
      return;
    }
    loop.deadlines().cancel(connection.connectTimeout());
    events.onConnected(connection, session);
  }
}
