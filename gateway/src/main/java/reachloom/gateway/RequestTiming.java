package reachloom.gateway;

import reachloom.gateway.state.ClientRequest;

/**
 * How long before a client's deadline its request is given up. A response that arrives after the
 * deadline is lost, and wake-ups are late by tens of milliseconds where the machine is shared.
 */
final class RequestTiming {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** Attempts end this long before the deadline, or a part of the request's time if shorter. */
  private static final long DEADLINE_MARGIN = 80 * MILLISECOND;

  /** The shortest part of a request's time that is kept as its margin: one in so many. */
  private static final int DEADLINE_MARGIN_PART = 10;

  /**
   * The gateway itself responds at this part of the margin before the deadline: by then the
   * scheduler, which is told at the whole margin, has decided.
   */
  private static final int BACKSTOP_PART = 4;

  private RequestTiming() {}

  /** The latest end of any attempt of a request, on the event loop's clock. */
  static long attemptsEndAtNanos(ClientRequest request) {
    return request.deadlineNanos - marginNanos(request);
  }

  /** When the gateway itself responds to a request that is still open. */
  static long backstopAtNanos(ClientRequest request) {
    return request.deadlineNanos - marginNanos(request) / BACKSTOP_PART;
  }

  private static long marginNanos(ClientRequest request) {
    long allowedNanos = request.deadlineNanos - request.receivedAtNanos;
    return Math.min(DEADLINE_MARGIN, allowedNanos / DEADLINE_MARGIN_PART);
  }
}
