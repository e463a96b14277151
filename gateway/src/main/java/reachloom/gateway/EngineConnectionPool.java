package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
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
 * The connections to engines, by engine name. The pool updates them with the endpoint list, assigns
 * them to attempts and health checks, and closes connections that are idle or broken, or on which a
 * response stays incomplete for too long.
 *
 * <p>A connection belongs to one incarnation of an engine: after a restart, an engine gets new
 * connections. The number of connections is limited per engine and in total. Confined to the event
 * loop's thread.
 */
final class EngineConnectionPool implements EngineConnector.Events {
  private static final Logger LOG = System.getLogger(EngineClient.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_CONNECTIONS_PER_ENGINE = 8;

  /**
   * Idle connections are closed after this share of the engine's own idle timeout, so that no
   * request is sent while the engine closes the connection.
   */
  private static final double IDLE_TIMEOUT_SHARE = 0.8;

  /**
   * A response that is still incomplete this long after its first bytes counts as broken: engines
   * may pause, but hardly within a response.
   */
  private static final long MAX_PARTIAL_RESPONSE_NANOS = 1_000 * NANOS_PER_MILLI;

  /** An engine of the endpoint list, current or removed, and the connections to it. */
  private static final class Engine {
    private final List<EngineConnection> connections = new ArrayList<>();

    /** Null once the endpoint list has removed the engine. */
    private EngineMember member;

    /** Whether an engine that was listed later has its address: its process has gone. */
    private boolean superseded;

    boolean isListed() {
      return member != null;
    }

    boolean isAt(InetSocketAddress address) {
      return isListed() && member.address().equals(address);
    }

    boolean acceptsAttempts() {
      return isListed() && !superseded && member.endpoint().state() == EngineState.UP;
    }
  }

  private final EventLoop loop;
  private final LingeringClose closing;
  private final Transport transport;
  private final EngineConnectionListener listener;
  private final GenerationalSlots<EngineConnection> connections;
  private final EngineConnector connector;
  private final EngineConnectionSelector selector;
  private final Map<String, Engine> engines = new LinkedHashMap<>();

  /** The engine that was listed last at each address. */
  private final Map<InetSocketAddress, Engine> byAddress = new HashMap<>();

  /** Creates a pool without engines; the options limit its connections. */
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
    this.selector = new EngineConnectionSelector(transport.maxStreamsPerConnection());
  }

  // ---- The endpoint list ----

  /**
   * Applies a change of the endpoint list.
   *
   * @param complete whether engines that are not among {@code members} have been removed
   */
  void update(boolean complete, List<EngineMember> members) {
    if (complete) {
      removeUnlisted(members);
    }
    for (EngineMember member : members) {
      Engine engine = engines.computeIfAbsent(member.endpoint().name(), name -> new Engine());
      engine.member = member.endpoint().state() == EngineState.REMOVED ? null : member;
      closeConnectionsBefore(engine, member.endpoint().incarnation());
      if (engine.isListed() && member.endpoint().state() == EngineState.UP) {
        supersedeOther(engine);
      }
    }
    // Only the engines of the change, not all of thousands, have to be visited.
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

  /**
   * Stops the use of another engine at the address of an engine that is up: whoever connects there
   * reaches this one, though the list has not removed the other yet.
   */
  private void supersedeOther(Engine newest) {
    newest.superseded = false;
    Engine other = byAddress.put(newest.member.address(), newest);
    if (other != null && other != newest && other.isAt(newest.member.address())) {
      other.superseded = true;
      List.copyOf(other.connections)
          .forEach(connection -> close(connection, false, "another engine has its address"));
    }
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
      removeIfUnused(name, engine);
    }
  }

  private void removeIfUnused(String name, Engine engine) {
    if (!engine.isListed() && engine.connections.isEmpty()) {
      engines.remove(name);
      byAddress.values().remove(engine);
    }
  }

  /** Returns the number of engines: the listed ones, and removed ones with open connections. */
  int engineCount() {
    return engines.size();
  }

  /** Returns the number of connections. */
  int connectionCount() {
    return connections.size();
  }

  /** Returns the number of attempts that wait to be written to their connections. */
  int unsentAttempts() {
    return connections.all().stream().mapToInt(EngineConnection::unsentCount).sum();
  }

  // ---- Use ----

