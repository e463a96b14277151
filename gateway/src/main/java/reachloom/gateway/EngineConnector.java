package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.flowcontrol.FlowController;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.state.GenerationalSlots;
import reachloom.gateway.wire.ConnectionInput;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.EngineResponseDecoder;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;

/**
 * Establishes connections to engines within the connect timeout, and posts the events of their
 * sockets to the event loop. A connect that fails locally, before any packet is sent, is retried
 * within that timeout.
 *
 * <p>Confined to the event loop's thread, except for the socket handler, which only posts to it.
 */
final class EngineConnector {
  private static final Logger LOG = System.getLogger(EngineClient.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final AttributeKey HANDLE = new AttributeKey(EngineConnector.class, "handle");

  /** Delay before a connect that failed locally is retried. */
  private static final long LOCAL_RETRY_INTERVAL_NANOS = 5 * NANOS_PER_MILLI;

  /** Receives the events of connections, on the event loop's thread. */
  interface Events {
    /** The connection is established. */
    void onConnected(EngineConnection connection, IoSession session);

    /** The connection could not be established; the reason is logged. */
    void onConnectFailed(EngineConnection connection, String reason);

    /** A complete response was received. */
    void onResponse(EngineConnection connection, EngineResponse response);

    /** The first part of an incomplete response was received. */
    void onPartialResponse(EngineConnection connection);

    /** Undecodable input was received; nothing more is read from the connection. */
    void onUndecodableResponse(EngineConnection connection);

    /** The transport was closed. */
    void onDisconnected(EngineConnection connection);
  }

  private final EventLoop loop;
  private final Sockets sockets;
  private final long connectTimeoutNanos;
  private final GenerationalSlots<EngineConnection> connections;
  private final Events events;
  private final NioSocketConnector connector;

  /**
   * Creates a connector for the connections of a table.
   *
   * @param connections the table; events of connections that were removed from it are dropped
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
            new DecodingHandler<>(
                "engine",
                FlowController.PEER_WINDOW_BYTES,
                EngineResponseDecoder::new,
                new SocketHandler()),
            connectTimeoutNanos);
  }

  /** Starts to connect; the result is reported to the events after this call returns. */
  void connect(EngineConnection connection, InetSocketAddress address) {
    connection.setConnectTimeout(
        loop.deadlines()
            .add(loop.now() + connectTimeoutNanos, () -> connectTimedOut(connection, address)));
    tryConnect(connection, address);
  }

  private void connectTimedOut(EngineConnection connection, InetSocketAddress address) {
    LOG.log(
        Level.INFO,
        "engine {0} at {1}: connect timed out after {2} ms",
        connection.engine(),
        address,
        Long.toString(connectTimeoutNanos / NANOS_PER_MILLI));
    Sockets.giveUp(connection.connectFuture());
    events.onConnectFailed(connection, "the connect timed out");
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
            loop.post(0, () -> connectFailed(connection, address, future));
          }
        });
  }

  private void connectFailed(
      EngineConnection connection, InetSocketAddress address, ConnectFuture future) {
    LOG.log(
        Level.DEBUG,
        "engine {0} at {1}: connect failed: {2}",
        connection.engine(),
        address,
        future.getException());
    boolean failedLocally = sockets.failedLocally(future);
    connection.setConnectFailedLocally(failedLocally);
    if (failedLocally) {
      loop.deadlines()
          .add(loop.now() + LOCAL_RETRY_INTERVAL_NANOS, () -> tryConnect(connection, address));
    } else {
      events.onConnectFailed(connection, "the connect failed");
    }
  }

  /** Posts the events of sockets to the event loop; called on the I/O thread. */
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

    /** Runs an action on the event loop's thread, unless the connection is closed by then. */
    private void post(IoSession session, int bytes, Consumer<EngineConnection> action) {
      long handle = handle(session);
      loop.post(
          ConnectionInput.of(session),
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
