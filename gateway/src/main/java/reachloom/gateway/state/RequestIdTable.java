package reachloom.gateway.state;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which open request holds each id, and which one has held it until a short time ago. An id is held
 * by one request at a time. The number of ended requests is limited; the open ones are limited by
 * their registry.
 *
 * <p>Confined to the event loop's thread. All times are nanoseconds on its clock.
 */
public final class RequestIdTable {
  /** Longer than it takes to cancel an attempt, and to handle what has arrived before. */
  static final long ENDED_RETENTION_NANOS = 250_000_000;

  static final int MAX_ENDED = 4_096;

  /**
   * A request that has held its id.
   *
   * @param connection the handle of its connection
   * @param answered whether it was responded to; otherwise its client has cancelled it or left
   * @param endedAtNanos when it was closed
   */
  public record EndedRequest(
      long connection, StatementFingerprint statement, boolean answered, long endedAtNanos) {
    /** Describes a closed request. */
    public static EndedRequest of(ClientRequest request) {
      return new EndedRequest(
          request.connection,
          StatementFingerprint.of(request),
          !request.clientGone,
          request.closedAtNanos);
    }
  }

  private final Map<String, ClientRequest> holders = new HashMap<>();

  /** The ended requests by id, in the order in which they ended. */
  private final Map<String, EndedRequest> ended = new LinkedHashMap<>();

  /** Returns the open request that holds an id. */
  public Optional<ClientRequest> holder(String id) {
    return Optional.ofNullable(holders.get(id));
  }

  /** Returns the last request that has held an id, if it ended a short time ago. */
  public Optional<EndedRequest> lastEnded(String id) {
    return Optional.ofNullable(ended.get(id));
  }

  /** Makes an open request the holder of its id, which must be free. */
  public void hold(ClientRequest request) {
    holders.put(request.id, request);
  }

  /** Frees the id of a request that was just closed; ignores one that does not hold its id. */
  public void release(ClientRequest request) {
    if (holders.remove(request.id, request)) {
      removeEndedBefore(request.closedAtNanos - ENDED_RETENTION_NANOS);
      ended.remove(request.id);
      ended.put(request.id, EndedRequest.of(request));
    }
  }

  private void removeEndedBefore(long nanos) {
    Iterator<EndedRequest> oldestFirst = ended.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean expired = oldestFirst.next().endedAtNanos() < nanos;
      if (!expired && ended.size() < MAX_ENDED) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Returns the number of ids that are held. */
  public int heldCount() {
    return holders.size();
  }

  /** Returns the number of ended requests. */
  int endedCount() {
    return ended.size();
  }
}
