package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import reachloom.config.GatewayConfig;
import reachloom.gateway.ClientConnections.Arrival;
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.wire.Bytes;
import reachloom.gateway.wire.ClientCall;
import reachloom.gateway.wire.TableGroup;
import reachloom.gateway.wire.ThriftWriter;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * Executes the calls of clients: validates and admits requests, passes them to the scheduler, and
 * closes each with exactly one response or when its client is gone. Decides nothing about admitted
 * requests, with one exception: a request that the scheduler has not decided in time gets a
 * response from here ({@link #expire}).
 *
 * <p>Confined to the event loop's thread.
 */
final class RequestHandler implements ClientConnections.Handler {
  private static final Logger LOG = GatewayService.LOG;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final GatewayConfig config;
  private final EventLoop loop;
  private final RequestRegistry requests;
  private final ResponseWriter responses;
  private final AttemptLifecycle attempts;
  private final EngineClient engines;
  private final SubmissionGate gate;
  private final SchedulerEvents scheduler;
  private boolean ready;

  /** The latest deadline of requests that arrive; unlimited until the gateway shuts down. */
  private long latestDeadlineNanos = Long.MAX_VALUE;

  RequestHandler(
      GatewayConfig config,
      EventLoop loop,
      RequestRegistry requests,
      ResponseWriter responses,
      AttemptLifecycle attempts,
      EngineClient engines,
      SubmissionGate gate,
      SchedulerEvents scheduler) {
    this.config = config;
    this.loop = loop;
    this.requests = requests;
    this.responses = responses;
    this.attempts = attempts;
    this.engines = engines;
    this.gate = gate;
    this.scheduler = scheduler;
  }

  /** Sets whether {@code check} calls report the gateway as ready. */
  void setReady(boolean ready) {
    this.ready = ready;
  }

  /** Limits the deadlines of all requests that arrive later, on the event loop's clock. */
  void setLatestDeadline(long deadlineNanos) {
    latestDeadlineNanos = deadlineNanos;
  }

  // ---- Calls of clients ----

  @Override
  public void interrupt(Arrival arrival, ClientCall.Interrupt call) {
    ClientRequest request = arrival.client().openRequests.get(call.target());
    if (request != null) {
      onClientGone(request);
    }
  }

  @Override
  public void check(Arrival arrival, ClientCall.Check call) {
    responses.respondDirectly(arrival.client(), ThriftWriter.check(call.seq(), ready));
  }

  @Override
  public void unusable(Arrival arrival, ClientCall.Unusable call) {
    responses.respondDirectly(arrival.client(), ThriftWriter.exception(call));
  }

  @Override
  public void execute(Arrival arrival, ClientCall.Execute call) {
    ClientConnection client = arrival.client();
    Optional<RequestFields> fields =
        RequestFields.read(call.fields(), config)
            .filter(read -> !client.openRequests.containsKey(call.seq()));
    if (fields.isEmpty()) {
      failDirectly(
          arrival,
          call,
          "a field is missing or invalid, or its sequence number is in use by an open request");
      return;
    }
    ClientRequest request = request(arrival, call, fields.get());
    Optional<String> conflict = gate.conflict(request);
    if (conflict.isPresent()) {
      failDirectly(arrival, call, conflict.get());
      return;
    }
    if (!requests.admit(client, request)) {
      LOG.log(
          Level.WARNING,
          "request rejected for lack of capacity: {0} requests held, {1} open on its connection,"
              + " {2} bytes of statements",
          requests.size(),
          client.openRequests.size(),
          requests.statementBytes());
      responses.respondDirectly(client, ThriftWriter.busy(call.seq())); // it was never forwarded
      return;
    }
    request.expiryTimer =
        loop.deadlines()
            .add(RequestTiming.expiryAtNanos(request), () -> expire(request, "deadline reached"));
    submitWhenPossible(request);
  }

  private void failDirectly(Arrival arrival, ClientCall.Execute call, String reason) {
    logFailure(call.fields().get("txn"), reason);
    responses.respondDirectly(arrival.client(), ThriftWriter.failed(call.seq()));
  }

  private static void logFailure(String id, String reason) {
    LOG.log(Level.WARNING, "request {0} failed: {1}", id, reason);
  }

  private void submitWhenPossible(ClientRequest request) {
    if (request.submitted || request.closed) {
      return;
    }
    switch (gate.check(request, () -> submitWhenPossible(request))) {
      case SUBMIT -> {
        requests.submit(request);
        long now = loop.now();
        scheduler.onQuery(now, query(request, now));
      }
      case DUPLICATE -> {
        logFailure(request.id, SubmissionGate.DUPLICATE_ID);
        respondFailed(request);
        requests.removeIfDone(request);
      }
      case WAIT -> {
        // checked again by the gate, or once the input of the client is read
      }
    }
  }

  @Override
  public void onEviction(ClientConnection client) {
    for (ClientRequest request : List.copyOf(client.openRequests.values())) {
      respondRejected(request); // it was never forwarded
      requests.removeIfDone(request);
    }
  }

  @Override
  public void onInputRead(ClientConnection client) {
    for (ClientRequest request : List.copyOf(client.openRequests.values())) {
      submitWhenPossible(request);
      request.attempts.forEach(engines::onClientInputRead);
    }
  }

  private ClientRequest request(Arrival arrival, ClientCall.Execute call, RequestFields fields) {
    long deadline = arrival.receivedAtNanos() + fields.limitMs() * NANOS_PER_MILLI;
    return new ClientRequest(
        new ClientRequest.Header(
            fields.id(),
            config.names().classes().get(fields.queryClass()),
            fields.queryClass(),
            fields.tenant(),
            fields.key()),
        new ClientRequest.Statement(
            call.statement().array(), call.statement().from(), call.statement().length()),
        new ClientRequest.Origin(arrival.client().handle, call.seq()),
        arrival.receivedAtNanos(),
        Math.min(deadline, latestDeadlineNanos));
  }

  private static Query query(ClientRequest request, long now) {
    Bytes statement = new Bytes(request.frame, request.statementOffset, request.statementLength);
    return new Query(
        request.id,
        request.classIndex,
        request.tenantIndex,
        null,
        Math.max(0, request.deadlineNanos - now),
        0,
        0,
        TableGroup.of(statement),
        false,
        Math.max(0, now - request.receivedAtNanos));
  }

  @Override
  public void onClientGone(ClientRequest request) {
    if (request.closed) {
      return;
    }
    request.clientGone = true;
    requests.close(request);
    if (request.submitted) {
      scheduler.onClientGone(loop.now(), request.id);
    }
    requests.removeIfDone(request);
  }

  // ---- Responses other than results ----

  /**
   * Rejects a request by the scheduler's decision, so that the client may retry safely. Ignores a
   * request that is closed or unknown.
   */
  void reject(String id) {
    findOpen(id)
        .ifPresent(
            request -> {
              respondRejected(request);
              requests.removeIfDone(request);
            });
  }

  /** Fails a request by the scheduler's decision; ignores one that is closed or unknown. */
  void fail(String id) {
    findOpen(id)
        .ifPresent(
            request -> {
              respondFailed(request);
              requests.removeIfDone(request);
            });
  }

  private Optional<ClientRequest> findOpen(String id) {
    return requests.find(id).filter(request -> !request.closed);
  }

  private void respondRejected(ClientRequest request) {
    RequestLog.rejected(request, loop.now());
    responses.respond(request, ThriftWriter.busy(request.sequence));
  }

  private void respondFailed(ClientRequest request) {
    RequestLog.failed(request, loop.now());
    responses.respond(request, ThriftWriter.failed(request.sequence));
  }

  /** Responds to all open requests without waiting for the scheduler's decisions. */
  void expireAll(String reason) {
    requests.open().forEach(request -> expire(request, reason));
  }

  /**
   * Responds to a request that the scheduler has not decided: rejects it if it was never forwarded,
   * and otherwise fails it, since it may have run.
   */
  private void expire(ClientRequest request, String reason) {
    if (request.closed) {
      return;
    }
    LOG.log(
        Level.INFO, "request {0} expired without a scheduler decision: {1}", request.id, reason);
    if (request.attempts.isEmpty()) {
      respondRejected(request);
    } else {
      respondFailed(request);
    }
    if (request.submitted) {
      scheduler.onClientGone(loop.now(), request.id);
    }
    for (EngineAttempt attempt : List.copyOf(request.attempts)) {
      attempts.finish(attempt, AttemptOutcome.CANCELLED); // if the scheduler left it running
    }
    requests.removeIfDone(request);
  }
}
