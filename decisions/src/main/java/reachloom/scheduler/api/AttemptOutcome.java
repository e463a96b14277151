package reachloom.scheduler.api;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The engine answered. */
  SERVED(true, false),
  /** The engine answered with an error. */
  ERROR(true, false),
  /** The engine rejected the attempt, since it is full. */
  FULL(false, false),
  /** The engine did not answer in time. */
  TIMEOUT(true, true),
  /** The connection to the engine could not be established. */
  UNREACHED(false, false),
  /** The connection broke after the request was sent. */
  RESET(true, true),
  /** This gateway cancelled the attempt. */
  CANCELLED(true, true),
  /** The attempt was abandoned before its first byte was sent. */
  NOT_SENT(false, false);

  /** Whether the attempt may have run; false where the outcome proves that it did not. */
  public final boolean mayHaveRun;

  /** Whether the engine may still be running the attempt. */
  public final boolean mayStillRun;

  AttemptOutcome(boolean mayHaveRun, boolean mayStillRun) {
    this.mayHaveRun = mayHaveRun;
    this.mayStillRun = mayStillRun;
  }
}
