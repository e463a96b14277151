package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.EngineAttempt;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * Log lines that follow a request by its id: what became of attempts that were not served, each
 * repeat and how long after the first attempt it was sent, and each answer that is no result. The
 * logger bounds the lines of each kind in a second, and counts those that it leaves out.
 */
final class RequestLog {
  private static final Logger ATTEMPTS = System.getLogger("reachloom.gateway.Attempts");
  private static final Logger REPEATS = System.getLogger("reachloom.gateway.Repeats");
  private static final Logger ANSWERS = System.getLogger("reachloom.gateway.Answers");
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  private RequestLog() {}

  /** An attempt that is not the first one is sent at that time. */
  static void repeated(ClientRequest r, EngineAttempt a, long now) {
    REPEATS.log(
        Level.INFO,
        "request {0} ({1}): attempt {2} at {3}, {4} ms after the first",
        r.id,
        r.queryClass,
        Integer.toString(a.number + 1),
        a.engine,
        ms(now - r.attempts.get(0).sentAtNanos));
  }

  /** An attempt has ended after so many nanoseconds; one that was served needs no line. */
  static void ended(EngineAttempt a, AttemptOutcome outcome, long spent) {
    if (outcome != AttemptOutcome.SERVED) {
      ATTEMPTS.log(
          Level.INFO,
          "request {0} ({1}): attempt {2} at {3} ended as {4} after {5} ms",
          a.request.id,
          a.request.queryClass,
          Integer.toString(a.number + 1),
          a.engine,
          outcome,
          ms(spent));
    }
  }

  /** A request is answered with anything but a result. */
  static void unserved(ClientRequest r, String answer, long now) {
    ANSWERS.log(
        Level.INFO,
        "request {0} ({1}) is {2} after {3} ms and {4} attempts, {5} ms before its time",
        r.id,
        r.queryClass,
        answer,
        ms(now - r.arrivedAt),
        r.attempts.size(),
        ms(r.deadline - now));
  }

  private static String ms(long nanoseconds) {
    return Long.toString(nanoseconds / MILLISECOND);
  }
}