  /**
   * Returns a connection for an attempt to its engine, established or being established, which no
   * earlier attempt for the same request has used.
   *
   * @return empty if the engine is not listed, or no further connection is allowed
   */
  Optional<EngineConnection> acquire(EngineAttempt attempt) {
    return acquire(
        attempt.engine,
        new EngineConnectionSelector.Use(attempt.request.id, attempt.request.attempts));
  }

  /** Returns a connection for a health check of an engine, as {@link #acquire(EngineAttempt)}. */
  Optional<EngineConnection> acquire(String engine) {
    return acquire(engine, EngineConnectionSelector.Use.HEALTH_CHECK);
  }

  private Optional<EngineConnection> acquire(String name, EngineConnectionSelector.Use use) {
    Engine engine = engines.get(name);
    if (engine == null || !engine.isListed() || engine.superseded) {
      return Optional.empty();
    }
    Optional<EngineConnection> best = selector.select(engine.connections, use);
    if (best.isPresent() && !EngineConnectionSelector.isAvoided(best.get(), use)) {
      return best;
    }
    Optional<EngineConnection> opened = open(engine);
    return opened.isPresent() ? opened : best;
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

  /** Writes a command; does nothing if the connection is not established or is closed. */
  void write(EngineConnection connection, ByteBuffer command) {
    if (connection.isConnected() && !connection.isClosed()) {
      connection.setLastWrite(Sockets.write(connection.session(), command));
    }
  }

  /** Cancels the idle timeout of a connection, if it is set. */
  void cancelIdleTimeout(EngineConnection connection) {
    loop.deadlines().cancel(connection.idleTimeout());
    connection.setIdleTimeout(null);
  }

  /**
   * Returns a connection to the pool after an attempt or health check on it has ended. If it is
   * unused now, it is closed: at once if its engine was removed, otherwise after the idle timeout.
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
    cancelIdleTimeout(connection);
    long idleTimeoutNanos = (long) (transport.keepaliveNanos() * IDLE_TIMEOUT_SHARE);
    connection.setIdleTimeout(
        loop.deadlines()
            .add(loop.now() + idleTimeoutNanos, () -> close(connection, false, "idle")));
  }

  // ---- Close ----

  /**
   * Closes a connection on which the engine violated the protocol: no later response on it can be
   * trusted. All attempts open on it end now instead of at their timeouts, even if the violation
   * concerned only one of them.
   *
   * @param violation what the engine sent, for the log
   */
  void closeOnProtocolError(EngineConnection connection, String violation) {
    LOG.log(
        Level.WARNING,
        "engine {0} sent {1}; its connection is closed",
        connection.engine(),
        violation);
    close(connection, false, "the engine sent " + violation);
  }

  /** Closes the connections on which a response has been incomplete for too long. */
  void closeStalledConnections() {
    long latestNanos = loop.now() - MAX_PARTIAL_RESPONSE_NANOS;
    String violation =
        "a response that is incomplete after "
            + MAX_PARTIAL_RESPONSE_NANOS / NANOS_PER_MILLI
            + " ms";
    connections.all().stream()
        .filter(connection -> connection.partialResponseSinceNanos() < latestNanos)
        .forEach(connection -> closeOnProtocolError(connection, violation));
  }

  /**
   * Closes a connection, and has the listener end the attempts and health checks open on it.
   *
   * @param lost whether the transport was lost; otherwise pending writes are still sent: a partly
   *     written attempt may still run
   * @param reason for the log
   */
  private void close(EngineConnection connection, boolean lost, String reason) {
    if (connection.isClosed()) {
      return;
    }
    connection.markClosed();
    connections.remove(connection.handle());
    loop.deadlines().cancel(connection.connectTimeout());
    cancelIdleTimeout(connection);
    Engine engine = engines.get(connection.engine());
    if (engine != null) {
      engine.connections.remove(connection);
      removeIfUnused(connection.engine(), engine);
    }
    if (connection.isConnected()) {
      closing.close(connection.session()); // sends pending cancel commands first
    }
    if (connection.attemptCount() > 0) {
      LOG.log(
          Level.INFO,
          "engine {0}: connection closed with {1} open attempts: {2}",
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
    close(connection, false, "the engine sent undecodable data");
  }

  @Override
  public void onDisconnected(EngineConnection connection) {
    close(connection, true, "the connection was lost");
  }
}
