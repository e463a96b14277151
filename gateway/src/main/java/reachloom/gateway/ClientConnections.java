package reachloom.gateway;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import reachloom.flowcontrol.FlowController;
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.wire.ClientCall;
import reachloom.gateway.wire.ClientCallDecoder;
import reachloom.gateway.wire.ConnectionInput;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;

/**
 * The client connections, from accept to close: admits them up to a limit, evicts idle ones in
 * favor of new ones, closes connections that are silent, stall within a message or stay idle, and
 * dispatches the calls that arrive.
 *
 * <p>The I/O thread only decodes and posts to the event loop. The table and all methods of this
 * class are confined to the event loop's thread.
 */
final class ClientConnections {
  /**
   * A call that has arrived.
   *
   * @param client the connection on which it arrived
   * @param receivedAtNanos when its last byte was received, on the event loop's clock; if the
   *     process did not run then, the earliest time at which it may have been received
   */
  record Arrival(ClientConnection client, long receivedAtNanos) {}

  /** Executes the calls that arrive; called on the event loop's thread. */
  interface Handler extends ClientCall.Handler<Arrival> {
    /**
     * Called when the connection of an open request is gone, so that its response is not needed.
     */
    void onClientGone(ClientRequest request);

    /** Called before a connection is evicted for a new one; no open request was submitted. */
    void onEviction(ClientConnection client);

    /** Called when all input of a connection has been read, after some was left unread. */
    void onInputRead(ClientConnection client);
  }

  private static final Logger LOG = GatewayService.LOG;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final AttributeKey CLIENT = new AttributeKey(ClientConnections.class, "client");

  /**
   * A connection without open requests on which the client sends nothing after connecting, or
   * within a message, is closed after this time, since it holds a file descriptor.
   */
  private static final long MAX_SILENCE_NANOS = 2_000 * NANOS_PER_MILLI;

  /**
   * A connection without open requests is closed after this idle time. Clients close idle
   * connections after 4 s by themselves; the settings override this for installations whose clients
   * keep them.
   */
  private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 10_000 * NANOS_PER_MILLI;

  /**
   * By then, a client's first request has been sent and handled, even if this process is short of
   * CPU time. Until then a new connection is evicted only if the table is full of others that can't
   * be.
   */
  private static final long FIRST_REQUEST_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

  /** What a connection is charged with until its end is handled. */
  private static final int CONNECTION_WORK_BYTES = FlowController.MESSAGE_OVERHEAD_BYTES;

  /** A client whose input could not be read for this time has sent more than its turns allow. */
  private static final long MAX_UNREAD_NANOS = 100 * NANOS_PER_MILLI;

  private final EventLoop loop;
  private final Sockets sockets;
  private final ArrivalBarrier arrivals;
  private final LingeringClose closing;
  private final ClientConnectionTable table;
  private final int maxClients;
  private final Handler handler;
  private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;

  /**
   * Whether admission has ended; connections accepted before that may still be posted to the loop.
   */
  private boolean closed;

  /** Whether connections are to be evicted once what has arrived is read. */
  private boolean evicting;

  /**
   * Creates the component without listening yet.
   *
   * @param table holds the connections; its capacity exceeds {@code maxClients} by the connections
   *     that are about to be evicted
   * @param maxClients the number of connections beyond which one is evicted for each new one
   */
  ClientConnections(
      EventLoop loop,
      Sockets sockets,
      ArrivalBarrier arrivals,
      LingeringClose closing,
      ClientConnectionTable table,
      int maxClients,
      Handler handler) {
    this.loop = loop;
    this.sockets = sockets;
    this.arrivals = arrivals;
    this.closing = closing;
    this.table = table;
    this.maxClients = maxClients;
    this.handler = handler;
  }

  /**
   * Starts to accept clients.
   *
   * @throws IOException if the address can't be bound
   */
  void listen(InetSocketAddress address) throws IOException {
    sockets.listen(
        address,
        new DecodingHandler<>(
            "client",
            FlowController.CLIENT_WINDOW_BYTES,
            ClientCallDecoder::new,
            new SessionListener()));
  }

  /** Sets how long a connection may stay idle, in nanoseconds; empty for the default. */
  void setIdleTimeout(OptionalLong nanos) {
    idleTimeoutNanos = nanos.orElse(DEFAULT_IDLE_TIMEOUT_NANOS);
  }

  /**
   * Closes the connections without open requests that never sent a message, stall within one, or
   * are idle, up to the number that can be closed gracefully at once. The others are closed by the
   * next sweep, or are evicted before.
   */
  void sweep() {
    evictIfAboveLimit();
    long now = loop.now();
    Optional<ClientConnection> client = overdue(now);
    while (client.isPresent() && closing.hasCapacity()) {
      disconnect(client.get(), "idle, silent or within a message for too long");
      client = overdue(now);
    }
  }

  private Optional<ClientConnection> overdue(long now) {
    return table.overdue(now - MAX_SILENCE_NANOS, now - idleTimeoutNanos);
  }

  /**
   * Stops admitting clients, abandons open requests, and closes each connection once the responses
   * already written to it are sent.
   */
  void close() {
    closed = true;
    closing.removeLimit();
    sockets.unbind();
    table.all().forEach(client -> disconnect(client, "gateway shutdown"));
  }

  /**
   * Admits a client; returns false if the table is full and all connections in it have open
   * requests. Beyond {@code maxClients} another connection is evicted, but only once what has
   * arrived on it is handled.
   */
  private boolean admit(ClientConnection client) {
    if (!table.add(client)) {
      long now = loop.now();
      evictable(now).or(table::leastRecentlyActive).ifPresent(this::evict);
      return table.add(client);
    }
    evictIfAboveLimit();
    return true;
  }

