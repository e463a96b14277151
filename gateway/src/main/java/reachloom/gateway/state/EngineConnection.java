package reachloom.gateway.state;

import java.util.ArrayList;
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
 * One connection to the process of an engine, with the attempts and health checks that are open on
 * it. It leads to one incarnation of the engine and never changes to another.
 *
 * <p>Confined to the event loop's thread. The connection pool owns the state of the transport, the
 * attempt dispatcher owns the attempts, and the health check client owns the health checks.
 */
public final class EngineConnection {
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

  // Health checks: owned by the health check client.
  private final Map<String, Deadline> healthChecks = new LinkedHashMap<>();

  /**
   * A connection that is still to be established.
   *
   * @param engine the engine's name
   * @param incarnation when the engine's process started, as the endpoint list reports it
   */
  public EngineConnection(String engine, long incarnation) {
    this.engine = engine;
    this.incarnation = incarnation;
  }

  /** The name of the engine. */
  public String engine() {
    return engine;
  }

  /** When the engine's process started, as the endpoint list reported it. */
  public long incarnation() {
    return incarnation;
  }

  // ---- Transport ----

  /** The handle under which the pool's table holds this connection. */
  public long handle() {
    return handle;
  }

  /** Sets the handle under which the pool's table holds this connection. */
  public void setHandle(long handle) {
    this.handle = handle;
  }

  /** Records the try to connect that is under way. */
  public void setConnectFuture(ConnectFuture future) {
    connectFuture = future;
  }

  /** The latest try to connect. */
  public ConnectFuture connectFuture() {
    return connectFuture;
  }

  /** Records whether the latest try to connect failed on this machine, before anything left it. */
  public void setConnectFailedLocally(boolean failedLocally) {
    connectFailedLocally = failedLocally;
  }

  /** Whether the latest try to connect failed on this machine: no evidence against the engine. */
  public boolean connectFailedLocally() {
    return connectFailedLocally;
  }

  /** Sets the deadline by which the connection has to be established. */
  public void setConnectTimeout(Deadline deadline) {
    connectTimeout = deadline;
  }

  /** The deadline by which the connection has to be established; null before the first try. */
  public Deadline connectTimeout() {
    return connectTimeout;
  }

  /**
   * Records that the connection is established.
   *
   * @param nowNanos the event loop's time, in nanoseconds
   */
  public void connected(IoSession session, long nowNanos) {
    this.session = session;
    lastReceivedNanos = nowNanos;
  }

  /** Whether the connection has been established; it may have been closed since. */
  public boolean isConnected() {
    return session != null;
  }

  /** The session of the transport; only where {@link #isConnected()}. */
  public IoSession session() {
    return session;
  }

  /** Whether the transport has begun to close the connection. */
  public boolean isClosing() {
    return session != null && session.isClosing();
  }

  /** Records that the connection is closed: it takes no attempts and no health checks any more. */
  public void markClosed() {
    closed = true;
  }

  /** Whether the gateway counts the connection as closed. */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Records that a complete response has come.
   *
   * @param nowNanos the event loop's time, in nanoseconds
   */
  public void responseReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
    unresponsive = false;
    partialResponseSinceNanos = Long.MAX_VALUE;
  }

  /**
   * Records that a response has begun that is not complete yet.
   *
   * @param nowNanos the event loop's time, in nanoseconds
   */
  public void partialResponseReceived(long nowNanos) {
    partialResponseSinceNanos = nowNanos;
  }

  /**
   * When the response began that is not complete yet, in the event loop's nanoseconds; {@link
   * Long#MAX_VALUE} without one.
   */
  public long partialResponseSinceNanos() {
    return partialResponseSinceNanos;
  }

  /** When the connection was established or last brought a response, in the loop's nanoseconds. */
  public long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Records that attempts timed out here while nothing came. */
  public void markUnresponsive() {
    unresponsive = true;
  }

  /** Whether attempts timed out here while nothing came: not used for new ones without need. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Sets the deadline at which the connection is closed as idle; null while it is in use. */
  public void setIdleTimeout(Deadline deadline) {
    idleTimeout = deadline;
  }

  /** The deadline at which the connection is closed as idle; null while it is in use. */
  public Deadline idleTimeout() {
    return idleTimeout;
  }

  /** Records the latest write. */
  public void setLastWrite(WriteFuture write) {
    lastWrite = write;
  }

  /** The latest write; null before the first one. */
  public WriteFuture lastWrite() {
    return lastWrite;
  }

  // ---- Attempts ----

  /** Adds an attempt, which waits to be written. */
  public void addAttempt(EngineAttempt attempt) {
    attempts.put(attempt.request.id, attempt);
    unsentAttempts.add(attempt);
  }

  /** The attempt for the request of that id, if one is open here. */
  public Optional<EngineAttempt> attempt(String requestId) {
    return Optional.ofNullable(attempts.get(requestId));
  }

  /** Removes an attempt; false where it was not open here. */
  public boolean removeAttempt(EngineAttempt attempt) {
    unsentAttempts.remove(attempt);
    return attempts.remove(attempt.request.id, attempt);
  }

  /** Removes all attempts, and gives those that were open, oldest first. */
  public List<EngineAttempt> removeAttempts() {
    List<EngineAttempt> removed = openAttempts();
    attempts.clear();
    unsentAttempts.clear();
    return removed;
  }

  /** The open attempts, oldest first, as a copy. */
  public List<EngineAttempt> openAttempts() {
    return List.copyOf(attempts.values());
  }

  /** How many attempts are open. */
  public int attemptCount() {
    return attempts.size();
  }

  /** Records that an attempt no longer waits to be written. */
  public void removeUnsent(EngineAttempt attempt) {
    unsentAttempts.remove(attempt);
  }

  /** The attempts that wait to be written, oldest first, as a copy. */
  public List<EngineAttempt> unsentAttempts() {
    return List.copyOf(unsentAttempts);
  }

  /** How many attempts wait to be written. */
  public int unsentCount() {
    return unsentAttempts.size();
  }

  // ---- Health checks ----

  /** Adds a health check with the deadline of its answer. */
  public void addHealthCheck(String tag, Deadline deadline) {
    healthChecks.put(tag, deadline);
  }

  /** Whether a health check of that tag is open here. */
  public boolean hasHealthCheck(String tag) {
    return healthChecks.containsKey(tag);
  }

  /** Removes a health check, and gives its deadline. */
  public Optional<Deadline> removeHealthCheck(String tag) {
    return Optional.ofNullable(healthChecks.remove(tag));
  }

  /** The tags of the open health checks, oldest first, as a copy. */
  public List<String> healthCheckTags() {
    return new ArrayList<>(healthChecks.keySet());
  }

  /** Whether neither an attempt nor a health check is open here. */
  public boolean isUnused() {
    return attempts.isEmpty() && healthChecks.isEmpty();
  }
}
