package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.EngineAttempt;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * Log lines that trace a request by its id: attempts that were not served, retries with their delay
 * after the first attempt, and responses other than results. Each kind has its own logger, which
 * limits its lines per second and counts the dropped ones.
 */
final class RequestLog {
  private static final Logger ATTEMPTS = System.getLogger("reachloom.gateway.Attempts");
  private static final Logger RETRIES = System.getLogger("reachloom.gateway.Retries");
  private static final Logger ANSWERS = System.getLogger("reachloom.gateway.Answers");
  private static final long NANOS_PER_MILLI = 1_000_000;

  private RequestLog() {}

  /** Logs that an attempt other than the first is forwarded at the given time. */
  static void retried(ClientRequest request, EngineAttempt attempt, long nowNanos) {
    RETRIES.log(
        Level.INFO,
        "request {0} ({1}): attempt {2} forwarded to {3}, {4} ms after the first",
        request.id,
        request.queryClass,
        Integer.toString(attempt.number + 1),
        attempt.engine,
        milliseconds(nowNanos - request.attempts.get(0).forwardedAtNanos));
  }

  /** Logs the end of an attempt that was not served, with its duration. */
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

  /** Logs that a request is rejected. */
  static void rejected(ClientRequest request, long nowNanos) {
    unserved(request, "rejected", nowNanos);
  }

  /** Logs that a request has failed. */
  static void failed(ClientRequest request, long nowNanos) {
    unserved(request, "failed", nowNanos);
  }

  private static void unserved(ClientRequest request, String response, long nowNanos) {
    ANSWERS.log(
        Level.INFO,
        "request {0} ({1}) {2} after {3} ms and {4} attempts, {5} ms before its deadline",
        request.id,
        request.queryClass,
        response,
        milliseconds(nowNanos - request.receivedAtNanos),
        request.attempts.size(),
        milliseconds(request.deadlineNanos - nowNanos));
  }

  private static String milliseconds(long nanoseconds) {
    return Long.toString(nanoseconds / NANOS_PER_MILLI);
  }
}
