package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.wire.Sockets;

/**
 * Writes responses to clients, and limits the bytes that clients have not received yet: when the
 * total exceeds the limit, a client that holds more than its share of it is disconnected.
 *
 * <p>Confined to the event loop's thread; only the counts of what is unsent are shared with the I/O
 * thread, which decreases them as writes complete.
 */
final class ResponseWriter {
  private static final Logger LOG = GatewayService.LOG;

  /** The most bytes of unsent responses of all connections together. */
  private static final long MAX_UNSENT_BYTES = 8L << 20;

  private final EventLoop loop;
  private final ClientConnectionTable clients;
  private final RequestRegistry requests;
  private final AtomicLong unsentBytes = new AtomicLong();
  private final AtomicInteger unsentResponses = new AtomicInteger();

  ResponseWriter(EventLoop loop, ClientConnectionTable clients, RequestRegistry requests) {
    this.loop = loop;
    this.clients = clients;
    this.requests = requests;
  }

  /** Closes a request and writes its response, unless its connection is gone. */
  void respond(ClientRequest request, ByteBuffer frame) {
    Optional<ClientConnection> client = clients.find(request.connection);
    requests.close(request);
    client.ifPresent(open -> write(open, frame));
  }

  /** Writes a complete frame to a client. */
  void write(ClientConnection client, ByteBuffer frame) {
    clients.touch(client, loop.now());
    int bytes = frame.remaining();
    if (unsentBytes.get() + bytes > MAX_UNSENT_BYTES && holdsMoreThanItsShare(client)) {
      LOG.log(
          Level.WARNING,
          "client {0} does not read its responses: {1} bytes are unsent; its connection is closed",
          client.session.getRemoteAddress(),
          Long.toString(client.session.getScheduledWriteBytes()));
      client.session.closeNow();
      return;
    }
    unsentBytes.addAndGet(bytes);
    unsentResponses.incrementAndGet();
    Sockets.write(client.session, frame).addListener(written -> sent(bytes));
  }

  private void sent(int bytes) {
    unsentBytes.addAndGet(-bytes);
    unsentResponses.decrementAndGet();
  }

  /** Returns the number of responses that are not sent completely. */
  int unsentResponses() {
    return unsentResponses.get();
  }

  /** Returns the bytes of the responses that are not sent completely. */
  long unsentBytes() {
    return unsentBytes.get();
  }

  private boolean holdsMoreThanItsShare(ClientConnection client) {
    return client.session.getScheduledWriteBytes() > MAX_UNSENT_BYTES / clients.size();
  }
}