  /**
   * Evicts connections above the limit once what has arrived by now is read and handled: a request
   * that lies unread on an idle connection would be lost.
   */
  private void evictIfAboveLimit() {
    if (table.size() > maxClients && !evicting) {
      evicting = true;
      long decidedAtNanos = loop.now();
      arrivals.whenHandled(() -> evictAboveLimit(decidedAtNanos));
    }
  }

  private void evictAboveLimit(long decidedAtNanos) {
    evicting = false;
    Optional<ClientConnection> client = evictable(decidedAtNanos);
    while (table.size() > maxClients && client.isPresent()) {
      evict(client.get());
      client = evictable(decidedAtNanos);
    }
  }

  /** Returns a connection that could be evicted at a time, and was not active since. */
  private Optional<ClientConnection> evictable(long atNanos) {
    return table.evictable(atNanos - FIRST_REQUEST_TIMEOUT_NANOS, atNanos - MAX_UNREAD_NANOS);
  }

  private void evict(ClientConnection client) {
    handler.onEviction(client);
    disconnect(client, "evicted for a new connection");
  }

  /** Closes a connection gracefully and abandons its open requests. */
  private void disconnect(ClientConnection client, String reason) {
    table.remove(client);
    logOpenRequests(client, reason);
    closing.close(client.session);
    abandonRequests(client);
  }

  private void abandonRequests(ClientConnection client) {
    List.copyOf(client.openRequests.values()).forEach(handler::onClientGone);
  }

  /** Logs the end of a connection with open requests, whose responses can't be delivered. */
  private static void logOpenRequests(ClientConnection client, String reason) {
    if (!client.openRequests.isEmpty()) {
      LOG.log(
          Level.INFO,
          "client {0}: connection closed with {1} open requests, which are abandoned: {2}",
          client.session.getRemoteAddress(),
          client.openRequests.size(),
          reason);
    }
  }

  /** Returns the client of a session; empty if it is closed or was never admitted. */
  private Optional<ClientConnection> client(IoSession session) {
    Long handle = (Long) session.getAttribute(CLIENT);
    return handle == null ? Optional.empty() : table.find(handle);
  }

  /** Posts the events of the I/O thread to the event loop, in order. */
  private final class SessionListener implements Listener<ClientCall> {
    @Override
    public void opened(IoSession session) {
      // Until its end is handled, so that new connections wait for the event loop.
      ConnectionInput.of(session).charge(CONNECTION_WORK_BYTES);
      post(session, 0, () -> onOpened(session));
    }

    @Override
    public void received(IoSession session, ClientCall call, int bytes) {
      if (Sockets.isEndOfStream(session)) {
        return; // the client is gone: it needs no response, and no request of it may start
      }
      long receivedAtNanos = Sockets.earliestArrivalNanos(session).orElseGet(loop::now);
      post(session, bytes, () -> onReceived(session, call, receivedAtNanos));
    }

    @Override
    public void messageStarted(IoSession session) {
      post(session, 0, () -> onMessageBegun(session));
    }

    @Override
    public void messageContinued(IoSession session, int bytes) {
      post(session, bytes, () -> onMessageContinued(session));
    }

    @Override
    public void inputUnread(IoSession session) {
      post(session, 0, () -> onInputUnread(session));
    }

    @Override
    public void inputRead(IoSession session) {
      post(session, 0, () -> onInputRead(session));
    }

    @Override
    public void inputMalformed(IoSession session) {
      post(session, 0, () -> onMalformed(session));
    }

    @Override
    public void closed(IoSession session) {
      post(session, 0, () -> onClosed(session));
    }

    private void post(IoSession session, int bytes, Runnable action) {
      loop.post(ConnectionInput.of(session), bytes, action);
    }
  }

  private void onOpened(IoSession session) {
    if (closed) { // its requests would be forwarded without anyone to receive the response
      closing.close(session);
      return;
    }
    ClientConnection client = new ClientConnection(session, loop.now());
    if (!admit(client)) {
      session.closeNow();
      return;
    }
    session.setAttribute(CLIENT, client.handle);
  }

  private void onReceived(IoSession session, ClientCall call, long receivedAtNanos) {
    client(session)
        .ifPresent(
            client -> {
              table.messageReceived(client, loop.now());
              call.dispatch(handler, new Arrival(client, receivedAtNanos));
            });
  }

  private void onMessageBegun(IoSession session) {
    client(session).ifPresent(client -> table.messageBegun(client, loop.now()));
  }

  private void onMessageContinued(IoSession session) {
    client(session).ifPresent(client -> table.messageContinued(client, loop.now()));
  }

  private void onInputUnread(IoSession session) {
    client(session).ifPresent(client -> table.inputUnread(client, loop.now()));
  }

  private void onInputRead(IoSession session) {
    client(session)
        .ifPresent(
            client -> {
              table.inputRead(client);
              handler.onInputRead(client);
            });
  }

  private void onMalformed(IoSession session) {
    client(session).ifPresent(client -> disconnect(client, "the client sent undecodable input"));
  }

  private void onClosed(IoSession session) {
    ConnectionInput.of(session).release(CONNECTION_WORK_BYTES);
    client(session)
        .ifPresent(
            client -> {
              table.remove(client);
              logOpenRequests(client, "the connection was lost");
              abandonRequests(client);
            });
  }
}
