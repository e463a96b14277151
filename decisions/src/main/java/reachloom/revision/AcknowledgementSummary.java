package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * At an issuer: the sums that the aggregators of each place sent last. Bounded by places and by
 * aggregators of a place. Times are nanoseconds of the clock handed in; confined to the thread of
 * {@link RevisionDissemination}.
 */
final class AcknowledgementSummary {
  private record Received(RevisionMessage.Census sum, long atNanos) {}

  private static final int MAX_PLACES = 256;

  /** Of a place: while members come and go, more than the elected ones aggregate for a moment. */
  private static final int MAX_AGGREGATORS = 4;

  private static final long MAX_AGE_NANOS = 60_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final int REGION_SHIFT = 8;
  private static final int ZONE_MASK = 0xff;

  /** By place, then by name of the aggregator. */
  private final TreeMap<Integer, TreeMap<String, Received>> byPlace = new TreeMap<>();

  /** Takes in the sum that an aggregator sent. */
  void record(long nowNanos, String aggregator, RevisionMessage.Census sum) {
    if (byPlace.size() >= MAX_PLACES && !byPlace.containsKey(sum.place())) {
      return;
    }
    TreeMap<String, Received> ofPlace = byPlace.computeIfAbsent(sum.place(), k -> new TreeMap<>());
    ofPlace.values().removeIf(r -> nowNanos - r.atNanos > MAX_AGE_NANOS);
    ofPlace.put(aggregator, new Received(sum, nowNanos));
    if (ofPlace.size() > MAX_AGGREGATORS) { // some aggregated only as long as they saw few others
      ofPlace.remove(
          Collections.min(ofPlace.entrySet(), Comparator.comparingLong(e -> e.getValue().atNanos))
              .getKey());
    }
  }

  /** The best informed sum: of the newest revision, of equals that with the most in force. */
  private static Received best(Collection<Received> sums) {
    Received best = null;
    for (Received r : sums) {
      boolean better =
          best == null
              || r.sum.number() > best.sum.number()
              || r.sum.number() == best.sum.number() && r.sum.inForce() > best.sum.inForce();
      best = better ? r : best;
    }
    return best;
  }

  /** The best informed sum of each place, in the order of places. */
  List<RevisionMessage.Census> bestPerPlace() {
    return byPlace.values().stream()
        .filter(ofPlace -> !ofPlace.isEmpty())
        .map(ofPlace -> best(ofPlace.values()).sum)
        .toList();
  }

  /**
   * One status line for each place.
   *
   * @param present how many members this issuer sees at each place
   */
  List<String> statusLines(long nowNanos, Map<Integer, Integer> present) {
    TreeMap<Integer, Integer> seen = new TreeMap<>(present);
    byPlace.keySet().forEach(place -> seen.putIfAbsent(place, 0));
    List<String> lines = new ArrayList<>();
    seen.forEach((place, members) -> lines.add(statusLine(nowNanos, place, members)));
    return lines;
  }

  private String statusLine(long nowNanos, int place, int seen) {
    String prefix = "place " + (place >> REGION_SHIFT) + "." + (place & ZONE_MASK) + ": ";
    Collection<Received> ofPlace = byPlace.getOrDefault(place, new TreeMap<>()).values();
    if (ofPlace.isEmpty()) {
      return prefix + "seen " + seen + ", nothing told";
    }
    Received best = best(ofPlace);
    return prefix + describe(best.sum) + age(nowNanos, best) + agreement(best.sum, ofPlace);
  }

  private static String describe(RevisionMessage.Census sum) {
    String since =
        sum.longest() == 0
            ? ""
            : String.format(Locale.ROOT, " for %.1f s", sum.longest() / MILLIS_PER_SECOND);
    return String.format(
        Locale.ROOT,
        "revision %d, members %d, in force %d, refused %d, lacking %s%s",
        sum.number(),
        sum.members(),
        sum.inForce(),
        sum.refused(),
        sum.lacking().isEmpty() ? "none" : String.join(" ", sum.lacking()),
        since);
  }

  private static String age(long nowNanos, Received received) {
    double seconds = (nowNanos - received.atNanos) / NANOS_PER_SECOND;
    return String.format(Locale.ROOT, ", told %.1f s ago", seconds);
  }

  private static String agreement(RevisionMessage.Census best, Collection<Received> ofPlace) {
    boolean agreed =
        ofPlace.stream()
            .map(Received::sum)
            .allMatch(s -> s.number() == best.number() && s.inForce() == best.inForce());
    return agreed ? "" : ", counters differ";
  }
}
