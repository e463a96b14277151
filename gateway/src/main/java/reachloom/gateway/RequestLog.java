package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.EngineAttempt;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * Log lines that follow a request by its id: attempts that were not served, retries and how long
 * after the first attempt each was forwarded, and responses other than results. Each kind has a
 * logger of its own, which bounds its lines in a second and counts those left out.
 */
final class RequestLog {
  private static final Logger ATTEMPTS = System.getLogger("reachloom.gateway.Attempts");
  private static final Logger RETRIES = System.getLogger("reachloom.gateway.Retries");
  private static final Logger ANSWERS = System.getLogger("reachloom.gateway.Answers");
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  private RequestLog() {}

  /** An attempt that is not the first one is forwarded at that time. */
  static void retried(ClientRequest request, EngineAttempt attempt, long nowNanos) {
    RETRIES.log(
        Level.INFO,
        "request {0} ({1}): attempt {2} at {3}, {4} ms after the first",
        request.id,
        request.queryClass,
        Integer.toString(attempt.number + 1),
        attempt.engine,
        milliseconds(nowNanos - request.attempts.get(0).sentAtNanos));
  }

  /** An attempt has ended after so many nanoseconds; one that was served needs no line. */
  static void ended(EngineAttempt attempt, AttemptOutcome outcome, long spentNanos) {
    if (outcome != AttemptOutcome.SERVED) {
      ATTEMPTS.log(
          Level.INFO,
          "request {0} ({1}): attempt {2} at {3} ended as {4} after {5} ms",
          attempt.request.id,
          attempt.request.queryClass,
          Integer.toString(attempt.number + 1),
          attempt.engine,
          outcome,
          milliseconds(spentNanos));
    }
  }

  /** A request is rejected. */
  static void rejected(ClientRequest request, long nowNanos) {
    unserved(request, "rejected", nowNanos);
  }

  /** A request has failed. */
  static void failed(ClientRequest request, long nowNanos) {
    unserved(request, "failed", nowNanos);
  }

  private static void unserved(ClientRequest request, String response, long nowNanos) {
    ANSWERS.log(
        Level.INFO,
        "request {0} ({1}) is {2} after {3} ms and {4} attempts, {5} ms before its deadline",
        request.id,
        request.queryClass,
        response,
        milliseconds(nowNanos - request.receivedAtNanos),
        request.attempts.size(),
        milliseconds(request.deadlineNanos - nowNanos));
  }

  private static String milliseconds(long nanoseconds) {
    return Long.toString(nanoseconds / MILLISECOND);
  }
}
