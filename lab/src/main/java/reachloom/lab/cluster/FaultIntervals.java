package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The spans of time in which components were impaired, by component. Times are nanoseconds; events
 * are recorded in order of time.
 *
 * @param <K> identifies a component
 */
final class FaultIntervals<K> {
  private record Interval(long from, long to) {}

  private final Map<K, List<Interval>> endedByComponent = new HashMap<>();
  private final Map<K, Long> openSince = new HashMap<>();

  /** Records that a component is impaired from now on, or no longer; repetitions are ignored. */
  void record(K component, boolean impaired, long now) {
    if (impaired) {
      openSince.putIfAbsent(component, now);
    } else if (openSince.containsKey(component)) {
      endedByComponent
          .computeIfAbsent(component, k -> new ArrayList<>())
          .add(new Interval(openSince.remove(component), now));
    }
  }

  /** Returns whether a component was impaired at some time after {@code from}, or is still. */
  boolean impairedSince(K component, long from) {
    return openSince.containsKey(component) || ended(component).stream().anyMatch(i -> i.to > from);
  }

  /**
   * Returns the first time from {@code at} on at which a component was not impaired; {@code
   * Long.MAX_VALUE} if it still is.
   */
  long recoveredAt(K component, long at) {
    long recoveredAt = at;
    for (Interval interval : ended(component)) {
      if (interval.from <= recoveredAt && interval.to > recoveredAt) {
        recoveredAt = interval.to;
      }
    }
    Long since = openSince.get(component);
    return since != null && since <= recoveredAt ? Long.MAX_VALUE : recoveredAt;
  }

  private List<Interval> ended(K component) {
    return endedByComponent.getOrDefault(component, List.of());
  }
}
