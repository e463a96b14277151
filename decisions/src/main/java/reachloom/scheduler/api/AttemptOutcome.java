package reachloom.scheduler.api;

/** How an attempt ended. */
public enum AttemptOutcome {
  SERVED(true, false),
  ERROR(true, false),
  FULL(false, false),
  TIMEOUT(true, true),
  UNREACHED(false, false),
  RESET(true, true),
  CANCELLED(true, true),
  NOT_SENT(false, false);

  /** False where the outcome proves that the attempt never ran. */
  public final boolean mayHaveRun;

  /** True where the engine may still be at work on it. */
  public final boolean mayRunOn;

  AttemptOutcome(boolean mayHaveRun, boolean mayRunOn) {
    this.mayHaveRun = mayHaveRun;
    this.mayRunOn = mayRunOn;
  }
}
