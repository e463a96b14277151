package reachloom.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which change of configuration is in force where, and since when. A gateway that takes a later
 * change has taken those before it; one that starts anew reads the newest. Times in milliseconds.
 */
final class RolloutTracker {
  private static final class Change {
    private final long issuedAt;
    private int owed;
    private long lastAt;

    Change(long issuedAt) {
      this.issuedAt = issuedAt;
      lastAt = issuedAt;
    }
  }

  private final Map<Long, Change> changes = new TreeMap<>();
  private final Map<Integer, ArrayDeque<Long>> owed = new LinkedHashMap<>();

  /** A change was issued, and goes to these gateways. */
  synchronized void issued(long change, long at, Iterable<Integer> gateways) {
    Change c = new Change(at);
    changes.put(change, c);
    for (int g : gateways) {
      owed.computeIfAbsent(g, x -> new ArrayDeque<>()).add(change);
      c.owed++;
    }
  }

  /** That change is in force at a gateway, and with it all before. */
  synchronized void applied(int gateway, long change, long at) {
    ArrayDeque<Long> mine = owed.getOrDefault(gateway, new ArrayDeque<>());
    while (!mine.isEmpty() && mine.peek() <= change) {
      Change c = changes.get(mine.poll());
      c.owed--;
      c.lastAt = Math.max(c.lastAt, at);
    }
  }

  /**
   * A gateway has read one more time what it was told to read, in the order in which it was told.
   */
  synchronized void appliedNext(int gateway, long at) {
    ArrayDeque<Long> mine = owed.get(gateway);
    if (mine != null && !mine.isEmpty()) {
      applied(gateway, mine.peek(), at);
    }
  }

  /** A gateway started anew with the newest: no older one is owed to it. */
  synchronized void started(int gateway, long at) {
    applied(gateway, Long.MAX_VALUE, at);
  }

  /** Whether some change is not in force everywhere. */
  synchronized boolean open() {
    return changes.values().stream().anyMatch(c -> c.owed > 0);
  }

  /** Who lacks a change now. */
  synchronized List<Integer> lacking() {
    return owed.entrySet().stream()
        .filter(e -> !e.getValue().isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** The figures; a time is null where no change was issued. */
  synchronized void figures(Map<String, Object> to) {
    List<Double> times = new ArrayList<>();
    changes.values().stream()
        .filter(c -> c.owed == 0)
        .forEach(c -> times.add((c.lastAt - c.issuedAt) / 1e3));
    to.put("changes", changes.size());
    to.put("config_in_force_s_p50", Samples.percentile(times, 0.5));
    to.put("config_in_force_s_p99", Samples.percentile(times, 0.99));
    to.put("config_in_force_s_max", Samples.percentile(times, 1));
    to.put("config_never", changes.values().stream().filter(c -> c.owed > 0).count());
  }
}
