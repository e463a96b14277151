package reachloom.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records when each change of the endpoint list had reached all synthetic gateways; for gateways
 * that are processes of the program this can't be observed from outside. Times are in milliseconds.
 */
final class EndpointListWatcher {
  /** Separates the keys of events in one text. */
  static final String KEY_SEPARATOR = ",";

  private static final class ListChange {
    private final long number;
    private final long announcedAt;
    private long reloadedAt;
    private final Map<Integer, long[]> countAndTimeByProcess = new LinkedHashMap<>();

    ListChange(long number, long announcedAt) {
      this.number = number;
      this.announcedAt = announcedAt;
    }

    long count() {
      return countAndTimeByProcess.values().stream().mapToLong(s -> s[0]).sum();
    }

    long latest() {
      long receivedAt =
          countAndTimeByProcess.values().stream().mapToLong(s -> s[1]).max().orElse(0);
      return Math.max(receivedAt, reloadedAt);
    }
  }

  private final Map<String, ListChange> changes = new LinkedHashMap<>();

  /** The last event of the complete list with which each gateway started, or that it reloaded. */
  private final Map<Integer, Long> completeListEvents = new LinkedHashMap<>();

  private final List<Long> healTimes = new ArrayList<>();

  /**
   * Records that an event of the list was announced. The key is the engine's name, state and start,
   * as in {@link SyntheticGateway#eventKey}.
   */
  synchronized void announced(long number, String key, long at) {
    changes.putIfAbsent(key, new ListChange(number, at));
  }

  /** Records that a gateway started with the list as of the given event. */
  synchronized void started(int gateway, long event) {
    completeListEvents.put(gateway, event);
  }

  /**
   * Records that a running gateway received a complete list as of the given event, and with it all
   * changes up to it that it had not received one by one.
   */
  synchronized void reloaded(int gateway, long event, long at, Set<String> receivedKeys) {
    Long eventBefore = completeListEvents.get(gateway);
    if (eventBefore == null) {
      return; // the gateway has ended meanwhile
    }
    changes.forEach(
        (key, change) -> {
          boolean isContained = change.number > eventBefore && change.number <= event;
          if (isContained && !receivedKeys.contains(key)) {
            change.reloadedAt = Math.max(change.reloadedAt, at);
          }
        });
    completeListEvents.put(gateway, event);
  }

  /** Records that a gateway has ended. */
  synchronized void ended(int gateway) {
    completeListEvents.remove(gateway);
  }

  /** Returns how many gateways received the change or a complete list that contained it. */
  private long count(ListChange change) {
    return change.count()
        + completeListEvents.values().stream().filter(f -> f >= change.number).count();
  }

  /**
   * Records how many gateways of a helper process have received a change since their complete list,
   * and when the last of them did.
   */
  synchronized void recordReceived(int process, String key, int count, long latest) {
    ListChange change = changes.get(key);
    if (change != null) {
      change.countAndTimeByProcess.put(process, new long[] {count, latest});
    }
  }

  /** Records that a partition has healed or that a lost control machine is back. */
  synchronized void healed(long at) {
    healTimes.add(at);
  }

  /** Returns the number of announced changes. */
  synchronized int count() {
    return changes.size();
  }

  /** Returns whether some change has not reached the given number of gateways. */
  synchronized boolean hasPending(int gateways) {
    return changes.values().stream().anyMatch(change -> count(change) < gateways);
  }

  /** Adds the figures for the given number of running synthetic gateways. */
  synchronized void figures(Map<String, Object> to, int gateways) {
    List<Double> times = new ArrayList<>();
    List<Double> primaries = new ArrayList<>();
    List<Double> behind = new ArrayList<>();
    changes.forEach(
        (key, change) -> {
          if (count(change) >= gateways && gateways > 0) {
            double seconds = Math.max(0, change.latest() - change.announcedAt) / 1e3;
            times.add(seconds);
            if (key.split(" ")[1].equals("0")) { // state UP: a new primary, or one that is back
              primaries.add(seconds);
            }
          }
          healTimes.stream()
              .filter(h -> h >= change.announcedAt)
              .mapToLong(h -> h)
              .min()
              .ifPresent(h -> behind.add(Math.max(0, change.latest() - h) / 1e3));
        });
    to.put("list_changes", changes.size());
    to.put("list_in_force_s_max", Samples.percentile(times, 1));
    to.put(
        "list_never",
        gateways == 0
            ? null
            : changes.values().stream().filter(change -> count(change) < gateways).count());
    to.put("primary_change_s_max", Samples.percentile(primaries, 1));
    to.put("behind_after_heal_s_max", Samples.percentile(behind, 1));
  }
}
