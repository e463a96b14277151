package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import reachloom.gateway.state.AttemptProgress;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.wire.Bytes;
import reachloom.gateway.wire.EngineCommandWriter;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * Sends attempts to their engines: assigns each to a connection, writes it at the end of the event
 * loop's iteration, and tracks it until it has ended or is withdrawn.
 *
 * <p>Confined to the event loop's thread. It owns the attempts of each connection; {@link
 * ResultCollector} collects their results.
 */
final class AttemptDispatcher {
  private static final Logger LOG = System.getLogger(EngineClient.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Unsent bytes of a connection beyond which further attempts wait here, where they can still be
   * cancelled before they are sent.
   */
  private static final int MAX_UNWRITTEN_BYTES = 8 * 1024;

  /**
   * If a partly written request may not start any more, and is not completely written after this
   * time, the connection is closed, so that the engine does not receive it.
   */
  private static final long STUCK_WRITE_TIMEOUT_NANOS = 50 * NANOS_PER_MILLI;

  private final EventLoop loop;
  private final EngineConnectionPool pool;
  private final EngineClientListener listener;
  private final long unresponsiveAfterNanos;
  private final ResultCollector results;

  /** Connections with attempts to write, or whose attempts may no longer be allowed to start. */
  private final Set<EngineConnection> toDispatch = new LinkedHashSet<>();

  /**
   * Creates a dispatcher without attempts.
   *
   * @param unresponsiveAfterNanos how long after an attempt was forwarded nothing may have been
   *     received on its connection; if the attempt is withdrawn later than that, the connection is
   *     avoided
   */
  AttemptDispatcher(
      EventLoop loop,
      EngineConnectionPool pool,
      EngineClientListener listener,
      long unresponsiveAfterNanos) {
    this.loop = loop;
    this.pool = pool;
    this.listener = listener;
    this.unresponsiveAfterNanos = unresponsiveAfterNanos;
    this.results = new ResultCollector(pool, this::end);
  }

  // ---- Sending ----

  /** Sends an attempt to its engine; its events are reported after this call returns. */
  void send(EngineAttempt attempt) {
    Optional<EngineConnection> acquired = pool.acquire(attempt);
    if (acquired.isEmpty()) {
      loop.defer(() -> end(attempt, AttemptOutcome.UNREACHED));
      return;
    }
    EngineConnection connection = acquired.get();
    attempt.connection = connection;
    connection.addAttempt(attempt);
    toDispatch.add(connection);
    pool.cancelIdleTimeout(connection);
  }

  /**
   * Writes the waiting attempts, at the end of an event loop iteration, when all received events
   * are handled. Whether each may still start is decided immediately before its first byte is
   * written: it may have waited for its connection to be established, or for a blocked one.
   */
  void dispatch() {
    List<EngineConnection> connections = List.copyOf(toDispatch);
    toDispatch.clear();
    boolean rejected = false;
    for (EngineConnection connection : connections) {
      rejected |= dispatch(connection);
    }
    if (rejected) {
      loop.defer(this::dispatch); // writes what the scheduler forwards instead
    }
  }

  /**
   * Writes as many attempts as a connection accepts; returns true if an attempt may not start any
   * more.
   */
  private boolean dispatch(EngineConnection connection) {
    boolean rejected = false;
    boolean blocked = false;
    for (EngineAttempt attempt : connection.unsentAttempts()) {
      if (listener.awaitsClientInput(attempt)) {
        continue;
      }
      if (!listener.mayStart(attempt)) {
        connection.removeUnsent(attempt);
        loop.defer(() -> end(attempt, AttemptOutcome.NOT_SENT));
        rejected = true;
      } else if (acceptsWrites(connection)) {
        connection.removeUnsent(attempt);
        write(attempt);
      } else {
        blocked = true;
      }
    }
    if (blocked && connection.isConnected()) {
      connection.lastWrite().addListener(written -> loop.post(0, () -> toDispatch.add(connection)));
    }
    return rejected;
  }

  /** Schedules an attempt that has waited for the input of its client; ignores any other. */
  void onClientInputRead(EngineAttempt attempt) {
    if (!attempt.ended && attempt.connection != null && !attempt.isWriteStarted()) {
      toDispatch.add(attempt.connection);
    }
  }

  private static boolean acceptsWrites(EngineConnection connection) {
    return connection.isConnected()
        && connection.session().getScheduledWriteBytes() <= MAX_UNWRITTEN_BYTES;
  }

  private void write(EngineAttempt attempt) {
    long budgetMs = Math.max(1, (attempt.deadlineNanos - loop.now()) / NANOS_PER_MILLI);
    Bytes statement =
        new Bytes(
            attempt.request.frame,
            attempt.request.statementOffset,
            attempt.request.statementLength);
    attempt.writeStarted();
    attempt.connection.setLastWrite(
        Sockets.write(
            attempt.connection.session(),
            EngineCommandWriter.run(
                attempt.request.id,
                attempt.request.queryClass,
                budgetMs,
                attempt.request.key,
                attempt.request.priority,
                statement)));
    attempt.setRequestWrite(attempt.connection.lastWrite());
  }

  // ---- Withdrawing ----

  /**
   * Withdraws an attempt that has not ended: if its request was written, at least in part, sends a
   * cancel command, or a release command while the result is being received; further responses to
   * it are ignored. For an attempt that has ended, only discards its buffered pages.
   */
  void withdraw(EngineAttempt attempt) {
    results.discard(attempt);
    EngineConnection connection = attempt.connection;
    if (connection == null || !connection.removeAttempt(attempt)) {
      return;
    }
    closeIfWriteIsStuck(attempt);
    if (attempt.isWriteStarted()) {
      connection.attemptWithdrawn(attempt.request.id);
      if (wasUnanswered(attempt, connection)) {
        connection.markUnresponsive();
      }
      pool.write(
          connection,
          attempt.progress() == AttemptProgress.RECEIVING_RESULT
              ? EngineCommandWriter.releaseResult(attempt.request.id)
              : EngineCommandWriter.cancel(attempt.request.id));
    }
    pool.release(connection);
  }

  /**
   * Returns whether nothing was received on a connection for long after an attempt was forwarded;
   * an attempt withdrawn earlier than that is no evidence.
   */
  private boolean wasUnanswered(EngineAttempt attempt, EngineConnection connection) {
    return connection.lastReceivedNanos() < attempt.forwardedAtNanos
        && loop.now() - attempt.forwardedAtNanos > unresponsiveAfterNanos;
  }

  /**
   * Closes the connection of an attempt that may not start any more, if the attempt is partly
   * written and its rest is not written in time.
   */
  private void closeIfWriteIsStuck(EngineAttempt attempt) {
    if (attempt.progress() == AttemptProgress.PARTLY_WRITTEN) {
      loop.deadlines().add(loop.now() + STUCK_WRITE_TIMEOUT_NANOS, () -> closeIfUnwritten(attempt));
    }
  }

  private static void closeIfUnwritten(EngineAttempt attempt) {
    EngineConnection connection = attempt.connection;
    if (!connection.isClosed() && !attempt.isRequestWritten()) {
      LOG.log(
          Level.INFO,
          "engine {0}: a request that may not start any more is still partly written after {1} ms;"
              + " its connection is closed",
          connection.engine(),
          Long.toString(STUCK_WRITE_TIMEOUT_NANOS / NANOS_PER_MILLI));
      connection.markUnresponsive();
      // The progress of each attempt is evaluated once nothing more can be sent.
      connection.session().closeNow();
    }
  }

  /**
   * Changes the priority of an attempt whose request has been written, at least in part, and that
   * has no result yet; does nothing for others.
   */
  void setPriority(EngineAttempt attempt, int priority) {
    boolean awaitsResult =
        attempt.progress() == AttemptProgress.SENT
            || attempt.progress() == AttemptProgress.PARTLY_WRITTEN;
    if (attempt.connection != null && !attempt.ended && awaitsResult) {
      pool.write(attempt.connection, EngineCommandWriter.setPriority(attempt.request.id, priority));
    }
  }

  private void end(EngineAttempt attempt, AttemptOutcome outcome) {
    if (attempt.connection != null) {
      attempt.connection.removeAttempt(attempt);
      pool.release(attempt.connection);
    }
    listener.onAttemptEnded(attempt, outcome);
  }

  // ---- Events of connections ----

  /** Schedules the attempts that waited for a connection which is now established. */
  void onConnected(EngineConnection connection) {
    toDispatch.add(connection);
  }

  /**
   * Handles a change of the endpoint list, after which waiting attempts may not be allowed any
   * more.
   */
  void onEndpointChanged(EngineConnection connection, boolean acceptsAttempts) {
    toDispatch.add(connection);
    if (!acceptsAttempts) {
      connection.openAttempts().forEach(this::closeIfWriteIsStuck);
    }
  }

  /** Ends the attempts of a closed connection, each with an outcome by its progress. */
  void onClosed(EngineConnection connection, boolean lost) {
    toDispatch.remove(connection);
    for (EngineAttempt attempt : connection.removeAttempts()) {
      AttemptOutcome outcome = outcomeOfClose(attempt, connection, lost);
      loop.defer(() -> listener.onAttemptEnded(attempt, outcome));
    }
  }

  private static AttemptOutcome outcomeOfClose(
      EngineAttempt attempt, EngineConnection connection, boolean lost) {
    AttemptProgress progress = attempt.progress();
    if (progress == AttemptProgress.PARTLY_WRITTEN && !lost) {
      return AttemptOutcome.RESET; // the rest is still written, and the attempt may run
    }
    if (progress == AttemptProgress.NOT_WRITTEN && connection.connectFailedLocally()) {
      return AttemptOutcome.NOT_SENT; // no evidence against the engine
    }
    return progress.outcomeIfConnectionLost;
  }

  /** Handles a response of an engine; ignores one that belongs to no open attempt. */
  void onResponse(EngineConnection connection, EngineResponse response) {
    connection.attempt(response.id()).ifPresent(attempt -> onResponse(attempt, response));
  }

  private void onResponse(EngineAttempt attempt, EngineResponse response) {
    attempt.responseReceived();
    response.loadReport().ifPresent(report -> attempt.loadReport = report);
    switch (response.status()) {
      case RESULT -> results.onFirstPage(attempt, response);
      case PAGE -> results.onFurtherPage(attempt, response);
      case BUSY -> end(attempt, AttemptOutcome.FULL);
      case ERROR -> end(attempt, AttemptOutcome.ERROR);
      // The request had ended before it arrived: it never ran, and the engine is not at fault.
      case NOT_RUN -> end(attempt, AttemptOutcome.NOT_SENT);
      case PROGRESS ->
          listener.onProgress(attempt, response.progressKind(), response.progressAmount());
      case UP, DOWN, UNKNOWN ->
          pool.closeOnProtocolError(
              attempt.connection, response.status().wireName() + " in response to a request");
    }
  }
}
