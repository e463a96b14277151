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
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.wire.ClientCall;
import reachloom.gateway.wire.ClientCallDecoder;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;

/**
 * The connections of clients, from accept to close: admits them within a bound, evicts idle ones
 * for new ones, closes those that are silent, stall within a message or stay idle, and passes on
 * the calls that arrive.
 *
 * <p>The thread that serves the sockets only decodes and posts to the event loop. The table and all
 * methods of this class are confined to the event loop's thread.
 */
final class ClientConnections {
  /**
   * A call that has arrived.
   *
   * @param client the connection that it came on
   * @param receivedAtNanos when its last byte had been received, on the event loop's clock
   */
  record Arrival(ClientConnection client, long receivedAtNanos) {}

  /** Carries out the calls that arrive; called on the event loop's thread. */
  interface Handler extends ClientCall.Handler<Arrival> {
    /** The connection of an open request is gone: nobody waits for its response any more. */
    void onClientGone(ClientRequest request);
  }

  private static final Logger LOG = GatewayService.LOG;
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final AttributeKey CLIENT = new AttributeKey(ClientConnections.class, "client");

  /**
   * A client that sends nothing after connecting, or stalls within a message, is closed after this
   * time: it holds a descriptor.
   */
  private static final long MAX_SILENCE = 2_000 * MILLISECOND;

  /**
   * A client without open requests is closed after this idle time. Clients close idle connections
   * after 4 s by themselves; the settings override this for installations whose clients keep them.
   */
  private static final long MAX_IDLE = 10_000 * MILLISECOND;

  /**
   * A client that means to send a request has sent its first one within this time, also where this
   * process is short of processor time; until then it is evicted only if no other one can be.
   */
  private static final long FIRST_REQUEST_TIMEOUT = 1_000 * MILLISECOND;

  private final EventLoop loop;
  private final Sockets sockets;
  private final LingeringClose closing;
  private final ClientConnectionTable table;
  private final int maxClients;
  private final Handler handler;
  private long maxIdleNanos = MAX_IDLE;

  /** No client is admitted any more; some may have connected that the loop has not heard of. */
  private boolean closed;

  /**
   * Connections that are not listened for yet.
   *
   * @param table holds the connections; its capacity exceeds {@code maxClients} by those that are
   *     about to be evicted
   * @param maxClients connections that may stay, beyond which another one is evicted for each new
   *     one
   */
  ClientConnections(
      EventLoop loop,
      Sockets sockets,
      LingeringClose closing,
      ClientConnectionTable table,
      int maxClients,
      Handler handler) {
    this.loop = loop;
    this.sockets = sockets;
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
        address, new DecodingHandler<>("client", ClientCallDecoder::new, new SessionListener()));
  }

  /** Sets how long a client may stay idle, in nanoseconds; the default where it is absent. */
  void setIdleTimeout(OptionalLong nanos) {
    maxIdleNanos = nanos.orElse(MAX_IDLE);
  }

  /**
   * Closes the clients that never sent a message, stall within one, or are idle: no more at once
   * than can be closed in order. The rest follows with the next sweep, or is evicted before.
   */
  void sweep() {
    long now = loop.now();
    Optional<ClientConnection> client = overdue(now);
    while (client.isPresent() && closing.hasCapacity()) {
      disconnect(client.get(), "idle or silent for too long");
      client = overdue(now);
    }
  }

  private Optional<ClientConnection> overdue(long now) {
    return table.overdue(now - MAX_SILENCE, now - maxIdleNanos);
  }

  /** Admits no more clients, and closes all connections once what is owed to them is written. */
  void close() {
    closed = true;
    closing.removeLimit();
    sockets.unbind();
    table.all().forEach(client -> disconnect(client, "gateway shutdown"));
  }

  /**
   * Admits a client; false where the table is full and all in it have open requests. Beyond the
   * number of clients another one is evicted, but not at once: what has been read from it by now
   * counts first.
   */
  private boolean admit(ClientConnection client) {
    if (!table.add(client)) {
      evictOne();
      return table.add(client);
    }
    if (table.size() > maxClients) {
      loop.post(0, this::evictOne);
    }
    return true;
  }

  private void evictOne() {
    if (table.size() > maxClients) {
      table
          .evictable(loop.now() - FIRST_REQUEST_TIMEOUT)
          .ifPresent(client -> disconnect(client, "evicted for a new connection"));
    }
  }

  /** Closes a connection in order; its open requests are given up. */
  private void disconnect(ClientConnection client, String reason) {
    table.remove(client);
    logOpenRequests(client, reason);
    closing.end(client.session);
    abandonRequests(client);
  }

  private void abandonRequests(ClientConnection client) {
    List.copyOf(client.openRequests.values()).forEach(handler::onClientGone);
  }

  /** Logs a connection that ends with requests open on it: nobody receives their responses. */
  private static void logOpenRequests(ClientConnection client, String reason) {
    if (!client.openRequests.isEmpty()) {
      LOG.log(
          Level.INFO,
          "client {0} disconnected with {1} requests open: {2}",
          client.session.getRemoteAddress(),
          client.openRequests.size(),
          reason);
    }
  }

  /** The client of a connection, unless it is closed or was never admitted. */
  private Optional<ClientConnection> client(IoSession session) {
    Long handle = (Long) session.getAttribute(CLIENT);
    return handle == null ? Optional.empty() : table.find(handle);
  }

  /** Posts what the sockets' thread reads to the event loop, in the order in which it is read. */
  private final class SessionListener implements Listener<ClientCall> {
    @Override
    public void opened(IoSession session) {
      loop.post(0, () -> onOpened(session));
    }

    @Override
    public void received(IoSession session, ClientCall call, int bytes) {
      if (Sockets.isEndOfStream(session)) {
        return; // the client is gone: nothing is owed to it, and nothing may begin
      }
      long receivedAtNanos = loop.now();
      loop.post(bytes, () -> onReceived(session, call, receivedAtNanos));
    }

    @Override
    public void messageStarted(IoSession session) {
      loop.post(0, () -> onMessageBegun(session));
    }

    @Override
    public void inputMalformed(IoSession session) {
      loop.post(0, () -> onMalformed(session));
    }

    @Override
    public void closed(IoSession session) {
      loop.post(0, () -> onClosed(session));
    }
  }

  private void onOpened(IoSession session) {
    if (closed) { // its requests would be forwarded, with nobody left to respond to
      closing.end(session);
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
              table.messageReceived(client, receivedAtNanos);
              call.dispatch(handler, new Arrival(client, receivedAtNanos));
            });
  }

  private void onMessageBegun(IoSession session) {
    client(session).ifPresent(client -> table.messageBegun(client, loop.now()));
  }

  private void onMalformed(IoSession session) {
    client(session).ifPresent(client -> disconnect(client, "unreadable input"));
  }

  private void onClosed(IoSession session) {
    client(session)
        .ifPresent(
            client -> {
              table.remove(client);
              logOpenRequests(client, "connection ended");
              abandonRequests(client);
            });
  }
}
