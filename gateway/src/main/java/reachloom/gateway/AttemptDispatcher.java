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
 * Brings attempts to their engines: assigns each to a connection, writes it at the end of the event
 * loop's turn, and follows it until it has ended or is withdrawn.
 *
 * <p>Confined to the event loop's thread. It owns the attempts of each connection; the results that
 * come in are collected by {@link ResultCollector}.
 */
final class AttemptDispatcher {
  private static final Logger LOG = System.getLogger(EngineClient.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /**
   * Bytes that a connection has not taken yet: past that, attempts wait here, where they can still
   * be cancelled before they are sent.
   */
  private static final int MAX_UNWRITTEN_BYTES = 8 * 1024;

  /**
   * A request that was withdrawn while it was being written, and is not completely written by then,
   * is kept from the engine by closing the connection.
   */
  private static final long STUCK_WRITE_TIMEOUT_NANOS = 50 * MILLISECOND;

  private final EventLoop loop;
  private final EngineConnectionPool pool;
  private final EngineClientListener listener;
  private final long unresponsiveAfterNanos;
  private final ResultCollector results;

  /** Connections that have attempts to write, or whose attempts have to be judged again. */
  private final Set<EngineConnection> toDispatch = new LinkedHashSet<>();

  /**
   * A dispatcher without attempts.
   *
   * @param unresponsiveAfterNanos a connection on which an attempt has heard nothing for so long is
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

  /** Brings an attempt to its engine; what becomes of it is told later, never in this call. */
  void send(EngineAttempt attempt) {
    Optional<EngineConnection> acquired = pool.acquire(attempt.engine, attempt.request.attempts);
    if (acquired.isEmpty()) {
      loop.later(() -> end(attempt, AttemptOutcome.UNREACHED));
      return;
    }
    EngineConnection connection = acquired.get();
    attempt.connection = connection;
    connection.addAttempt(attempt);
    toDispatch.add(connection);
    pool.markInUse(connection);
  }

  /**
   * Writes the attempts that wait, at the end of a turn of the event loop, when all that has come
   * is known. Each is judged again just before its first byte is written: it may have waited for
   * its connection to be established, or for one that takes nothing.
   */
  void dispatch() {
    List<EngineConnection> connections = List.copyOf(toDispatch);
    toDispatch.clear();
    boolean rejected = false;
    for (EngineConnection connection : connections) {
      rejected |= dispatch(connection);
    }
    if (rejected) {
      loop.later(this::dispatch); // what the scheduler forwards instead
    }
  }

  /** Writes what a connection takes; true where an attempt may not start any more. */
  private boolean dispatch(EngineConnection connection) {
    boolean rejected = false;
    for (EngineAttempt attempt : connection.unsentAttempts()) {
      if (!listener.mayStart(attempt)) {
        connection.removeUnsent(attempt);
        loop.later(() -> end(attempt, AttemptOutcome.NOT_SENT));
        rejected = true;
      } else if (takesMore(connection)) {
        connection.removeUnsent(attempt);
        write(attempt);
      }
    }
    if (connection.isConnected() && connection.unsentCount() > 0) {
      connection.lastWrite().addListener(written -> loop.post(0, () -> toDispatch.add(connection)));
    }
    return rejected;
  }

  private static boolean takesMore(EngineConnection connection) {
    return connection.isConnected()
        && connection.session().getScheduledWriteBytes() <= MAX_UNWRITTEN_BYTES;
  }

  private void write(EngineAttempt attempt) {
    long budgetMs = Math.max(1, (attempt.deadlineNanos - loop.now()) / MILLISECOND);
    Bytes statement =
        new Bytes(attempt.request.frame, attempt.request.from, attempt.request.length);
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
   * Withdraws an attempt that has not ended: the engine is told to cancel it, and what it still
   * sends for it is ignored. Does nothing where the attempt has ended here.
   */
  void withdraw(EngineAttempt attempt) {
    results.discard(attempt);
    EngineConnection connection = attempt.connection;
    if (connection == null || !connection.removeAttempt(attempt)) {
      return;
    }
    closeIfWriteIsStuck(attempt);
    if (attempt.isConnected()) {
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

  /** Whether the engine was silent for long: a request withdrawn at once proves nothing. */
  private boolean wasUnanswered(EngineAttempt attempt, EngineConnection connection) {
    return connection.lastReceivedNanos() < attempt.sentAtNanos
        && loop.now() - attempt.sentAtNanos > unresponsiveAfterNanos;
  }

  /**
   * Where an attempt that may not start any more is partly written, and its connection does not
   * take the rest in time, the connection is closed.
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
          Level.INFO, "engine {0} takes nothing; its connection is closed", connection.engine());
      connection.markUnresponsive();
      // How far each attempt came is judged once nothing more can leave.
      connection.session().closeNow();
    }
  }

  /** Changes the priority of an attempt that the engine is working on. */
  void setPriority(EngineAttempt attempt, int priority) {
    boolean isRunning =
        attempt.progress() == AttemptProgress.SENT
            || attempt.progress() == AttemptProgress.PARTLY_WRITTEN;
    if (attempt.connection != null && !attempt.ended && isRunning) {
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

  /** A connection has been established. */
  void onConnected(EngineConnection connection) {
    toDispatch.add(connection);
  }

  /** The endpoint list has changed: what waits may not be allowed any more. */
  void onEndpointChanged(EngineConnection connection, boolean acceptsAttempts) {
    toDispatch.add(connection);
    if (!acceptsAttempts) {
      connection.openAttempts().forEach(this::closeIfWriteIsStuck);
    }
  }

  /** A connection is closed: each attempt on it ends by how far it had come. */
  void onClosed(EngineConnection connection, boolean lost) {
    toDispatch.remove(connection);
    for (EngineAttempt attempt : connection.removeAttempts()) {
      AttemptOutcome outcome = outcomeOfClose(attempt, connection, lost);
      loop.later(() -> listener.onAttemptEnded(attempt, outcome));
    }
  }

  private static AttemptOutcome outcomeOfClose(
      EngineAttempt attempt, EngineConnection connection, boolean lost) {
    AttemptProgress progress = attempt.progress();
    if (progress == AttemptProgress.PARTLY_WRITTEN && !lost) {
      return AttemptOutcome.RESET; // the rest is still written, and it may run
    }
    if (progress == AttemptProgress.NOT_CONNECTED && connection.connectFailedLocally()) {
      return AttemptOutcome.NOT_SENT; // no evidence against the engine
    }
    return progress.outcomeIfConnectionLost;
  }

  /** Takes a response of an engine; one that belongs to no open attempt is ignored. */
  void onResponse(EngineConnection connection, EngineResponse response) {
    connection.attempt(response.id()).ifPresent(attempt -> onResponse(attempt, response));
  }

  private void onResponse(EngineAttempt attempt, EngineResponse response) {
    attempt.answered();
    response.loadReport().ifPresent(report -> attempt.loadReport = report);
    switch (response.status()) {
      case RESULT -> results.onFirstPage(attempt, response);
      case PAGE -> results.onFurtherPage(attempt, response);
      case BUSY -> end(attempt, AttemptOutcome.FULL);
      case ERROR -> end(attempt, AttemptOutcome.ERROR);
      // Over before it came: it never ran, and no engine is at fault.
      case NOT_RUN -> end(attempt, AttemptOutcome.NOT_SENT);
      case PROGRESS ->
          listener.onProgress(attempt, response.progressKind(), response.progressAmount());
      case UP, DOWN, UNKNOWN ->
          pool.closeOnProtocolError(
              attempt.connection, response.status().wireName() + " to a request");
    }
  }
}
