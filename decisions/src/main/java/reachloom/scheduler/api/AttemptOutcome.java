package reachloom.scheduler.api;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The engine answered. */
  SERVED(true, false),
  /** The engine answered with an error. */
  ERROR(true, false),
  /** The engine refused it, since it is full. */
  FULL(false, false),
  /** No answer came in time. */
  TIMEOUT(true, true),
  /** No connection to the engine came up. */
  UNREACHED(false, false),
  /** The connection broke after the request had left. */
  RESET(true, true),
  /** It was cancelled by this gateway. */
  CANCELLED(true, true),
  /** It was given up before its first byte left. */
  NOT_SENT(false, false);

  /** False where the outcome proves that the attempt never ran. */
  public final boolean mayHaveRun;

  /** True where the engine may still be at work on it. */
  public final boolean mayStillRun;

  AttemptOutcome(boolean mayHaveRun, boolean mayStillRun) {
    this.mayHaveRun = mayHaveRun;
    this.mayStillRun = mayStillRun;
  }
}
