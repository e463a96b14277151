package reachloom.gateway.state;

import reachloom.scheduler.api.AttemptOutcome;

/** How far an attempt has come; what a failure at that point proves follows from it. */
public enum AttemptProgress {
  /** No connection carries it yet. */
  NOT_CONNECTED(AttemptOutcome.UNREACHED, AttemptOutcome.UNREACHED),
  /**
   * Handed to a connection, but not completely written. Where the connection has been closed, it
   * can't have run; where it times out, the rest of it is still written, and it may run.
   */
  PARTLY_WRITTEN(AttemptOutcome.UNREACHED, AttemptOutcome.TIMEOUT),
  /** Completely written. */
  SENT(AttemptOutcome.RESET, AttemptOutcome.TIMEOUT),
  /** The engine has served it, and the pages of the result are on their way. */
  RECEIVING_RESULT(AttemptOutcome.RESET, AttemptOutcome.TIMEOUT);

  /** How the attempt ends when its connection is lost at this point. */
  public final AttemptOutcome outcomeIfConnectionLost;

  /** How the attempt ends when it times out at this point. */
  public final AttemptOutcome outcomeIfTimedOut;

  AttemptProgress(AttemptOutcome outcomeIfConnectionLost, AttemptOutcome outcomeIfTimedOut) {
    this.outcomeIfConnectionLost = outcomeIfConnectionLost;
    this.outcomeIfTimedOut = outcomeIfTimedOut;
  }
}
