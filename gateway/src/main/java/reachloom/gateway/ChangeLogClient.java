package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.discovery.EndpointWatch;
import reachloom.flowcontrol.FlowController;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.wire.ChangeLogDecoder;
import reachloom.gateway.wire.ConnectionInput;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.EndpointListEvent;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.EngineState;

/**
 * Follows the change log from the last applied event, to keep the endpoint list current. If a
 * connection breaks, falls silent or skips events, the client reconnects with backoff; the list
 * stays in use meanwhile. {@link EndpointWatch} decides what an event means for the list.
 *
 * <p>Confined to the event loop's thread, except for the socket handler, which only posts to it.
 */
final class ChangeLogClient {
  private static final Logger LOG = System.getLogger(ChangeLogClient.class.getName());
  private static final AttributeKey CONNECTION =
      new AttributeKey(ChangeLogClient.class, "connection");

  /** Receives changes of the endpoint list, on the event loop's thread. */
  interface Subscriber {
    /** The endpoint list has changed; never a heartbeat. */
    void onEvent(EndpointListEvent event);

    /** The change log can't be reached, or its connection broke. */
    void onUnavailable();
  }

  private final EventLoop loop;
  private final LingeringClose closing;
  private final Subscriber subscriber;
  private final NioSocketConnector connector;
  private final EndpointWatch watch;

  /** The engines, by name, of a complete list that is received in parts, until its last part. */
  private final Map<String, EngineMember> partialList = new LinkedHashMap<>();

  private InetSocketAddress address;

  /** The number of the current connection, by which events of abandoned ones are recognized. */
  private long connectionNumber;

  /** The session of the established connection, otherwise null. */
  private IoSession session;

  private ConnectFuture connectFuture;
  private Deadline silenceTimeout;
  private Deadline reconnectTimer;

  /** The action to run once the endpoint list is current; null if none is pending. */
  private Runnable onCaughtUp;

  private long catchUpDeadlineNanos;
  private Deadline catchUpTimer;

  /** Creates a client that starts from the configured endpoint list and is not connected. */
  ChangeLogClient(
      EventLoop loop,
      Sockets sockets,
      LingeringClose closing,
      GatewayConfig config,
      Subscriber subscriber) {
    this.loop = loop;
    this.closing = closing;
    this.subscriber = subscriber;
    address = config.changeLog();
    watch = new EndpointWatch(config.lastEventNumber(), config.seed());
    int zoneCount = config.names().zones().size();
    int engineKindCount = config.names().kinds().size();
    connector =
        sockets.connector(
            new DecodingHandler<>(
                "change log",
                FlowController.PEER_WINDOW_BYTES,
                () -> new ChangeLogDecoder(zoneCount, engineKindCount),
                new SocketHandler()),
            EndpointWatch.CONNECT_TIMEOUT_NANOS);
  }

  // ---- Configuration ----

  /**
   * Applies a reloaded configuration: its endpoint list, if that is newer than the last applied
   * event, and the address of the change log. The client leaves the old address once the events
   * already read from there are handled: the gateway is expected to know them, and the new change
   * log, which continues the numbering, may send them again only later.
   */
  void reconfigure(GatewayConfig next) {
    if (watch.onCompleteList(next.lastEventNumber())) {
      subscriber.onEvent(
          new EndpointListEvent(
              next.lastEventNumber(), EndpointListEvent.Kind.COMPLETE_LIST, next.knownEngines()));
    }
    if (next.changeLog().equals(address)) {
      return;
    }
    LOG.log(
        Level.INFO,
        "change log: the address changes to {0} from {1}, after event {2}",
        next.changeLog(),
        address,
        Long.toString(watch.lastEventNumber()));
    address = next.changeLog();
    watch.onAddressChanged();
    loop.post(0, this::reconnect);
  }

  private void reconnect() {
    disconnect();
    connect();
  }

  // ---- Start ----

  /**
   * Runs an action once the change log has sent all its events, or its time for that has passed.
   * The configured endpoint list may be outdated at the start, and the gateway is expected to know
   * all events that the log has sent since.
   */
  void whenCaughtUp(Runnable action) {
    onCaughtUp = action;
    catchUpDeadlineNanos = loop.now() + EndpointWatch.MAX_CATCH_UP_NANOS;
    catchUpTimer = loop.deadlines().add(catchUpDeadlineNanos, this::caughtUp);
  }

  private void caughtUp() {
    Runnable action = onCaughtUp;
    onCaughtUp = null;
    loop.deadlines().cancel(catchUpTimer);
    if (action != null) {
      action.run();
    }
  }

  /** Waits until the log is quiet for a while: it sends the events that it holds without pauses. */
  private void awaitQuiet() {
    loop.deadlines().cancel(catchUpTimer);
    long quietAtNanos =
        Math.min(catchUpDeadlineNanos, loop.now() + EndpointWatch.CATCH_UP_QUIET_NANOS);
    catchUpTimer = loop.deadlines().add(quietAtNanos, this::caughtUp);
  }

