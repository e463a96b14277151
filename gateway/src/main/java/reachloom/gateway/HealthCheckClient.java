package reachloom.gateway;

import java.util.Optional;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.wire.EngineCommandWriter;
import reachloom.gateway.wire.EngineResponse;
import reachloom.scheduler.api.LoadReport;

/**
 * Checks the health of engines on the scheduler's request: sends one command, to which an engine
 * responds with whether it is up and, if engines report their load, with a load report. An engine
 * that can't be reached or does not respond in time counts as not responding.
 *
 * <p>Confined to the event loop's thread. It owns the health checks of each connection.
 */
final class HealthCheckClient {
  /** Distinguishes the ids of health checks from those of requests, which are hexadecimal. */
  private static final String TAG_PREFIX = "p";

  private final EventLoop loop;
  private final EngineConnectionPool pool;
  private final EngineClientListener listener;
  private final long timeoutNanos;
  private final boolean requestsLoadReport;
  private long checkCount;

  /** Creates a client; {@code requestsLoadReport} if engines send load reports. */
  HealthCheckClient(
      EventLoop loop,
      EngineConnectionPool pool,
      EngineClientListener listener,
      long timeoutNanos,
      boolean requestsLoadReport) {
    this.loop = loop;
    this.pool = pool;
    this.listener = listener;
    this.timeoutNanos = timeoutNanos;
    this.requestsLoadReport = requestsLoadReport;
  }

  /** Checks the health of an engine; the listener receives the result after this call returns. */
  void check(String engine) {
    Optional<EngineConnection> acquired = pool.acquire(engine);
    if (acquired.isEmpty()) {
      loop.defer(() -> listener.onHealthCheck(engine, false, Optional.empty()));
      return;
    }
    EngineConnection connection = acquired.get();
    String tag = TAG_PREFIX + checkCount++;
    Deadline deadline =
        loop.deadlines()
            .add(loop.now() + timeoutNanos, () -> end(connection, tag, false, Optional.empty()));
    connection.addHealthCheck(tag, deadline);
    pool.cancelIdleTimeout(connection);
    write(connection, tag);
  }

  private void write(EngineConnection connection, String tag) {
    pool.write(connection, EngineCommandWriter.checkHealth(tag, requestsLoadReport));
  }

  /** Writes the health checks that waited for a connection which is now established. */
  void onConnected(EngineConnection connection) {
    connection.healthCheckTags().forEach(tag -> write(connection, tag));
  }

  /** Handles a response of an engine; returns false if it does not belong to a health check. */
  boolean onResponse(EngineConnection connection, EngineResponse response) {
    if (!connection.hasHealthCheck(response.id())) {
      return false;
    }
    switch (response.status()) {
      case UP -> end(connection, response.id(), true, response.loadReport());
      case DOWN -> end(connection, response.id(), false, response.loadReport());
      default ->
          pool.closeOnProtocolError(
              connection, response.status().wireName() + " in response to a health check");
    }
    return true;
  }

  private void end(
      EngineConnection connection, String tag, boolean up, Optional<LoadReport> report) {
    Optional<Deadline> deadline = connection.removeHealthCheck(tag);
    if (deadline.isPresent()) {
      loop.deadlines().cancel(deadline.get());
      pool.release(connection);
      listener.onHealthCheck(connection.engine(), up, report);
    }
  }

  /** Reports the open health checks of a closed connection as failed. */
  void onClosed(EngineConnection connection) {
    for (String tag : connection.healthCheckTags()) {
      connection.removeHealthCheck(tag).ifPresent(loop.deadlines()::cancel);
      loop.defer(() -> listener.onHealthCheck(connection.engine(), false, Optional.empty()));
    }
  }
}
