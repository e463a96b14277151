package reachloom.scheduler.api;

import java.util.List;

/** What happens to one gateway, in the order in which it happened. */
public interface SchedulerEvents {
  /** The gateway starts, with nothing known but its settings. */
  void onStart(long now, long seed, SchedulerSettings settings);

  /** News of the engines; {@code complete} means that engines not named here are gone. */
  void onEndpoints(long now, boolean complete, List<EngineEndpoint> entries);

  /** A call to discovery failed; the list held so far stays. */
  void onEndpointsUnavailable(long now);

  /** A query was taken: it is owed one final answer. */
  void onQuery(long now, Query query);

  /** The answer of an attempt has begun to stream; it belongs to the client from here on. */
  void onStreaming(long now, String query, int attempt);

  /**
   * Whether an attempt that was asked for may still begin: asked in the instant before its first
   * byte leaves, since it may have waited for a connection. A front that sends at once need not
   * ask. One that may not has ended as {@link AttemptOutcome#NOT_SENT}.
   */
  default boolean mayStart(long now, String query, int attempt) {
    return true;
  }

  /** News of an attempt that is out. */
  void onProgress(long now, ProgressReport note);

  /** An attempt is over; told once for each one sent. */
  void onAttemptEnded(long now, AttemptResult end);

  /** The client has left; nothing is owed any more. */
  void onClientGone(long now, String query);

  /** A timer is due. */
  void onTimer(long now, long token);

  /**
   * What other instances say of an engine, weighed: from 0, nothing against it, to 1. It is
   * hearsay: what this instance has seen itself goes before it.
   */
  void onPeerReport(long now, String engine, double level);

  /** A probe is over; {@code report} is null without one. */
  void onHealthCheck(long now, String engine, boolean answered, LoadReport report);
}
