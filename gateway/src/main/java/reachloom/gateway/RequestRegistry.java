package reachloom.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.GenerationalSlots;

/**
 * The requests that were admitted, until they are closed and none of their attempts is in flight.
 * Bounds their number, their number on each connection, and the bytes of their statements.
 *
 * <p>Confined to the event loop's thread.
 */
final class RequestRegistry {
  /** Requests open on one connection, as the protocol allows. */
  private static final int MAX_OPEN_PER_CONNECTION = 32;

  /** Bytes of statements in memory; beyond that, requests are rejected unseen. */
  private static final long MAX_STATEMENT_BYTES = 8L << 20;

  private final EventLoop loop;
  private final ClientConnectionTable clients;
  private final GenerationalSlots<ClientRequest> slots;
  private final Map<String, ClientRequest> byId = new HashMap<>();
  private long statementBytes;

  /** An empty registry for at most that many requests. */
  RequestRegistry(EventLoop loop, ClientConnectionTable clients, int maxRequests) {
    this.loop = loop;
    this.clients = clients;
    slots = new GenerationalSlots<>(maxRequests);
  }

  /** The request of that id, also one that is closed while an attempt of it is in flight. */
  Optional<ClientRequest> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Admits a request of a client; false where a bound is reached, and nothing has changed. */
  boolean admit(ClientConnection client, ClientRequest request) {
    if (client.openRequests.size() >= MAX_OPEN_PER_CONNECTION
        || statementBytes + request.frame.length > MAX_STATEMENT_BYTES) {
      return false;
    }
    request.handle = slots.add(request);
    if (request.handle == GenerationalSlots.NONE) {
      return false;
    }
    statementBytes += request.frame.length;
    byId.put(request.id, request);
    client.openRequests.put(request.sequence, request);
    clients.touch(client, request.receivedAtNanos);
    return true;
  }

  /** Closes a request: its client is owed nothing more. */
  void close(ClientRequest request) {
    request.closed = true;
    loop.deadlines().cancel(request.backstop);
    clients
        .find(request.connection)
        .ifPresent(
            client -> {
              client.openRequests.remove(request.sequence, request);
              clients.touch(client, loop.now());
            });
  }

  /** Removes a request that is closed and has no attempt in flight; leaves others alone. */
  void removeIfDone(ClientRequest request) {
    if (request.closed && request.attemptsInFlight == 0 && slots.get(request.handle) == request) {
      slots.remove(request.handle);
      byId.remove(request.id);
      statementBytes -= request.frame.length;
    }
  }

  /** The requests that are not closed. */
  List<ClientRequest> open() {
    return slots.all().stream().filter(request -> !request.closed).toList();
  }

  /** How many requests are known, open or closed. */
  int size() {
    return slots.size();
  }

  /** How many ids are known. */
  int ids() {
    return byId.size();
  }

  /** Bytes of statements in memory. */
  long statementBytes() {
    return statementBytes;
  }
}
