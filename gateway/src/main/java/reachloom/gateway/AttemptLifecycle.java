package reachloom.gateway;

import java.lang.System.Logger;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.wire.Bytes;
import reachloom.gateway.wire.ThriftWriter;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * Tracks attempts from the scheduler's decision to forward until their outcome is reported: keeps
 * their timeouts, writes the response of the attempt that is served, and reports the end of each
 * attempt to the scheduler exactly once.
 *
 * <p>Confined to the event loop's thread.
 */
final class AttemptLifecycle {
  private static final Logger LOG = GatewayService.LOG;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Delay before the end of an attempt that its engine may still run is reported. The cancellation
   * reaches its engine on another connection than the next attempt uses: an attempt forwarded to
   * another engine at once could start before the cancellation arrives, and both would run.
   */
  private static final long CANCEL_REPORT_DELAY_NANOS = 5 * NANOS_PER_MILLI;

  private final EventLoop loop;
  private final EngineClient engines;
  private final ClientConnectionTable clients;
  private final RequestRegistry requests;
  private final ResponseWriter responses;
  private final SchedulerEvents scheduler;
  private final CancelledIds cancelledIds;
  private final int maxAttempts;
  private EngineOutcomeListener outcomeListener = GatewayService.NO_LISTENER;

  AttemptLifecycle(
      EventLoop loop,
      EngineClient engines,
      ClientConnectionTable clients,
      RequestRegistry requests,
      ResponseWriter responses,
      SchedulerEvents scheduler,
      CancelledIds cancelledIds,
      int maxAttempts) {
    this.loop = loop;
    this.engines = engines;
    this.clients = clients;
    this.requests = requests;
    this.responses = responses;
    this.scheduler = scheduler;
    this.cancelledIds = cancelledIds;
    this.maxAttempts = maxAttempts;
  }

  /** Sets a listener for the outcomes of attempts, beside the scheduler. */
  void setOutcomeListener(EngineOutcomeListener listener) {
    outcomeListener = listener;
  }

  /**
   * Starts an attempt at an engine. An attempt that may not start ends as {@link
   * AttemptOutcome#NOT_SENT} after this call returns.
   *
   * @param timeoutNanos how long the attempt may take; 0 or less for until the request's deadline
   */
  void start(ClientRequest request, String engine, long timeoutNanos) {
    long now = loop.now();
    long latest = RequestTiming.attemptsEndAtNanos(request);
    long until = timeoutNanos <= 0 ? latest : Math.min(latest, now + timeoutNanos);
    EngineAttempt attempt = new EngineAttempt(request, request.attempts.size(), engine, now, until);
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    if (request.closed || until <= now || attempt.number >= maxAttempts) {
      loop.defer(() -> finish(attempt, AttemptOutcome.NOT_SENT));
      return;
    }
    if (attempt.number > 0) {
      RequestLog.retried(request, attempt, now);
    }
    attempt.timeout =
        loop.deadlines().add(until, () -> finish(attempt, outcomeIfTimedOut(attempt)));
    engines.send(attempt);
  }

  private AttemptOutcome outcomeIfTimedOut(EngineAttempt attempt) {
    return !attempt.isWriteStarted() && awaitsClientInput(attempt)
        ? AttemptOutcome.NOT_SENT // no evidence against the engine
        : attempt.progress().outcomeIfTimedOut;
  }

  /** Returns whether an attempt has to wait until the input of its client is read. */
  boolean awaitsClientInput(EngineAttempt attempt) {
    return !attempt.request.closed
        && clients.find(attempt.request.connection).map(client -> client.inputUnread).orElse(false);
  }

  /**
   * Returns whether an attempt may still start. Called immediately before its first byte is
   * written, since it may have waited for a connection.
   */
  boolean mayStart(EngineAttempt attempt) {
    ClientRequest request = attempt.request;
    long now = loop.now();
    return !request.closed
        && !attempt.ended
        && now < attempt.deadlineNanos
        && scheduler.mayStart(now, request.id, attempt.number);
  }

  /** Cancels an attempt after this call returns; ignores one that does not exist. */
  void cancel(ClientRequest request, int number) {
    if (number < request.attempts.size()) {
      EngineAttempt attempt = request.attempts.get(number);
      loop.defer(() -> finish(attempt, AttemptOutcome.CANCELLED));
    }
  }

  /** Sets the priority of a request's current and future attempts. */
  void setPriority(ClientRequest request, int priority) {
    if (request.priority != priority) {
      request.priority = priority;
      request.attempts.stream()
          .filter(attempt -> !attempt.ended)
          .forEach(attempt -> engines.setPriority(attempt, priority));
    }
  }

  /**
   * Ends an attempt; ignores one that has ended. The end is reported to the scheduler at once, or
   * after {@link #CANCEL_REPORT_DELAY_NANOS} if the engine may still run the attempt and the
   * request is open.
   */
  void finish(EngineAttempt attempt, AttemptOutcome outcome) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    loop.deadlines().cancel(attempt.timeout);
    boolean engineMayRunOn = outcome.mayStillRun && attempt.isWriteStarted();
    engines.withdraw(attempt);
    if (engineMayRunOn) {
      cancelledIds.add(attempt.request.id, attempt.connection);
    }
    if (outcome == AttemptOutcome.SERVED && !attempt.request.closed) {
      responses.respond(
          attempt.request,
          ThriftWriter.answer(
              attempt.request.sequence, attempt.pages.stream().map(Bytes::of).toList()));
    }
    if (engineMayRunOn && !attempt.request.closed) {
      loop.deadlines().add(loop.now() + CANCEL_REPORT_DELAY_NANOS, () -> report(attempt, outcome));
    } else {
      report(attempt, outcome);
    }
  }

  private void report(EngineAttempt attempt, AttemptOutcome outcome) {
    ClientRequest request = attempt.request;
    request.attemptsInFlight--;
    long now = loop.now();
    boolean served = outcome == AttemptOutcome.SERVED;
    RequestLog.ended(attempt, outcome, now - attempt.forwardedAtNanos);
    AttemptResult result =
        new AttemptResult(
            request.id,
            attempt.number,
            attempt.engine,
            outcome,
            now - attempt.forwardedAtNanos,
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
