package reachloom.gateway;

import reachloom.gateway.state.ClientRequest;

/**
 * Computes how long before a client's deadline its request is abandoned. A response that arrives
 * after the deadline is lost, and wake-ups are late by tens of milliseconds on a shared machine.
 */
final class RequestTiming {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Attempts end this long before the deadline, or the request's time divided by {@link
   * #DEADLINE_MARGIN_DIVISOR} if that is shorter.
   */
  private static final long MAX_DEADLINE_MARGIN_NANOS = 80 * NANOS_PER_MILLI;

  private static final int DEADLINE_MARGIN_DIVISOR = 10;

  /**
   * The gateway itself responds at this fraction (1/n) of the margin before the deadline: by then
   * the scheduler, to which the end of the attempts is reported at the full margin, has decided.
   */
  private static final int EXPIRY_MARGIN_DIVISOR = 4;

  private RequestTiming() {}

  /** Returns the latest end of any attempt of a request, on the event loop's clock. */
  static long attemptsEndAtNanos(ClientRequest request) {
    return request.deadlineNanos - marginNanos(request);
  }

  /** Returns when the gateway itself responds to a request that is still open. */
  static long expiryAtNanos(ClientRequest request) {
    return request.deadlineNanos - marginNanos(request) / EXPIRY_MARGIN_DIVISOR;
  }

  private static long marginNanos(ClientRequest request) {
    long allowedNanos = request.deadlineNanos - request.receivedAtNanos;
    return Math.min(MAX_DEADLINE_MARGIN_NANOS, allowedNanos / DEADLINE_MARGIN_DIVISOR);
  }
}
