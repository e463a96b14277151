package reachloom.scheduler.api;

/**
 * The actions that a scheduler requests from its front end, which carries them out in order. Called
 * on the thread that delivers the {@link SchedulerEvents}.
 */
public interface SchedulerActions {
  /**
   * Forwards a query to an engine, which starts the query's next attempt.
   *
   * @param timeoutNanos time after which the attempt ends as {@link AttemptOutcome#TIMEOUT}; 0 lets
   *     it last until the client's deadline
   */
  void forward(String queryId, String engine, long timeoutNanos);

  /**
   * Sets the resources that the next attempts of a query request from their engine.
   *
   * @param grantMb memory grant in MB; 0 leaves it to the engine
   * @param priority priority in the engine's own scale
   */
  void setResources(String queryId, double grantMb, int priority);

  /** Cancels an attempt; its end is reported like that of any other attempt. */
  void cancelAttempt(String queryId, int attempt);

  /**
   * Gives a query its final answer: rejected without effect, so that the client may retry.
   *
   * @param retryAfterNanos time after which the client should retry; 0 sends no Retry-After
   */
  void reject(String queryId, long retryAfterNanos);

  /** Gives a query its final answer: failed, possibly after it took effect. */
  void fail(String queryId);

  /**
   * Requests one call of {@link SchedulerEvents#onTimer}.
   *
   * @param delayNanos time from now
   * @param token passed to the call
   */
  void setTimer(long delayNanos, long token);

  /**
   * Sends a health check to an engine; {@link SchedulerEvents#onHealthCheck} reports its result.
   */
  void checkHealth(String engine);

  /** Subscribes to the endpoint list. */
  void watchEndpoints();

  /** Adds a line to the log. */
  void log(String line);
}
