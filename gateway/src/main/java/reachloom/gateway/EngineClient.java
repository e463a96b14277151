package reachloom.gateway;

import java.util.List;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig.Transport;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.Sockets;

/**
 * The gateway's side towards its engines, as the gateway service uses it. It holds no state of its
 * own: {@link EngineConnectionPool} owns the connections, {@link AttemptDispatcher} the attempts on
 * them, and {@link HealthCheckClient} the health checks; what happens on a connection is passed on
 * to both. Confined to the event loop's thread.
 */
final class EngineClient {
  /**
   * What bounds the connections to engines, and what engines are asked for.
   *
   * @param transport timeouts and bounds of a connection
   * @param loadReports whether health checks ask for load reports
   * @param maxConnections the most connections to all engines together
   */
  record Options(Transport transport, boolean loadReports, int maxConnections) {}

  private final EngineConnectionPool pool;
  private final AttemptDispatcher dispatcher;
  private final HealthCheckClient healthChecks;

  /**
   * A client without engines.
   *
   * @param closing ends the connections that this side closes
   * @param listener is told what becomes of attempts and health checks
   */
  EngineClient(
      EventLoop loop,
      Sockets sockets,
      LingeringClose closing,
      EngineClientListener listener,
      Options options) {
    long timeoutNanos = options.transport().dialTimeoutNanos();
    pool = new EngineConnectionPool(loop, sockets, closing, options, new ConnectionEvents());
    dispatcher = new AttemptDispatcher(loop, pool, listener, timeoutNanos);
    healthChecks = new HealthCheckClient(loop, pool, listener, timeoutNanos, options.loadReports());
    loop.atTurnEnd(dispatcher::dispatch);
  }

  /**
   * Takes over a change of the endpoint list.
   *
   * @param complete whether engines that are not named here have been removed
   */
  void update(boolean complete, List<EngineMember> members) {
    pool.update(complete, members);
  }

  /** Brings an attempt to its engine; what becomes of it is told later, never in this call. */
  void send(EngineAttempt attempt) {
    dispatcher.send(attempt);
  }

  /** Withdraws an attempt that has not ended; the engine is told to cancel it. */
  void withdraw(EngineAttempt attempt) {
    dispatcher.withdraw(attempt);
  }

  /** Changes the priority of an attempt that its engine is working on. */
  void setPriority(EngineAttempt attempt, int priority) {
    dispatcher.setPriority(attempt, priority);
  }

  /** Checks the health of an engine; the answer is told later, never in this call. */
  void checkHealth(String engine) {
    healthChecks.check(engine);
  }

  /** Closes the connections on which a response has stopped half-way. */
  void closeStalledConnections() {
    pool.closeStalledConnections();
  }

  /** How many engines are remembered. */
  int engineCount() {
    return pool.engineCount();
  }

  /** How many connections there are. */
  int connectionCount() {
    return pool.connectionCount();
  }

  /** How many attempts wait to be written to their connections. */
  int unsentAttempts() {
    return pool.unsentAttempts();
  }

  private final class ConnectionEvents implements EngineConnectionListener {
    @Override
    public void onConnected(EngineConnection connection) {
      dispatcher.onConnected(connection);
      healthChecks.onConnected(connection);
    }

    @Override
    public void onEndpointChanged(EngineConnection connection, boolean acceptsAttempts) {
      dispatcher.onEndpointChanged(connection, acceptsAttempts);
    }

    @Override
    public void onResponse(EngineConnection connection, EngineResponse response) {
      if (!healthChecks.onResponse(connection, response)) {
        dispatcher.onResponse(connection, response);
      }
    }

    @Override
    public void onClosed(EngineConnection connection, boolean lost) {
      dispatcher.onClosed(connection, lost);
      healthChecks.onClosed(connection);
    }
  }
}
