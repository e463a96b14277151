package reachloom.gateway.state;

import reachloom.scheduler.api.AttemptOutcome;

/** The progress of an attempt, which determines its outcome if it fails at that point. */
public enum AttemptProgress {
  /** Not handed to an established connection yet. */
  NOT_WRITTEN(AttemptOutcome.UNREACHED, AttemptOutcome.UNREACHED),
  /**
   * Handed to a connection, but not completely written. If the connection is lost, the attempt
   * can't have run; if the attempt times out, its rest is still written, and it may run.
   */
  PARTLY_WRITTEN(AttemptOutcome.UNREACHED, AttemptOutcome.TIMEOUT),
  /** Completely written. */
  SENT(AttemptOutcome.RESET, AttemptOutcome.TIMEOUT),
  /** The engine has run the request, and the pages of the result are being received. */
  RECEIVING_RESULT(AttemptOutcome.RESET, AttemptOutcome.TIMEOUT);

  /** The outcome of the attempt if its connection is lost at this point. */
  public final AttemptOutcome outcomeIfConnectionLost;

  /** The outcome of the attempt if it times out at this point. */
  public final AttemptOutcome outcomeIfTimedOut;

  AttemptProgress(AttemptOutcome outcomeIfConnectionLost, AttemptOutcome outcomeIfTimedOut) {
    this.outcomeIfConnectionLost = outcomeIfConnectionLost;
    this.outcomeIfTimedOut = outcomeIfTimedOut;
  }
}
