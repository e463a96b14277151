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
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.wire.ChangeLogDecoder;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.EndpointListEvent;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.EngineState;

/**
 * Follows the change log, from the last event that the gateway holds, for the endpoint list. A
 * connection that breaks, falls silent or leaves events out is made anew with backoff; the list
 * stays in use meanwhile. What an event means for the list is decided by {@link EndpointWatch}.
 *
 * <p>Confined to the event loop's thread but for the handler of the sockets, which only posts to
 * it.
 */
final class ChangeLogClient {
  private static final Logger LOG = System.getLogger(ChangeLogClient.class.getName());
  private static final AttributeKey CONNECTION =
      new AttributeKey(ChangeLogClient.class, "connection");

  /** Is told of the endpoint list; on the event loop's thread. */
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

  /** The engines of a complete list that comes in parts, by name, until the last part is there. */
  private final Map<String, EngineMember> partialList = new LinkedHashMap<>();

  private InetSocketAddress address;

  /** Counts connections, so that one that was given up is no longer listened to. */
  private long connectionNumber;

  /** Null unless the connection is established. */
  private IoSession session;

  private ConnectFuture connectFuture;
  private Deadline silenceTimeout;
  private Deadline reconnectTimer;

  /** What waits for the list to be up to date; null once it is. */
  private Runnable onCaughtUp;

  private long catchUpDeadlineNanos;
  private Deadline catchUpTimer;

  /** A client that holds the list of the configuration; it connects only when told to. */
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
                () -> new ChangeLogDecoder(zoneCount, engineKindCount),
                new SocketHandler()),
            EndpointWatch.CONNECT_TIMEOUT_NANOS);
  }

  // ---- Configuration ----

  /**
   * Takes over what a configuration read anew says: events after the last one held, and the address
   * of the change log. The old address is left once what has been read from there is dealt with: it
   * counts as known, and the new one, which goes on with the same numbers, may send it late.
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
        "change log: {0} from now on instead of {1}, after event {2}",
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
   * Runs an action once the change log has sent all that it held, or has had its time: a list that
   * was handed over at the start may be old by then, and what the log has sent since counts as
   * known.
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

  /** Waits for the log to be quiet for a while: it sends what it holds without a pause. */
  private void awaitQuiet() {
    loop.deadlines().cancel(catchUpTimer);
    long quietAtNanos =
        Math.min(catchUpDeadlineNanos, loop.now() + EndpointWatch.CATCH_UP_QUIET_NANOS);
    catchUpTimer = loop.deadlines().add(quietAtNanos, this::caughtUp);
  }

  // ---- Connection ----

  /** Connects to the change log; from then on the client keeps itself connected. */
  void connect() {
    long number = ++connectionNumber;
    ConnectFuture future =
        connector.connect(address, (newSession, f) -> newSession.setAttribute(CONNECTION, number));
    connectFuture = future;
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            loop.post(0, () -> connectionFailed(number, "no connection"));
          }
        });
    expectWithin(EndpointWatch.CONNECT_TIMEOUT_NANOS, "no connection in time");
  }

  /** Counts the connection as failed unless something comes within that time. */
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

  /** Ends the connection, or the one that is being made, or the backoff before the next one. */
  private void disconnect() {
    connectionNumber++;
    loop.deadlines().cancel(silenceTimeout);
    loop.deadlines().cancel(reconnectTimer);
    if (session != null) {
      closing.end(session);
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
    expectWithin(EndpointWatch.MAX_SILENCE_NANOS, "unresponsive");
  }

  // ---- Events ----

  private void onEvent(EndpointListEvent event) {
    if (onCaughtUp != null) {
      loop.later(() -> noteCatchingUp(event)); // once it is dealt with
    }
    expectWithin(EndpointWatch.MAX_SILENCE_NANOS, "unresponsive");
    long lastBefore = watch.lastEventNumber();
    switch (watch.onFrame(event.number(), event.isComplete(), event.isHeartbeat())) {
      case APPLY -> subscriber.onEvent(event);
      case REQUEST_COMPLETE_LIST ->
          connectionFailed(connectionNumber, "event " + event.number() + " after " + lastBefore);
      case BUFFER -> addToPartialList(event);
      case APPLY_BUFFERED -> {
        addToPartialList(event);
        completePartialList(event.number());
      }
      case IGNORE -> {
        // a heartbeat, or an event that is known
      }
    }
  }

  private void noteCatchingUp(EndpointListEvent event) {
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

  /** Called on the thread that serves the sockets. */
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
      loop.post(0, () -> connectionFailed(number, "closed"));
    }

    private static long connectionNumber(IoSession session) {
      return (Long) session.getAttribute(CONNECTION);
    }
  }
}
