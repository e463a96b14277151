package reachloom.gateway.state;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.QueryClass;

/**
 * The idempotency keys of the requests whose class needs one. A key is the same for all tries of
 * one request, which have one statement: engines drop what has a key that they know. The number of
 * keys is limited by that of the requests.
 *
 * <p>Confined to the event loop's thread.
 */
public final class IdempotencyKeyTable {
  private final List<QueryClass> classes;
  private final Map<String, Set<ClientRequest>> requestsByKey = new HashMap<>();

  /** Creates an empty table for requests of the given classes. */
  public IdempotencyKeyTable(List<QueryClass> classes) {
    this.classes = classes;
  }

  /** Returns whether the key of a request, if it has one, is that of another statement. */
  public boolean isTaken(ClientRequest request) {
    if (request.key == null) {
      return false;
    }
    Set<ClientRequest> holders = requestsByKey.getOrDefault(request.key, Set.of());
    return !holders.isEmpty() && !request.hasSameStatement(holders.iterator().next());
  }

  /** Adds a request whose key is not taken; ignores one whose class needs no key. */
  public void add(ClientRequest request) {
    if (needsKey(request)) {
      requestsByKey.computeIfAbsent(request.key, key -> new LinkedHashSet<>()).add(request);
    }
  }

  /** Removes a request; ignores one that was not added. */
  public void remove(ClientRequest request) {
    if (needsKey(request)) {
      requestsByKey.computeIfPresent(
          request.key,
          (key, requests) -> {
            requests.remove(request);
            return requests.isEmpty() ? null : requests;
          });
    }
  }

  private boolean needsKey(ClientRequest request) {
    return classes.get(request.classIndex).idempotency() == Idempotency.IDEMPOTENT_BY_KEY;
  }

  /** Returns the number of keys. */
  public int size() {
    return requestsByKey.size();
  }
}
