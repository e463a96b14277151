package reachloom.scheduler.api;

/**
 * What a scheduler may ask of its front, which carries each action out in order. Called on the
 * thread that delivers the {@link SchedulerEvents}.
 */
public interface SchedulerActions {
  /**
   * Forwards a query to an engine: starts its next attempt.
   *
   * @param timeoutNanos time after which the attempt ends as {@link AttemptOutcome#TIMEOUT}; 0 lets
   *     it last until the client's deadline
   */
  void forward(String queryId, String engine, long timeoutNanos);

  /**
   * Sets what the next attempts of a query get from their engine.
   *
   * @param grantMb memory grant in MB; 0 leaves it to the engine
   * @param priority priority in the engine's own scale
   */
  void setResources(String queryId, double grantMb, int priority);

  /** Cancels an attempt, whose end is reported as for any other. */
  void cancelAttempt(String queryId, int attempt);

  /**
   * Gives a query its final answer: rejected without effect, so that the client may retry.
   *
   * @param retryAfterNanos when it should; 0 gives no advice
   */
  void reject(String queryId, long retryAfterNanos);

  /** Gives a query its final answer: failed, possibly after it took effect. */
  void fail(String queryId);

  /**
   * Asks for one call of {@link SchedulerEvents#onTimer}.
   *
   * @param delayNanos time from now
   * @param token handed back with the call
   */
  void setTimer(long delayNanos, long token);

  /** Asks an engine for its health and load; {@link SchedulerEvents#onHealthCheck} reports them. */
  void checkHealth(String engine);

  /** Subscribes to the endpoint list. */
  void watchEndpoints();

  /** Adds a line to the log. */
  void log(String line);
}
