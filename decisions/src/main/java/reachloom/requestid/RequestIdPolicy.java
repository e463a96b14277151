package reachloom.requestid;

import reachloom.pause.PauseDetector;

/**
 * Decides what becomes of a request with the id of an earlier one. An id names one request while
 * that is open: another request with it is a duplicate, unless the client of the earlier one has
 * left and sends its request again. While an engine may run the earlier one, only the same
 * statement can be that.
 */
public final class RequestIdPolicy {
  /**
   * Unread input of a client may hold the end of its connection or a cancellation. A client that
   * has left is known to have left within this time, unless it has sent more than its turns allow.
   */
  static final long MAX_UNREAD_INPUT_WAIT_NANOS = 100_000_000;

  /** What becomes of a request. */
  public enum Verdict {
    /** It may run once no attempt of the earlier request does. */
    ACCEPT,
    /** It waits until it is known whether the client of the earlier request has left. */
    AWAIT_DEPARTURE,
    /** It must not run: its id is that of another request. */
    DUPLICATE
  }

  /**
   * How long a request has waited for what its earlier one's client has sent.
   *
   * @param arrivalsHandled whether everything that had arrived on any connection when the request
   *     was handled has been read and handled since, but for input that is left unread
   * @param nanos the time since the request was handled first, in nanoseconds
   */
  public record Wait(boolean arrivalsHandled, long nanos) {
    /** The wait of a request that has just arrived. */
    public static final Wait NONE = new Wait(false, 0);
  }

  private RequestIdPolicy() {}

  /** Decides on a request by what is known of the earlier one with its id. */
  public static Verdict decide(EarlierRequest earlier, Wait wait) {
    if (earlier instanceof EarlierRequest.Open open) {
      return whileOpen(open, wait);
    }
    if (earlier instanceof EarlierRequest.Answered answered) {
      return afterAnswer(answered, wait);
    }
    return afterAbandonment((EarlierRequest.Abandoned) earlier);
  }

  private static Verdict whileOpen(EarlierRequest.Open earlier, Wait wait) {
    if (earlier.sameConnection() || !earlier.sameStatement()) {
      return Verdict.DUPLICATE;
    }
    boolean mayHaveLeft =
        !wait.arrivalsHandled()
            || earlier.inputUnread() && wait.nanos() < MAX_UNREAD_INPUT_WAIT_NANOS;
    return mayHaveLeft ? Verdict.AWAIT_DEPARTURE : Verdict.DUPLICATE;
  }

  private static Verdict afterAnswer(EarlierRequest.Answered earlier, Wait wait) {
    if (!earlier.sameStatement()) {
      return otherStatement(earlier.attemptMayRun(), earlier.sinceEndNanos());
    }
    if (earlier.sinceEndNanos() >= 0) {
      return Verdict.ACCEPT;
    }
    // It arrived before the answer, which its client may not have received.
    if (earlier.sameConnection()) {
      return Verdict.DUPLICATE;
    }
    if (!wait.arrivalsHandled()) {
      return Verdict.AWAIT_DEPARTURE;
    }
    return earlier.clientConnected() ? Verdict.DUPLICATE : Verdict.ACCEPT;
  }

  private static Verdict afterAbandonment(EarlierRequest.Abandoned earlier) {
    return earlier.sameConnection() || earlier.sameStatement()
        ? Verdict.ACCEPT
        : otherStatement(earlier.attemptMayRun(), earlier.sinceEndNanos());
  }

  /** Decides on another statement under the id of a request that has ended. */
  private static Verdict otherStatement(boolean attemptMayRun, long sinceEndNanos) {
    // Arrivals are not known more exactly than the shortest pause.
    boolean mayHaveArrivedBefore = sinceEndNanos < PauseDetector.MIN_PAUSE_NANOS;
    return attemptMayRun || mayHaveArrivedBefore ? Verdict.DUPLICATE : Verdict.ACCEPT;
  }
}
