package reachloom.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.ClientRequest.DepartureWait;
import reachloom.gateway.state.IdempotencyKeyTable;
import reachloom.gateway.state.RequestIdTable;
import reachloom.gateway.state.RequestIdTable.EndedRequest;
import reachloom.gateway.state.StatementFingerprint;
import reachloom.requestid.EarlierRequest;
import reachloom.requestid.RequestIdPolicy;
import reachloom.requestid.RequestIdPolicy.Wait;

/**
 * Decides when an admitted request may be submitted to the scheduler: once it holds its id, all
 * input of its client was read, since the client may have cancelled it or be gone, and no earlier
 * request with its id can run any more. {@link RequestIdPolicy} decides who may hold an id.
 *
 * <p>Confined to the event loop's thread.
 */
final class SubmissionGate {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Interval at which it is checked whether the earlier request with an id has ended. */
  private static final long RETRY_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;

  static final String DUPLICATE_ID =
      "its id is that of an open request, or of one that has just ended";

  private static final String TAKEN_KEY =
      "its idempotency key is that of an open request with another statement";

  /** What becomes of a request. */
  enum Verdict {
    /** It is submitted now. */
    SUBMIT,
    /** It waits, and is checked again. */
    WAIT,
    /** Its id belongs to another request. */
    DUPLICATE
  }

  private final EventLoop loop;
  private final ClientConnectionTable clients;
  private final RequestRegistry requests;
  private final RequestIdTable requestIds;
  private final IdempotencyKeyTable keys;
  private final CancelledIds cancelledIds;
  private final ArrivalBarrier arrivals;

  SubmissionGate(
      EventLoop loop,
      ClientConnectionTable clients,
      RequestRegistry requests,
      RequestIdTable requestIds,
      IdempotencyKeyTable keys,
      CancelledIds cancelledIds,
      ArrivalBarrier arrivals) {
    this.loop = loop;
    this.clients = clients;
    this.requests = requests;
    this.requestIds = requestIds;
    this.keys = keys;
    this.cancelledIds = cancelledIds;
    this.arrivals = arrivals;
  }

  /** Returns why a request that has just arrived must not run, whatever arrives later. */
  Optional<String> conflict(ClientRequest request) {
    if (idVerdict(request) == RequestIdPolicy.Verdict.DUPLICATE) {
      return Optional.of(DUPLICATE_ID);
    }
    return keys.isTaken(request) ? Optional.of(TAKEN_KEY) : Optional.empty();
  }

  /**
   * Checks an open request that was not submitted.
   *
   * @param retry checks it again; run later if the request has to wait for an earlier one. After
   *     unread input of its client, the request has to be checked once that is read.
   */
  Verdict check(ClientRequest request, Runnable retry) {
    boolean holdsId = requestIds.holder(request.id).filter(request::equals).isPresent();
    if (!holdsId) {
      Verdict verdict = acquireId(request, retry);
      if (verdict != Verdict.SUBMIT) {
        return verdict;
      }
    }
    if (clients.find(request.connection).map(client -> client.inputUnread).orElse(true)) {
      return Verdict.WAIT;
    }
    return checkEarlierAttempts(request, retry);
  }

  // ---- Who holds an id ----

  private Verdict acquireId(ClientRequest request, Runnable retry) {
    return switch (idVerdict(request)) {
      case DUPLICATE -> Verdict.DUPLICATE;
      case AWAIT_DEPARTURE -> {
        awaitDeparture(request, retry);
        yield Verdict.WAIT;
      }
      case ACCEPT -> {
        requestIds.hold(request);
        yield Verdict.SUBMIT;
      }
    };
  }

  private RequestIdPolicy.Verdict idVerdict(ClientRequest request) {
    return earlierWithId(request)
        .map(earlier -> RequestIdPolicy.decide(earlier, waitOf(request)))
        .orElse(RequestIdPolicy.Verdict.ACCEPT);
  }

  private Wait waitOf(ClientRequest request) {
    DepartureWait wait = request.departureWait;
    return wait == null
        ? Wait.NONE
        : new Wait(wait.arrivalsHandled(), loop.now() - wait.sinceNanos());
  }

  private Optional<EarlierRequest> earlierWithId(ClientRequest request) {
    Optional<ClientRequest> holder = requestIds.holder(request.id);
    if (holder.isPresent()) {
      return Optional.of(open(request, holder.get()));
    }
    return requests
        .find(request.id)
        .map(EndedRequest::of)
        .or(() -> requestIds.lastEnded(request.id))
        .map(earlier -> ended(request, earlier));
  }

  private EarlierRequest open(ClientRequest request, ClientRequest holder) {
    return new EarlierRequest.Open(
        holder.connection == request.connection,
        request.hasSameStatement(holder),
        clients.find(holder.connection).map(client -> client.inputUnread).orElse(false));
  }

  private EarlierRequest ended(ClientRequest request, EndedRequest earlier) {
    boolean sameConnection = earlier.connection() == request.connection;
    boolean sameStatement = earlier.statement().equals(StatementFingerprint.of(request));
    long sinceEndNanos = request.receivedAtNanos - earlier.endedAtNanos();
    return earlier.answered()
        ? new EarlierRequest.Answered(
            sameConnection,
            sameStatement,
            clients.find(earlier.connection()).isPresent(),
            attemptMayRun(request.id),
            sinceEndNanos)
        : new EarlierRequest.Abandoned(
            sameConnection, sameStatement, attemptMayRun(request.id), sinceEndNanos);
  }

  private boolean attemptMayRun(String id) {
    return requests.find(id).isPresent() || cancelledIds.blockedUntilNanos(id).isPresent();
  }

  /** Checks a request again once it can be known whether the client of the earlier one has left. */
  private void awaitDeparture(ClientRequest request, Runnable retry) {
    if (request.departureWait == null) {
      long now = loop.now();
      request.departureWait = new DepartureWait(now, false);
      arrivals.whenHandled(
          () -> {
            request.departureWait = new DepartureWait(now, true);
            retry.run();
          });
    } else if (request.departureWait.arrivalsHandled()) {
      checkAgain(request, loop.now() + RETRY_INTERVAL_NANOS, retry);
    }
  }

  // ---- Earlier attempts under an id ----

  private Verdict checkEarlierAttempts(ClientRequest request, Runnable retry) {
    if (requests.find(request.id).isPresent()) {
      checkAgain(request, loop.now() + RETRY_INTERVAL_NANOS, retry);
      return Verdict.WAIT;
    }
    OptionalLong blockedUntil = cancelledIds.blockedUntilNanos(request.id);
    if (blockedUntil.isPresent()) {
      checkAgain(request, blockedUntil.getAsLong(), retry);
      return Verdict.WAIT;
    }
    return Verdict.SUBMIT;
  }

  /** Schedules the next check of a request, unless one is scheduled. */
  private void checkAgain(ClientRequest request, long atNanos, Runnable retry) {
    if (request.nextCheck == null) {
      request.nextCheck =
          loop.deadlines()
              .add(
                  atNanos,
                  () -> {
                    request.nextCheck = null;
                    retry.run();
                  });
    }
  }
}
