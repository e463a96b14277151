package reachloom.gateway.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import reachloom.gateway.state.DeadlineQueue.Deadline;

/**
 * One connection to the process of an engine, with its open attempts and health checks. It belongs
 * to one incarnation of the engine throughout.
 *
 * <p>Confined to the event loop's thread. The connection pool owns the state of the transport, the
 * attempt dispatcher owns the attempts, and the health check client owns the health checks.
 */
public final class EngineConnection {
  /** By the time that as many more are withdrawn, a response to the first one is unlikely. */
  static final int MAX_WITHDRAWN_IDS = 64;

  private final String engine;
  private final long incarnation;

  // Transport: owned by the connection pool and its connector.
  private long handle = GenerationalSlots.NONE;
  private IoSession session;
  private boolean closed;
  private long lastReceivedNanos;
  private long partialResponseSinceNanos = Long.MAX_VALUE;
  private boolean unresponsive;
  private ConnectFuture connectFuture;
  private boolean connectFailedLocally;
  private Deadline connectTimeout;
  private Deadline idleTimeout;
  private WriteFuture lastWrite;

  // Attempts: owned by the attempt dispatcher.
  private final Map<String, EngineAttempt> attempts = new LinkedHashMap<>();
  private final Set<EngineAttempt> unsentAttempts = new LinkedHashSet<>();

  /** The request ids of the attempts that were withdrawn last, oldest first. */
  private final Deque<String> withdrawnIds = new ArrayDeque<>();

  // Health checks: owned by the health check client.
  private final Map<String, Deadline> healthChecks = new LinkedHashMap<>();

  /**
   * Creates a connection that is not established yet.
   *
   * @param engine the engine's name
   * @param incarnation when the engine's process started, as reported by the endpoint list
   */
  public EngineConnection(String engine, long incarnation) {
    this.engine = engine;
    this.incarnation = incarnation;
  }

  /** Returns the name of the engine. */
  public String engine() {
    return engine;
  }

  /** Returns when the engine's process started, as reported by the endpoint list. */
  public long incarnation() {
    return incarnation;
  }

  // ---- Transport ----

  /** Returns the handle of this connection in the pool's table. */
  public long handle() {
    return handle;
  }

  /** Sets the handle of this connection in the pool's table. */
  public void setHandle(long handle) {
    this.handle = handle;
  }

  /** Records the connect that is in progress. */
  public void setConnectFuture(ConnectFuture future) {
    connectFuture = future;
  }

  /** Returns the future of the latest connect. */
  public ConnectFuture connectFuture() {
    return connectFuture;
  }

  /** Records whether the latest connect failed locally, before any packet was sent. */
  public void setConnectFailedLocally(boolean failedLocally) {
    connectFailedLocally = failedLocally;
  }

  /** Returns whether the latest connect failed locally, which is no evidence against the engine. */
  public boolean connectFailedLocally() {
    return connectFailedLocally;
  }

  /** Sets the deadline by which the connection has to be established. */
  public void setConnectTimeout(Deadline deadline) {
    connectTimeout = deadline;
  }

  /** Returns the deadline by which the connection has to be established; null if not set. */
  public Deadline connectTimeout() {
    return connectTimeout;
  }

  /**
   * Records that the connection is established.
   *
   * @param nowNanos the current time on the event loop's clock
   */
  public void connected(IoSession session, long nowNanos) {
    this.session = session;
    lastReceivedNanos = nowNanos;
  }

  /** Returns whether the connection has been established; it may have been closed since. */
  public boolean isConnected() {
    return session != null;
  }

  /** Returns the session of the transport; null unless {@link #isConnected()}. */
  public IoSession session() {
    return session;
  }

  /** Returns whether the transport has started to close the connection. */
  public boolean isClosing() {
    return session != null && session.isClosing();
  }

  /** Records that the connection is closed and accepts no further attempts or health checks. */
  public void markClosed() {
    closed = true;
  }

