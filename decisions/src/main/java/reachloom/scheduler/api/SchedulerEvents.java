package reachloom.scheduler.api;

import java.util.List;

/**
 * The events that a front end reports to its scheduler, in the order in which they happened. Calls
 * come from one thread and may lead to calls of {@link SchedulerActions} before they return. {@code
 * nowNanos} is the time of the front end's monotonic clock; it never goes back.
 */
public interface SchedulerEvents {
  /**
   * The gateway starts; the scheduler knows nothing but the settings.
   *
   * @param seed seeds all random choices of this scheduler
   */
  void onStart(long nowNanos, long seed, SchedulerSettings settings);

  /**
   * The endpoint list has changed.
   *
   * @param complete whether engines without an entry have been removed from the list
   * @param entries the engines that are listed or have changed
   */
  void onEndpoints(long nowNanos, boolean complete, List<EngineEndpoint> entries);

  /** The endpoint list is unavailable; the last known list stays in use. */
  void onEndpointsUnavailable(long nowNanos);

  /** A query was received from a client, to which exactly one final answer must be sent. */
  void onQuery(long nowNanos, Query query);

  /** The answer of an attempt has begun to stream to the client. */
  void onStreaming(long nowNanos, String queryId, int attempt);

  /**
   * Returns whether an attempt may still start. A front end calls this immediately before it sends
   * the first byte, since the attempt may have waited for a connection; a front end that sends each
   * attempt as soon as it is forwarded need not call it. If false, the front end must not send the
   * attempt, and reports its end as {@link AttemptOutcome#NOT_SENT}.
   */
  default boolean mayStart(long nowNanos, String queryId, int attempt) {
    return true;
  }

  /** An engine reports on an attempt that is under way. */
  void onProgress(long nowNanos, ProgressReport report);

  /** An attempt has ended; reported once for each one forwarded. */
  void onAttemptEnded(long nowNanos, AttemptResult result);

  /** The client no longer waits for the query, which needs no answer any more. */
  void onClientGone(long nowNanos, String queryId);

  /** A timer that {@link SchedulerActions#setTimer} set is due. */
  void onTimer(long nowNanos, long token);

  /**
   * Other gateways have reported on an engine. Observations of this gateway take precedence.
   *
   * @param level weighted level of the reports against the engine, from 0 (none) to 1
   */
  void onPeerReport(long nowNanos, String engine, double level);

  /**
   * A health check has ended.
   *
   * @param answered whether the engine answered
   * @param report its load; null if the engine sent none
   */
  void onHealthCheck(long nowNanos, String engine, boolean answered, LoadReport report);
}
