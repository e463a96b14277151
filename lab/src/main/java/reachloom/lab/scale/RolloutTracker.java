package reachloom.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records which configuration changes are in force at which gateways, and since when. A gateway
 * that applies a change has all earlier changes in force as well; a gateway that restarts reads the
 * newest configuration. Times are in milliseconds.
 */
final class RolloutTracker {
  private static final class Change {
    private final long issuedAt;
    private int pendingGateways;
    private long lastAppliedAt;

    Change(long issuedAt) {
      this.issuedAt = issuedAt;
      lastAppliedAt = issuedAt;
    }
  }

  private final Map<Long, Change> changes = new TreeMap<>();
  private final Map<Integer, ArrayDeque<Long>> pendingByGateway = new LinkedHashMap<>();

  /** Records that a change was issued to the given gateways. */
  synchronized void issued(long change, long at, Iterable<Integer> gateways) {
    Change c = new Change(at);
    changes.put(change, c);
    for (int g : gateways) {
      pendingByGateway.computeIfAbsent(g, x -> new ArrayDeque<>()).add(change);
      c.pendingGateways++;
    }
  }

  /** Records that a change, and with it all earlier ones, is in force at a gateway. */
  synchronized void applied(int gateway, long change, long at) {
    ArrayDeque<Long> pending = pendingByGateway.getOrDefault(gateway, new ArrayDeque<>());
    while (!pending.isEmpty() && pending.peek() <= change) {
      Change c = changes.get(pending.poll());
      c.pendingGateways--;
      c.lastAppliedAt = Math.max(c.lastAppliedAt, at);
    }
  }

  /**
   * Records that a gateway has reloaded its configuration once more; reloads follow the order in
   * which the changes were issued to it.
   */
  synchronized void appliedNext(int gateway, long at) {
    ArrayDeque<Long> pending = pendingByGateway.get(gateway);
    if (pending != null && !pending.isEmpty()) {
      applied(gateway, pending.peek(), at);
    }
  }

  /**
   * Records that a gateway started with the newest configuration, so that no earlier change is
   * pending there. For a gateway that stopped, {@code at} is 0: its pending changes are removed and
   * no change gets a later time.
   */
  synchronized void started(int gateway, long at) {
    applied(gateway, Long.MAX_VALUE, at);
  }

  /** Returns whether some change is not yet in force at a gateway that it was issued to. */
  synchronized boolean hasPending() {
    return changes.values().stream().anyMatch(c -> c.pendingGateways > 0);
  }

  /** Returns the gateways at which a change is pending. */
  synchronized List<Integer> lackingGateways() {
    return pendingByGateway.entrySet().stream()
        .filter(e -> !e.getValue().isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Adds the figures; times in seconds, null if no change is in force at all its gateways. */
  synchronized void figures(Map<String, Object> to) {
    List<Double> times = new ArrayList<>();
    changes.values().stream()
        .filter(c -> c.pendingGateways == 0)
        .forEach(c -> times.add((c.lastAppliedAt - c.issuedAt) / 1e3));
    to.put("changes", changes.size());
    to.put("config_in_force_s_p50", Samples.percentile(times, 0.5));
    to.put("config_in_force_s_p99", Samples.percentile(times, 0.99));
    to.put("config_in_force_s_max", Samples.percentile(times, 1));
    to.put("config_never", changes.values().stream().filter(c -> c.pendingGateways > 0).count());
  }
}
