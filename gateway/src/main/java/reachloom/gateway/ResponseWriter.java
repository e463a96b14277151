package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.Optional;
import reachloom.flowcontrol.FlowController;
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

  /** The most bytes of unsent responses of all connections together, with their overhead. */
  private static final long MAX_UNSENT_BYTES = 8L << 20;

  private final EventLoop loop;
  private final ClientConnectionTable clients;
  private final RequestRegistry requests;
  private final UnsentResponses.Totals totals = new UnsentResponses.Totals();

  ResponseWriter(EventLoop loop, ClientConnectionTable clients, RequestRegistry requests) {
    this.loop = loop;
    this.clients = clients;
    this.requests = requests;
  }

  /** Closes a request and writes its response, unless its connection is gone. */
  void respond(ClientRequest request, ByteBuffer frame) {
    Optional<ClientConnection> client = clients.find(request.connection);
    requests.close(request);
    client.ifPresent(open -> write(open, frame, false));
  }

  /**
   * Writes a complete frame to a client, in response to a call that is no admitted request. The
   * client's connection is charged with it until it is sent: clients may send such calls without
   * end.
   */
  void respondDirectly(ClientConnection client, ByteBuffer frame) {
    write(client, frame, true);
  }

  private void write(ClientConnection client, ByteBuffer frame, boolean isWork) {
    clients.touch(client, loop.now());
    int bytes = frame.remaining() + FlowController.RESPONSE_OVERHEAD_BYTES;
    UnsentResponses unsent = UnsentResponses.of(client.session, totals);
    if (totals.bytes() + bytes > MAX_UNSENT_BYTES
        && unsent.bytes() > MAX_UNSENT_BYTES / clients.size()) {
      LOG.log(
          Level.WARNING,
          "client {0} does not read its responses: {1} bytes are unsent; its connection is closed",
          client.session.getRemoteAddress(),
          Long.toString(unsent.bytes()));
      client.session.closeNow();
      return;
    }
    unsent.add(bytes, isWork);
    Sockets.write(client.session, frame).addListener(written -> unsent.remove(bytes, isWork));
  }

  /** Returns the responses of all clients that are not sent completely. */
  UnsentResponses.Totals unsent() {
    return totals;
  }
}
