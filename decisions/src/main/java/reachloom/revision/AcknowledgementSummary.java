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
 * The latest acknowledgement counts that an issuer has received from the aggregators of each place.
 * Bounded by places and by aggregators per place. Times are nanoseconds of the clock that the
 * caller passes in; confined to the thread of {@link RevisionDissemination}.
 */
final class AcknowledgementSummary {
  private record Received(RevisionMessage.Census census, long atNanos) {}

  private static final int MAX_PLACES = 256;

  /** Per place; while members join and leave, more than the elected ones aggregate temporarily. */
  private static final int MAX_AGGREGATORS = 4;

  private static final long MAX_AGE_NANOS = 60_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final int REGION_SHIFT = 8;
  private static final int ZONE_MASK = 0xff;

  /** By place, then by name of the aggregator. */
  private final TreeMap<Integer, TreeMap<String, Received>> byPlace = new TreeMap<>();

  /** Records the counts of an aggregator. */
  void record(long nowNanos, String aggregator, RevisionMessage.Census census) {
    if (byPlace.size() >= MAX_PLACES && !byPlace.containsKey(census.place())) {
      return;
    }
    TreeMap<String, Received> ofPlace =
        byPlace.computeIfAbsent(census.place(), k -> new TreeMap<>());
    ofPlace.values().removeIf(r -> nowNanos - r.atNanos > MAX_AGE_NANOS);
    ofPlace.put(aggregator, new Received(census, nowNanos));
    if (ofPlace.size() > MAX_AGGREGATORS) {
      // A member that sees few others may elect itself temporarily.
      ofPlace.remove(
          Collections.min(ofPlace.entrySet(), Comparator.comparingLong(e -> e.getValue().atNanos))
              .getKey());
    }
  }

  /** Returns the counts of the newest revision; among equals, those with the most in force. */
  private static Received best(Collection<Received> ofPlace) {
    Received best = null;
    for (Received r : ofPlace) {
      boolean better =
          best == null
              || r.census.number() > best.census.number()
              || r.census.number() == best.census.number()
                  && r.census.inForce() > best.census.inForce();
      best = better ? r : best;
    }
    return best;
  }

  /** Returns for each place, in order, the counts of the newest revision with the most in force. */
  List<RevisionMessage.Census> bestPerPlace() {
    return byPlace.values().stream()
        .filter(ofPlace -> !ofPlace.isEmpty())
        .map(ofPlace -> best(ofPlace.values()).census)
        .toList();
  }

  /**
   * Returns one status line per place.
   *
   * @param present number of members that this issuer sees at each place
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
    return prefix + describe(best.census) + age(nowNanos, best) + agreement(best.census, ofPlace);
  }

  private static String describe(RevisionMessage.Census census) {
    String since =
        census.longest() == 0
            ? ""
            : String.format(Locale.ROOT, " for %.1f s", census.longest() / MILLIS_PER_SECOND);
    return String.format(
        Locale.ROOT,
        "revision %d, members %d, in force %d, refused %d, lacking %s%s",
        census.number(),
        census.members(),
        census.inForce(),
        census.refused(),
        census.lacking().isEmpty() ? "none" : String.join(" ", census.lacking()),
        since);
  }

  private static String age(long nowNanos, Received received) {
    double seconds = (nowNanos - received.atNanos) / NANOS_PER_SECOND;
    return String.format(Locale.ROOT, ", told %.1f s ago", seconds);
  }

  private static String agreement(RevisionMessage.Census best, Collection<Received> ofPlace) {
    boolean agreed =
        ofPlace.stream()
            .map(Received::census)
            .allMatch(s -> s.number() == best.number() && s.inForce() == best.inForce());
    return agreed ? "" : ", counters differ";
  }
}
