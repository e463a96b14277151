package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.mina.core.session.IoSession;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig.Transport;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.state.GenerationalSlots;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.EngineState;

/**
 * The connections to engines, by the names of the engines. The pool keeps them in step with the
 * endpoint list, hands them out to attempts and health checks, and closes those that are idle,
 * stalled or broken.
 *
 * <p>A connection belongs to one incarnation of an engine: one that has restarted gets connections
 * of its own. The number of connections is bounded, for each engine and in all. Confined to the
 * event loop's thread.
 */
final class EngineConnectionPool implements EngineConnector.Events {
  private static final Logger LOG = System.getLogger(EngineClient.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int MAX_CONNECTIONS_PER_ENGINE = 8;

  /**
   * Idle connections are closed after this share of the engine's own idle timeout, so that no
   * request crosses the engine's close on its way.
   */
  private static final double IDLE_TIMEOUT_SHARE = 0.8;

  /**
   * A response that has stopped half-way for so long will not go on: an engine may pause, but
   * hardly within a response.
   */
  private static final long MAX_PARTIAL_RESPONSE_NANOS = 1_000 * MILLISECOND;

  /** An engine that the endpoint list has named, and the connections to it. */
  private static final class Engine {
    private final List<EngineConnection> connections = new ArrayList<>();

    /** Null once the endpoint list has removed the engine. */
    private EngineMember member;

    boolean isListed() {
      return member != null;
    }

    boolean acceptsAttempts() {
      return isListed() && member.endpoint().state() == EngineState.UP;
    }
  }

  private final EventLoop loop;
  private final LingeringClose closing;
  private final Transport transport;
  private final EngineConnectionListener listener;
  private final GenerationalSlots<EngineConnection> connections;
  private final EngineConnector connector;
  private final Map<String, Engine> engines = new LinkedHashMap<>();

  /** A pool without engines, with at most so many connections as the options allow. */
  EngineConnectionPool(
      EventLoop loop,
      Sockets sockets,
      LingeringClose closing,
      EngineClient.Options options,
      EngineConnectionListener listener) {
    this.loop = loop;
    this.closing = closing;
    this.transport = options.transport();
    this.listener = listener;
    this.connections = new GenerationalSlots<>(options.maxConnections());
    this.connector =
        new EngineConnector(loop, sockets, transport.dialTimeoutNanos(), connections, this);
  }

  // ---- The endpoint list ----

  /**
   * Takes over a change of the endpoint list.
   *
   * @param complete whether engines that are not named here have been removed
   */
  void update(boolean complete, List<EngineMember> members) {
    if (complete) {
      removeUnlisted(members);
    }
    for (EngineMember member : members) {
      Engine engine = engines.computeIfAbsent(member.endpoint().name(), name -> new Engine());
      engine.member = member.endpoint().state() == EngineState.REMOVED ? null : member;
      closeConnectionsBefore(engine, member.endpoint().incarnation());
    }
    // Only those that are named, of thousands, can have changed.
    List<String> changed =
        complete
            ? List.copyOf(engines.keySet())
            : members.stream().map(member -> member.endpoint().name()).toList();
    changed.forEach(this::endpointChanged);
  }

  private void removeUnlisted(List<EngineMember> members) {
    Set<String> listed =
        members.stream().map(member -> member.endpoint().name()).collect(Collectors.toSet());
    engines.forEach(
        (name, engine) -> {
          if (!listed.contains(name)) {
            engine.member = null;
          }
        });
  }

  private void closeConnectionsBefore(Engine engine, long incarnation) {
    for (EngineConnection connection : List.copyOf(engine.connections)) {
      if (connection.incarnation() < incarnation) {
        close(connection, false, "the engine has restarted");
      }
    }
  }

  private void endpointChanged(String name) {
    Engine engine = engines.get(name);
    if (engine == null) {
      return;
    }
    boolean acceptsAttempts = engine.acceptsAttempts();
    engine.connections.forEach(
        connection -> listener.onEndpointChanged(connection, acceptsAttempts));
    if (!engine.isListed()) {
      List.copyOf(engine.connections).stream()
          .filter(EngineConnection::isUnused)
          .forEach(connection -> close(connection, false, "the engine was removed"));
      forgetIfUnused(name, engine);
    }
  }

  private void forgetIfUnused(String name, Engine engine) {
    if (!engine.isListed() && engine.connections.isEmpty()) {
      engines.remove(name);
    }
  }

  /** How many engines are remembered: those listed, and removed ones with open connections. */
  int engineCount() {
    return engines.size();
  }

  /** How many connections there are. */
  int connectionCount() {
    return connections.size();
  }

  /** How many attempts wait to be written to their connections. */
  int unsentAttempts() {
    return connections.all().stream().mapToInt(EngineConnection::unsentCount).sum();
  }

  // ---- Use ----

  /**
   * A connection to an engine with capacity for one more attempt, established or still being made.
   * It is none that an earlier attempt for the same request used: a late response to that one would
   * be taken for a response to this one.
   *
   * @param previousAttempts the attempts for the same request so far; empty for a health check
   * @return empty where the engine is not listed, or no further connection is allowed
   */
  Optional<EngineConnection> acquire(String name, List<EngineAttempt> previousAttempts) {
    Engine engine = engines.get(name);
    if (engine == null || !engine.isListed()) {
      return Optional.empty();
    }
    Optional<EngineConnection> best = bestAvailable(engine, previousAttempts);
    if (best.isPresent() && !best.get().isUnresponsive()) {
      return best;
    }
    Optional<EngineConnection> opened = open(engine);
    return opened.isPresent() ? opened : best;
  }

  private Optional<EngineConnection> bestAvailable(
      Engine engine, List<EngineAttempt> previousAttempts) {
    EngineConnection best = null;
    for (EngineConnection connection : engine.connections) {
      if (isAvailable(connection, previousAttempts)
          && (best == null || isPreferred(connection, best))) {
        best = connection;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isAvailable(EngineConnection connection, List<EngineAttempt> previousAttempts) {
    return connection.attemptCount() < transport.maxStreamsPerConnection()
        && !connection.isClosing()
        && previousAttempts.stream().noneMatch(attempt -> attempt.connection == connection);
  }

  /** Responsive ones first, then those that are established, then the least used. */
  private static boolean isPreferred(EngineConnection connection, EngineConnection other) {
    if (connection.isUnresponsive() != other.isUnresponsive()) {
      return !connection.isUnresponsive();
    }
    if (connection.isConnected() != other.isConnected()) {
      return connection.isConnected();
    }
    return connection.attemptCount() < other.attemptCount();
  }

  private Optional<EngineConnection> open(Engine engine) {
    if (engine.connections.size() >= MAX_CONNECTIONS_PER_ENGINE) {
      return Optional.empty();
    }
    EngineMember member = engine.member;
    EngineConnection connection =
        new EngineConnection(member.endpoint().name(), member.endpoint().incarnation());
    long handle = connections.add(connection);
    if (handle == GenerationalSlots.NONE) {
      return Optional.empty();
    }
    connection.setHandle(handle);
    engine.connections.add(connection);
    connector.connect(connection, member.address());
    return Optional.of(connection);
  }

  /** Writes a command; does nothing on a connection that is not established or is closed. */
  void write(EngineConnection connection, ByteBuffer command) {
    if (connection.isConnected() && !connection.isClosed()) {
      connection.setLastWrite(Sockets.write(connection.session(), command));
    }
  }

  /** Records that a connection is in use: it does not time out as idle. */
  void markInUse(EngineConnection connection) {
    loop.deadlines().cancel(connection.idleTimeout());
    connection.setIdleTimeout(null);
  }

  /**
   * Takes a connection back once something on it has ended. If nothing else is open on it, it is
   * closed where its engine was removed, and otherwise after the idle timeout.
   */
  void release(EngineConnection connection) {
    if (connection.isClosed() || !connection.isUnused() || !connection.isConnected()) {
      return;
    }
    Engine engine = engines.get(connection.engine());
    if (engine == null || !engine.isListed()) {
      close(connection, false, "the engine was removed");
      return;
    }
    markInUse(connection);
    long idleTimeoutNanos = (long) (transport.keepaliveNanos() * IDLE_TIMEOUT_SHARE);
    connection.setIdleTimeout(
        loop.deadlines()
            .add(loop.now() + idleTimeoutNanos, () -> close(connection, false, "idle")));
  }

  // ---- Close ----

  /**
   * Closes a connection whose engine has sent what the protocol does not allow there: nothing that
   * follows on it can be trusted. All that is open on it ends now instead of at its timeout, which
   * costs the other attempts there where the engine is only odd.
   *
   * @param violation what the engine sent, for the log
   */
  void closeOnProtocolError(EngineConnection connection, String violation) {
    LOG.log(
        Level.WARNING,
        "engine {0} sent {1}; its connection is closed",
        connection.engine(),
        violation);
    close(connection, false, "it sent an invalid response");
  }

  /** Closes the connections on which a response has stopped half-way. */
  void closeStalledConnections() {
    long latestNanos = loop.now() - MAX_PARTIAL_RESPONSE_NANOS;
    connections.all().stream()
        .filter(connection -> connection.partialResponseSinceNanos() < latestNanos)
        .forEach(connection -> closeOnProtocolError(connection, "an answer that stopped"));
  }

  /**
   * Closes a connection, and has the listener end what is open on it.
   *
   * @param lost whether the transport has ended by itself; otherwise what was handed to it is still
   *     written, so that nothing of it is proved never to have run
   * @param reason for the log
   */
  private void close(EngineConnection connection, boolean lost, String reason) {
    if (connection.isClosed()) {
      return;
    }
    connection.markClosed();
    connections.remove(connection.handle());
    loop.deadlines().cancel(connection.connectTimeout());
    markInUse(connection);
    Engine engine = engines.get(connection.engine());
    if (engine != null) {
      engine.connections.remove(connection);
      forgetIfUnused(connection.engine(), engine);
    }
    if (connection.isConnected()) {
      closing.end(connection.session()); // cancels that were written go out first
    }
    if (connection.attemptCount() > 0) {
      LOG.log(
          Level.INFO,
          "engine {0}: a connection closes with {1} requests open: {2}",
          connection.engine(),
          connection.attemptCount(),
          reason);
    }
    listener.onClosed(connection, lost);
  }

  // ---- Events of the connector ----

  @Override
  public void onConnected(EngineConnection connection, IoSession session) {
    connection.connected(session, loop.now());
    listener.onConnected(connection);
    release(connection);
  }

  @Override
  public void onConnectFailed(EngineConnection connection, String reason) {
    close(connection, true, reason);
  }

  @Override
  public void onResponse(EngineConnection connection, EngineResponse response) {
    connection.responseReceived(loop.now());
    listener.onResponse(connection, response);
  }

  @Override
  public void onPartialResponse(EngineConnection connection) {
    connection.partialResponseReceived(loop.now());
  }

  @Override
  public void onUndecodableResponse(EngineConnection connection) {
    close(connection, false, "it sent what can't be decoded");
  }

  @Override
  public void onDisconnected(EngineConnection connection) {
    close(connection, true, "it was closed by the engine");
  }
}