  // ---- Connection ----

  /** Connects to the change log; afterwards the client reconnects by itself. */
  void connect() {
    long number = ++connectionNumber;
    ConnectFuture future =
        connector.connect(address, (newSession, f) -> newSession.setAttribute(CONNECTION, number));
    connectFuture = future;
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            loop.post(0, () -> connectionFailed(number, "the connect failed"));
          }
        });
    expectWithin(EndpointWatch.CONNECT_TIMEOUT_NANOS, "the connect timed out");
  }

  /**
   * Treats the connection as failed unless it is established, or an event or heartbeat is received,
   * within the timeout; each of them calls this again.
   */
  private void expectWithin(long timeoutNanos, String reason) {
    loop.deadlines().cancel(silenceTimeout);
    long number = connectionNumber;
    silenceTimeout =
        loop.deadlines().add(loop.now() + timeoutNanos, () -> connectionFailed(number, reason));
  }

  private void connectionFailed(long number, String reason) {
    if (number != connectionNumber) {
      return;
    }
    LOG.log(
        Level.INFO,
        "change log at {0}: {1}; the endpoint list of event {2} stays in use",
        address,
        reason,
        Long.toString(watch.lastEventNumber()));
    disconnect();
    reconnectTimer = loop.deadlines().add(loop.now() + watch.nextBackoffNanos(), this::connect);
    subscriber.onUnavailable();
  }

  /** Closes the connection, aborts a connect in progress, or cancels the backoff before one. */
  private void disconnect() {
    connectionNumber++;
    loop.deadlines().cancel(silenceTimeout);
    loop.deadlines().cancel(reconnectTimer);
    if (session != null) {
      closing.close(session);
      session = null;
    } else if (connectFuture != null) {
      Sockets.giveUp(connectFuture);
    }
  }

  private void connected(IoSession newSession) {
    session = newSession;
    if (onCaughtUp != null) {
      awaitQuiet();
    }
    watch.onRequestSent();
    partialList.clear();
    Sockets.write(newSession, ChangeLogDecoder.hello(watch.requestAfter()));
    expectWithin(EndpointWatch.MAX_SILENCE_NANOS, "no event or heartbeat was received in time");
  }

  // ---- Events ----

  private void onEvent(EndpointListEvent event) {
    if (onCaughtUp != null) {
      loop.defer(() -> updateCatchUp(event)); // once the event is handled
    }
    expectWithin(EndpointWatch.MAX_SILENCE_NANOS, "no event or heartbeat was received in time");
    long lastBefore = watch.lastEventNumber();
    switch (watch.onFrame(event.number(), event.isComplete(), event.isHeartbeat())) {
      case APPLY -> subscriber.onEvent(event);
      case REQUEST_COMPLETE_LIST ->
          connectionFailed(
              connectionNumber,
              "events are missing: received " + event.number() + " after " + lastBefore);
      case BUFFER -> addToPartialList(event);
      case APPLY_BUFFERED -> {
        addToPartialList(event);
        completePartialList(event.number());
      }
      case IGNORE -> {
        // a heartbeat, or an event that was applied before
      }
    }
  }

  private void updateCatchUp(EndpointListEvent event) {
    if (event.isHeartbeat()) {
      caughtUp();
    } else {
      awaitQuiet();
    }
  }

  private void addToPartialList(EndpointListEvent event) {
    if (event.isComplete()) {
      partialList.clear();
    }
    for (EngineMember member : event.members()) {
      String name = member.endpoint().name();
      if (member.endpoint().state() == EngineState.REMOVED) {
        partialList.remove(name);
      } else {
        partialList.put(name, member);
      }
    }
  }

  private void completePartialList(long number) {
    List<EngineMember> members = List.copyOf(partialList.values());
    subscriber.onEvent(
        new EndpointListEvent(number, EndpointListEvent.Kind.COMPLETE_LIST, members));
    partialList.clear();
  }

  /** Posts the events of sockets to the event loop; called on the I/O thread. */
  private final class SocketHandler implements Listener<EndpointListEvent> {
    @Override
    public void opened(IoSession newSession) {
      long number = connectionNumber(newSession);
      loop.post(
          0,
          () -> {
            if (number == connectionNumber) {
              connected(newSession);
            } else {
              newSession.closeNow();
            }
          });
    }

    @Override
    public void received(IoSession from, EndpointListEvent event, int bytes) {
      long number = connectionNumber(from);
      loop.postFirst(
          ConnectionInput.of(from),
          bytes,
          () -> {
            if (number == connectionNumber) {
              onEvent(event);
            }
          });
    }

    @Override
    public void closed(IoSession closedSession) {
      long number = connectionNumber(closedSession);
      loop.post(0, () -> connectionFailed(number, "the connection was closed"));
    }

    private static long connectionNumber(IoSession session) {
      return (Long) session.getAttribute(CONNECTION);
    }
  }
}
