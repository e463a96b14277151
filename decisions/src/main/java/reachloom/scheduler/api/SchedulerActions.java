package reachloom.scheduler.api;

/** What a gateway may do. */
public interface SchedulerActions {
  /** Starts an attempt; {@code timeout} 0 lasts until the client's deadline. */
  void forward(String query, String engine, long timeout);

  /** Names grant (MB, 0 leaves it to the engine) and priority of a query's next attempts. */
  void setResources(String query, double grantMb, int priority);

  /** Gives up an attempt. */
  void cancelAttempt(String query, int attempt);

  /** Final answer: refused, trying again is harmless; {@code retryAfter} 0 gives no advice. */
  void reject(String query, long retryAfter);

  /** Final answer: failed. */
  void fail(String query);

  /** Asks for {@link SchedulerEvents#onTimer}. */
  void setTimer(long delay, long token);

  /** Asks an engine how it is. */
  void checkHealth(String engine);

  /** Subscribes to discovery. */
  void watchEndpoints();

  /** Adds a line to the log. */
  void log(String line);
}
