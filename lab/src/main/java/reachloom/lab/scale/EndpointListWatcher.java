package reachloom.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * When each change of the list of engines was held by all hollow gateways; of the others nobody can
 * tell from outside. Times in milliseconds.
 */
final class EndpointListWatcher {
  private static final class News {
    private final long number;
    private final long at;
    private final Map<Integer, long[]> byHost = new LinkedHashMap<>();

    News(long number, long at) {
      this.number = number;
      this.at = at;
    }

    long count() {
      return byHost.values().stream().mapToLong(h -> h[0]).sum();
    }

    long latest() {
      return byHost.values().stream().mapToLong(h -> h[1]).max().orElse(0);
    }
  }

  private final Map<String, News> news = new LinkedHashMap<>();

  /** The event up to which each gateway knew the list at its start. */
  private final Map<Integer, Long> from = new LinkedHashMap<>();

  private final List<Long> heals = new ArrayList<>();

  synchronized void announced(long number, String key, long at) {
    news.putIfAbsent(key, new News(number, at));
  }

  /** A gateway has started with the list as it was at that event. */
  synchronized void started(int gateway, long event) {
    from.put(gateway, event);
  }

  synchronized void ended(int gateway) {
    from.remove(gateway);
  }

  private long count(News n) {
    return n.count() + from.values().stream().filter(f -> f >= n.number).count();
  }

  /** So many on that host hold it by that time. */
  synchronized void held(int host, String key, int count, long latest) {
    News n = news.get(key);
    if (n != null) {
      n.byHost.put(host, new long[] {count, latest});
    }
  }

  /** What was cut off can be reached again. */
  synchronized void healed(long at) {
    heals.add(at);
  }

  /** How many changes were announced. */
  synchronized int count() {
    return news.size();
  }

  /** Whether some do not hold all. */
  synchronized boolean open(int gateways) {
    return news.values().stream().anyMatch(n -> count(n) < gateways);
  }

  synchronized void figures(Map<String, Object> to, int gateways) {
    List<Double> times = new ArrayList<>();
    List<Double> primaries = new ArrayList<>();
    List<Double> behind = new ArrayList<>();
    news.forEach(
        (key, n) -> {
          if (count(n) >= gateways && gateways > 0) {
            double seconds = Math.max(0, n.latest() - n.at) / 1e3;
            times.add(seconds);
            if (key.split(" ")[1].equals("0")) { // a new holder, or one that is back
              primaries.add(seconds);
            }
          }
          heals.stream()
              .filter(h -> h >= n.at)
              .mapToLong(h -> h)
              .min()
              .ifPresent(h -> behind.add(Math.max(0, n.latest() - h) / 1e3));
        });
    to.put("list_changes", news.size());
    to.put("list_in_force_s_max", Samples.percentile(times, 1));
    to.put(
        "list_never",
        gateways == 0 ? null : news.values().stream().filter(n -> count(n) < gateways).count());
    to.put("primary_change_s_max", Samples.percentile(primaries, 1));
    to.put("behind_after_heal_s_max", Samples.percentile(behind, 1));
  }
}
