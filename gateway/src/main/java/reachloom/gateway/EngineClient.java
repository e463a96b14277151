package reachloom.gateway;

import java.util.List;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig.Transport;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.Sockets;

/**
 * The client of the engines, used by the gateway service. It holds no state itself: {@link
 * EngineConnectionPool} owns the connections, {@link AttemptDispatcher} the attempts on them, and
 * {@link HealthCheckClient} the health checks; events of a connection are passed on to both.
 * Confined to the event loop's thread.
 */
final class EngineClient {
  /**
   * The limits of the connections to engines, and what health checks request.
   *
   * @param transport timeouts and limits of a connection
   * @param loadReports whether health checks request load reports
   * @param maxConnections the most connections to all engines together
   */
  record Options(Transport transport, boolean loadReports, int maxConnections) {}

  private final EngineConnectionPool pool;
  private final AttemptDispatcher dispatcher;
  private final HealthCheckClient healthChecks;

  /**
   * Creates a client without engines.
   *
   * @param closing closes connections gracefully
   * @param listener receives the events of attempts and health checks
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
    loop.setIterationEndAction(dispatcher::dispatch);
  }

  /**
   * Applies a change of the endpoint list.
   *
   * @param complete whether engines that are not among {@code members} have been removed
   */
  void update(boolean complete, List<EngineMember> members) {
    pool.update(complete, members);
  }

  /** Sends an attempt to its engine; its events are reported after this call returns. */
  void send(EngineAttempt attempt) {
    dispatcher.send(attempt);
  }

  /** Sends an attempt that has waited for the input of its client; ignores any other. */
  void onClientInputRead(EngineAttempt attempt) {
    dispatcher.onClientInputRead(attempt);
  }

  /**
   * Withdraws an attempt that has not ended; if its request was written, at least in part, sends a
   * cancel command, or a release command while the result is being received.
   */
  void withdraw(EngineAttempt attempt) {
    dispatcher.withdraw(attempt);
  }

  /**
   * Changes the priority of an attempt whose request has been written, at least in part, and that
   * has no result yet; does nothing for others.
   */
  void setPriority(EngineAttempt attempt, int priority) {
    dispatcher.setPriority(attempt, priority);
  }

  /** Checks the health of an engine; the listener receives the result after this call returns. */
  void checkHealth(String engine) {
    healthChecks.check(engine);
  }

  /** Closes the connections on which a response has been incomplete for too long. */
  void closeStalledConnections() {
    pool.closeStalledConnections();
  }

  /** Returns the number of engines: the listed ones, and removed ones with open connections. */
  int engineCount() {
    return pool.engineCount();
  }

  /** Returns the number of connections. */
  int connectionCount() {
    return pool.connectionCount();
  }

  /** Returns the number of attempts that wait to be written to their connections. */
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
