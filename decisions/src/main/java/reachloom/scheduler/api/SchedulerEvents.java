package reachloom.scheduler.api;

import java.util.List;

/**
 * What a front reports to its scheduler, in the order in which it happened. Calls come from one
 * thread and may lead to calls of {@link SchedulerActions} before they return. {@code nowNanos} is
 * the front's monotonic clock; it never goes back.
 */
public interface SchedulerEvents {
  /**
   * The gateway starts, with nothing known but its settings.
   *
   * @param seed seeds all random choices of this scheduler
   */
  void onStart(long nowNanos, long seed, SchedulerSettings settings);

  /**
   * The endpoint list has changed.
   *
   * @param complete whether engines that are not named have been removed from the list
   * @param entries the engines of which something is reported
   */
  void onEndpoints(long nowNanos, boolean complete, List<EngineEndpoint> entries);

  /** The endpoint list could not be had; the one known so far stays in use. */
  void onEndpointsUnavailable(long nowNanos);

  /** A query was taken from a client, which is owed one final answer. */
  void onQuery(long nowNanos, Query query);

  /** The answer of an attempt has begun to stream to the client. */
  void onStreaming(long nowNanos, String queryId, int attempt);

  /**
   * Whether an attempt may still begin. A front asks in the instant before the first byte leaves,
   * since the attempt may have waited for a connection; a front that sends at once need not ask. An
   * attempt that may not begin has ended as {@link AttemptOutcome#NOT_SENT}.
   */
  default boolean mayStart(long nowNanos, String queryId, int attempt) {
    return true;
  }

  /** An engine reports on an attempt that is under way. */
  void onProgress(long nowNanos, ProgressReport report);

  /** An attempt has ended; reported once for each one forwarded. */
  void onAttemptEnded(long nowNanos, AttemptResult result);

  /** The client has gone; nothing is owed any more. */
  void onClientGone(long nowNanos, String queryId);

  /** A timer that {@link SchedulerActions#setTimer} set is due. */
  void onTimer(long nowNanos, long token);

  /**
   * What other gateways report of an engine. What this gateway has seen itself takes precedence.
   *
   * @param level weighed reports against the engine, from 0 (none) to 1
   */
  void onPeerReport(long nowNanos, String engine, double level);

  /**
   * A health check has ended.
   *
   * @param answered whether the engine answered
   * @param report its load, or null
   */
  void onHealthCheck(long nowNanos, String engine, boolean answered, LoadReport report);
}
