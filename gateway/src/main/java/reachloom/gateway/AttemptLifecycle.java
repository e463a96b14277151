package reachloom.gateway;

import java.lang.System.Logger;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.wire.Bytes;
import reachloom.gateway.wire.ThriftWriter;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * Attempts of requests from the scheduler's decision to forward until their outcome is reported:
 * keeps their time-outs, writes the response of the one that is served, and reports each attempt's
 * end to the scheduler exactly once.
 *
 * <p>Confined to the event loop's thread.
 */
final class AttemptLifecycle {
  private static final Logger LOG = GatewayService.LOG;
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /**
   * The end of an attempt that was cancelled is reported this much later. The engine learns of the
   * cancellation on a connection of its own: a further attempt elsewhere, forwarded at once, could
   * start before that, and two would run.
   */
  private static final long CANCEL_LINGER = 5 * MILLISECOND;

  private final EventLoop loop;
  private final EngineClient engines;
  private final RequestRegistry requests;
  private final ResponseWriter responses;
  private final SchedulerEvents scheduler;
  private final int maxAttempts;
  private EngineOutcomeListener outcomeListener = GatewayService.NO_LISTENER;

  AttemptLifecycle(
      EventLoop loop,
      EngineClient engines,
      RequestRegistry requests,
      ResponseWriter responses,
      SchedulerEvents scheduler,
      int maxAttempts) {
    this.loop = loop;
    this.engines = engines;
    this.requests = requests;
    this.responses = responses;
    this.scheduler = scheduler;
    this.maxAttempts = maxAttempts;
  }

  /** Sets who is told of each attempt's outcome beside the scheduler. */
  void setOutcomeListener(EngineOutcomeListener listener) {
    outcomeListener = listener;
  }

  /**
   * Starts an attempt at an engine. One that may not start ends as {@link AttemptOutcome#NOT_SENT},
   * never within this call.
   *
   * @param timeoutNanos how long it may take; 0 or less lasts until the request's deadline
   */
  void start(ClientRequest request, String engine, long timeoutNanos) {
    long now = loop.now();
    long latest = RequestTiming.attemptsEndAtNanos(request);
    long until = timeoutNanos <= 0 ? latest : Math.min(latest, now + timeoutNanos);
    EngineAttempt attempt = new EngineAttempt(request, request.attempts.size(), engine, now, until);
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    if (request.closed || until <= now || attempt.number >= maxAttempts) {
      loop.later(() -> finish(attempt, AttemptOutcome.NOT_SENT));
      return;
    }
    if (attempt.number > 0) {
      RequestLog.retried(request, attempt, now);
    }
    attempt.timeout =
        loop.deadlines().add(until, () -> finish(attempt, attempt.progress().outcomeIfTimedOut));
    engines.send(attempt);
  }

  /**
   * Whether an attempt may still start: asked in the instant before its first byte is written,
   * since it may have waited for a connection.
   */
  boolean mayStart(EngineAttempt attempt) {
    ClientRequest request = attempt.request;
    long now = loop.now();
    return !request.closed
        && !attempt.ended
        && now < attempt.deadlineNanos
        && scheduler.mayStart(now, request.id, attempt.number);
  }

  /** Cancels an attempt, never within this call; one that does not exist is left alone. */
  void cancel(ClientRequest request, int number) {
    if (number < request.attempts.size()) {
      EngineAttempt attempt = request.attempts.get(number);
      loop.later(() -> finish(attempt, AttemptOutcome.CANCELLED));
    }
  }

  /** Sets the priority of a request's attempts, of those in flight and of further ones. */
  void setPriority(ClientRequest request, int priority) {
    if (request.priority != priority) {
      request.priority = priority;
      request.attempts.stream()
          .filter(attempt -> !attempt.ended)
          .forEach(attempt -> engines.setPriority(attempt, priority));
    }
  }

  /**
   * Ends an attempt. The scheduler is told at once, or after {@link #CANCEL_LINGER} where the
   * engine may still be at work on it; an attempt that has ended is left alone.
   */
  void finish(EngineAttempt attempt, AttemptOutcome outcome) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    loop.deadlines().cancel(attempt.timeout);
    boolean engineMayRunOn = outcome.mayStillRun && attempt.isConnected();
    engines.withdraw(attempt);
    if (outcome == AttemptOutcome.SERVED && !attempt.request.closed) {
      responses.respond(
          attempt.request,
          ThriftWriter.answer(
              attempt.request.sequence, attempt.pages.stream().map(Bytes::of).toList()));
    }
    if (engineMayRunOn && !attempt.request.closed) {
      loop.deadlines().add(loop.now() + CANCEL_LINGER, () -> report(attempt, outcome));
    } else {
      report(attempt, outcome);
    }
  }

  private void report(EngineAttempt attempt, AttemptOutcome outcome) {
    ClientRequest request = attempt.request;
    request.attemptsInFlight--;
    long now = loop.now();
    boolean served = outcome == AttemptOutcome.SERVED;
    RequestLog.ended(attempt, outcome, now - attempt.sentAtNanos);
    AttemptResult result =
        new AttemptResult(
            request.id,
            attempt.number,
            attempt.engine,
            outcome,
            now - attempt.sentAtNanos,
            request.closed,
            served ? attempt.costMs : 0,
            served ? attempt.memoryMb : 0,
            attempt.loadReport);
    attempt.pages.clear();
    outcomeListener.onAttemptEnded(attempt.engine, outcome, served || !request.closed);
    scheduler.onAttemptEnded(now, result);
    requests.removeIfDone(request);
  }
}
