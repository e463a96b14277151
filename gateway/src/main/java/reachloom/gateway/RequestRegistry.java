package reachloom.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.GenerationalSlots;
import reachloom.gateway.state.IdempotencyKeyTable;
import reachloom.gateway.state.RequestIdTable;

/**
 * The admitted requests, until they are closed and none of their attempts is in flight. Limits
 * their number, their number per connection, and the bytes of their statements.
 *
 * <p>Confined to the event loop's thread.
 */
final class RequestRegistry {
  /** The most open requests per connection, by the protocol. */
  private static final int MAX_OPEN_PER_CONNECTION = 32;

  /** Bytes of statements in memory beyond which requests are rejected without the scheduler. */
  private static final long MAX_STATEMENT_BYTES = 8L << 20;

  /**
   * At most 1/n of the requests, or those of one connection, may wait until the input of their
   * clients is read, so that clients that send without end leave room for others.
   */
  private static final int WAITING_DIVISOR = 4;

  private final EventLoop loop;
  private final ClientConnectionTable clients;
  private final RequestIdTable requestIds;
  private final IdempotencyKeyTable keys;
  private final GenerationalSlots<ClientRequest> slots;
  private final Map<String, ClientRequest> byId = new HashMap<>();
  private final int maxWaiting;
  private long statementBytes;

  /** The number of requests that are neither submitted nor closed. */
  private int waiting;

  /** Creates an empty registry for at most {@code maxRequests} requests. */
  RequestRegistry(
      EventLoop loop,
      ClientConnectionTable clients,
      RequestIdTable requestIds,
      IdempotencyKeyTable keys,
      int maxRequests) {
    this.loop = loop;
    this.clients = clients;
    this.requestIds = requestIds;
    this.keys = keys;
    slots = new GenerationalSlots<>(maxRequests);
    maxWaiting = Math.max(MAX_OPEN_PER_CONNECTION, maxRequests / WAITING_DIVISOR);
  }

  /**
   * Returns the submitted request of an id, also one that is closed while an attempt of it is in
   * flight.
   */
  Optional<ClientRequest> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Admits a request of a client; returns false, without any change, if a limit is reached. */
  boolean admit(ClientConnection client, ClientRequest request) {
    if (client.openRequests.size() >= MAX_OPEN_PER_CONNECTION
        || client.inputUnread && waiting >= maxWaiting
        || statementBytes + request.frame.length > MAX_STATEMENT_BYTES) {
      return false;
    }
    request.handle = slots.add(request);
    if (request.handle == GenerationalSlots.NONE) {
      return false;
    }
    statementBytes += request.frame.length;
    waiting++;
    client.openRequests.put(request.sequence, request);
    keys.add(request);
    clients.touch(client, loop.now());
    return true;
  }

  /** Makes an admitted request the one of its id, from when the scheduler knows it. */
  void submit(ClientRequest request) {
    request.submitted = true;
    waiting--;
    byId.put(request.id, request);
  }

  /** Closes a request: no further response is sent to its client. */
  void close(ClientRequest request) {
    if (!request.closed) {
      closeOpen(request);
    }
    loop.deadlines().cancel(request.expiryTimer);
    clients
        .find(request.connection)
        .ifPresent(
            client -> {
              client.openRequests.remove(request.sequence, request);
              clients.touch(client, loop.now());
            });
  }

  private void closeOpen(ClientRequest request) {
    if (!request.submitted) {
      waiting--;
    }
    request.closed = true;
    request.closedAtNanos = loop.now();
    requestIds.release(request);
  }

  /** Removes a request if it is closed and has no attempt in flight. */
  void removeIfDone(ClientRequest request) {
    if (request.closed && request.attemptsInFlight == 0 && slots.get(request.handle) == request) {
      slots.remove(request.handle);
      byId.remove(request.id, request);
      keys.remove(request);
      statementBytes -= request.frame.length;
    }
  }

  /** Returns the requests that are not closed. */
  List<ClientRequest> open() {
    return slots.all().stream().filter(request -> !request.closed).toList();
  }

  /** Returns the number of requests, open or closed. */
  int size() {
    return slots.size();
  }

  /** Returns the number of request ids. */
  int ids() {
    return byId.size();
  }

  /** Returns the bytes of statements in memory. */
  long statementBytes() {
    return statementBytes;
  }
}
