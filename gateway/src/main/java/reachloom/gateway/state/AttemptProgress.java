package reachloom.gateway.state;

import reachloom.scheduler.api.AttemptOutcome;

/** How far an attempt has come; what its failure proves follows from that. */
public enum AttemptProgress {
  /** No connection carries it yet. */
  NOT_CONNECTED(AttemptOutcome.UNREACHED, AttemptOutcome.UNREACHED),
  /**
   * Handed to a connection, but not whole on the wire. Where the connection has ended, it can't
   * have run; where its time runs out, what waits to be written still goes out, and may run.
   */
  NOT_WHOLE(AttemptOutcome.UNREACHED, AttemptOutcome.TIMEOUT),
  /** Whole on the wire. */
  OUT(AttemptOutcome.RESET, AttemptOutcome.TIMEOUT),
  /** The engine has served it, and its pages are on their way. */
  ANSWERING(AttemptOutcome.RESET, AttemptOutcome.TIMEOUT);

  /** How the attempt ends when its connection breaks here. */
  public final AttemptOutcome broken;

  /** How it ends when its time runs out here. */
  public final AttemptOutcome expired;

  AttemptProgress(AttemptOutcome broken, AttemptOutcome expired) {
    this.broken = broken;
    this.expired = expired;
  }
}
