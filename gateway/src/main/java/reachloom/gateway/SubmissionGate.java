package reachloom.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;

/**
 * Decides when an admitted request may be submitted to the scheduler: once all input of its client
 * was read, since the client may have cancelled it or be gone, and once no earlier request with its
 * id can run any more.
 *
 * <p>Confined to the event loop's thread.
 */
final class SubmissionGate {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Interval at which it is checked whether the earlier request with an id has ended. */
  private static final long RETRY_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;

  /**
   * The end of a client that sends its request again on another connection is known within this
   * time. If the earlier request is open for longer, its client still waits for it.
   */
  private static final long MAX_DEPARTURE_NANOS = 100 * NANOS_PER_MILLI;

  /** What becomes of a request. */
  enum Verdict {
    /** It is submitted now. */
    SUBMIT,
    /** It waits, and is checked again. */
    WAIT,
    /** Its id belongs to a request that is open. */
    DUPLICATE
  }

  private final EventLoop loop;
  private final ClientConnectionTable clients;
  private final RequestRegistry requests;
  private final CancelledIds cancelledIds;

  SubmissionGate(
      EventLoop loop,
      ClientConnectionTable clients,
      RequestRegistry requests,
      CancelledIds cancelledIds) {
    this.loop = loop;
    this.clients = clients;
    this.requests = requests;
    this.cancelledIds = cancelledIds;
  }

  /**
   * Checks an open request that was not submitted.
   *
   * @param retry checks it again; run later if the request has to wait for an earlier one. After
   *     unread input of its client, the request has to be checked once that is read.
   */
  Verdict check(ClientRequest request, Runnable retry) {
    Optional<ClientConnection> client = clients.find(request.connection);
    if (client.isEmpty() || client.get().inputUnread) {
      return Verdict.WAIT;
    }
    Optional<ClientRequest> earlier = requests.find(request.id);
    if (earlier.isPresent()) {
      return checkWithEarlier(request, earlier.get(), retry);
    }
    OptionalLong blockedUntil = cancelledIds.blockedUntilNanos(request.id);
    if (blockedUntil.isPresent()) {
      checkAgain(request, blockedUntil.getAsLong(), retry);
      return Verdict.WAIT;
    }
    return Verdict.SUBMIT;
  }

  private Verdict checkWithEarlier(ClientRequest request, ClientRequest earlier, Runnable retry) {
    boolean clientMayLeave =
        earlier.connection != request.connection
            && loop.now() - request.receivedAtNanos < MAX_DEPARTURE_NANOS;
    if (!earlier.closed && !clientMayLeave) {
      return Verdict.DUPLICATE;
    }
    checkAgain(request, loop.now() + RETRY_INTERVAL_NANOS, retry);
    return Verdict.WAIT;
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
