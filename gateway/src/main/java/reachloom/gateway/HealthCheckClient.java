package reachloom.gateway;

import java.util.List;
import java.util.Optional;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.wire.EngineCommandWriter;
import reachloom.gateway.wire.EngineResponse;
import reachloom.scheduler.api.LoadReport;

/**
 * Checks the health of engines when the scheduler asks for it: one command, which an engine answers
 * with whether it is up and, where engines report their load, with a load report. An engine that
 * can't be reached or does not answer in time counts as one that has not answered.
 *
 * <p>Confined to the event loop's thread. It owns the health checks of each connection.
 */
final class HealthCheckClient {
  /** Sets the ids of health checks apart from those of requests, which are hexadecimal. */
  private static final String TAG_PREFIX = "p";

  private final EventLoop loop;
  private final EngineConnectionPool pool;
  private final EngineClientListener listener;
  private final long timeoutNanos;
  private final boolean requestsLoadReport;
  private long checkCount;

  /** A client that asks for load reports where engines give them. */
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

  /** Checks the health of an engine; the answer is told later, never in this call. */
  void check(String engine) {
    Optional<EngineConnection> acquired = pool.acquire(engine, List.of());
    if (acquired.isEmpty()) {
      loop.later(() -> listener.onHealthCheck(engine, false, Optional.empty()));
      return;
    }
    EngineConnection connection = acquired.get();
    String tag = TAG_PREFIX + checkCount++;
    Deadline deadline =
        loop.deadlines()
            .add(loop.now() + timeoutNanos, () -> end(connection, tag, false, Optional.empty()));
    connection.addHealthCheck(tag, deadline);
    pool.markInUse(connection);
    write(connection, tag);
  }

  private void write(EngineConnection connection, String tag) {
    pool.write(connection, EngineCommandWriter.checkHealth(tag, requestsLoadReport));
  }

  /** A connection has been established: the checks that waited for it are written. */
  void onConnected(EngineConnection connection) {
    connection.healthCheckTags().forEach(tag -> write(connection, tag));
  }

  /** Takes a response of an engine; false where it does not belong to a health check. */
  boolean onResponse(EngineConnection connection, EngineResponse response) {
    if (!connection.hasHealthCheck(response.id())) {
      return false;
    }
    switch (response.status()) {
      case UP -> end(connection, response.id(), true, response.loadReport());
      case DOWN -> end(connection, response.id(), false, response.loadReport());
      default ->
          pool.closeOnProtocolError(
              connection, response.status().wireName() + " to a health check");
    }
    return true;
  }

  private void end(
      EngineConnection connection, String tag, boolean answered, Optional<LoadReport> report) {
    Optional<Deadline> deadline = connection.removeHealthCheck(tag);
    if (deadline.isPresent()) {
      loop.deadlines().cancel(deadline.get());
      pool.release(connection);
      listener.onHealthCheck(connection.engine(), answered, report);
    }
  }

  /** A connection is closed: the checks on it have not been answered. */
  void onClosed(EngineConnection connection) {
    for (String tag : connection.healthCheckTags()) {
      connection.removeHealthCheck(tag).ifPresent(loop.deadlines()::cancel);
      loop.later(() -> listener.onHealthCheck(connection.engine(), false, Optional.empty()));
    }
  }
}