  /** Returns whether the gateway considers the connection closed. */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Records that a complete response was received.
   *
   * @param nowNanos the current time on the event loop's clock
   */
  public void responseReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
    unresponsive = false;
    partialResponseSinceNanos = Long.MAX_VALUE;
  }

  /**
   * Records that the first part of an incomplete response was received.
   *
   * @param nowNanos the current time on the event loop's clock
   */
  public void partialResponseReceived(long nowNanos) {
    partialResponseSinceNanos = nowNanos;
  }

  /**
   * Returns when the incomplete response began, in nanoseconds on the event loop's clock; {@link
   * Long#MAX_VALUE} without one.
   */
  public long partialResponseSinceNanos() {
    return partialResponseSinceNanos;
  }

  /**
   * Returns when the connection was established or the last response was received on it, in
   * nanoseconds on the event loop's clock.
   */
  public long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /**
   * Records that nothing was received on this connection for long after an attempt was forwarded,
   * or that a write to it is stuck.
   */
  public void markUnresponsive() {
    unresponsive = true;
  }

  /**
   * Returns whether the connection was marked as unresponsive; new attempts use it only if no other
   * connection is available.
   */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Sets the deadline at which the connection is closed as idle; null while it is in use. */
  public void setIdleTimeout(Deadline deadline) {
    idleTimeout = deadline;
  }

  /** Returns the deadline at which the connection is closed as idle; null while it is in use. */
  public Deadline idleTimeout() {
    return idleTimeout;
  }

  /** Records the future of the latest write. */
  public void setLastWrite(WriteFuture write) {
    lastWrite = write;
  }

  /** Returns the future of the latest write; null before the first one. */
  public WriteFuture lastWrite() {
    return lastWrite;
  }

  // ---- Attempts ----

  /** Adds an attempt that waits to be written. */
  public void addAttempt(EngineAttempt attempt) {
    attempts.put(attempt.request.id, attempt);
    unsentAttempts.add(attempt);
  }

  /** Returns the open attempt for the request of the given id. */
  public Optional<EngineAttempt> attempt(String requestId) {
    return Optional.ofNullable(attempts.get(requestId));
  }

  /** Removes an attempt; returns false if it was not open on this connection. */
  public boolean removeAttempt(EngineAttempt attempt) {
    unsentAttempts.remove(attempt);
    return attempts.remove(attempt.request.id, attempt);
  }

  /** Records that an attempt was withdrawn after it was written, at least in part. */
  public void attemptWithdrawn(String requestId) {
    if (withdrawnIds.size() == MAX_WITHDRAWN_IDS) {
      withdrawnIds.removeFirst();
    }
    withdrawnIds.addLast(requestId);
  }

  /**
   * Returns whether a response to a withdrawn attempt for a request of the given id may still
   * arrive, since it was one of the last to be withdrawn.
   */
  public boolean mayRespondToWithdrawn(String requestId) {
    return withdrawnIds.contains(requestId);
  }

  /** Removes and returns all open attempts, oldest first. */
  public List<EngineAttempt> removeAttempts() {
    List<EngineAttempt> removed = openAttempts();
    attempts.clear();
    unsentAttempts.clear();
    return removed;
  }

  /** Returns a copy of the open attempts, oldest first. */
  public List<EngineAttempt> openAttempts() {
    return List.copyOf(attempts.values());
  }

  /** Returns the number of open attempts. */
  public int attemptCount() {
    return attempts.size();
  }

  /** Records that an attempt no longer waits to be written. */
  public void removeUnsent(EngineAttempt attempt) {
    unsentAttempts.remove(attempt);
  }

  /** Returns a copy of the attempts that wait to be written, oldest first. */
  public List<EngineAttempt> unsentAttempts() {
    return List.copyOf(unsentAttempts);
  }

  /** Returns the number of attempts that wait to be written. */
  public int unsentCount() {
    return unsentAttempts.size();
  }

  // ---- Health checks ----

  /** Adds a health check with the deadline of its response. */
  public void addHealthCheck(String tag, Deadline deadline) {
    healthChecks.put(tag, deadline);
  }

  /** Returns whether the health check of a tag is open on this connection. */
  public boolean hasHealthCheck(String tag) {
    return healthChecks.containsKey(tag);
  }

  /** Removes a health check and returns its deadline. */
  public Optional<Deadline> removeHealthCheck(String tag) {
    return Optional.ofNullable(healthChecks.remove(tag));
  }

  /** Returns a copy of the tags of the open health checks, oldest first. */
  public List<String> healthCheckTags() {
    return new ArrayList<>(healthChecks.keySet());
  }

  /** Returns whether neither an attempt nor a health check is open on this connection. */
  public boolean isUnused() {
    return attempts.isEmpty() && healthChecks.isEmpty();
  }
}
