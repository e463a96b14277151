package reachloom.revision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What an issuer was told of each place by those that count there. */
final class AcknowledgementSummary {
  private record Told(RevisionMessage.Census census, long at) {}

  private static final int MAX_PLACES = 256;
  private static final int MAX_TELLERS =
      4; // of a place: while members come and go there are more than two
  private static final long MEMORY = 60_000_000_000L; // nanoseconds
  private static final double SECOND = 1e9;
  private static final double MILLIS = 1e3; // in a second
  private static final int REGION_SHIFT = 8;
  private static final int ZONE_MASK = 0xff;

  private final TreeMap<Integer, TreeMap<String, Told>> places = new TreeMap<>();

  void told(long now, String teller, RevisionMessage.Census census) {
    if (places.size() >= MAX_PLACES && !places.containsKey(census.place())) {
      return;
    }
    TreeMap<String, Told> of = places.computeIfAbsent(census.place(), k -> new TreeMap<>());
    of.values().removeIf(t -> now - t.at > MEMORY);
    of.put(teller, new Told(census, now));
    if (of.size() > MAX_TELLERS) { // some counted only as long as they saw few others
      of.remove(
          Collections.min(of.entrySet(), Comparator.comparingLong(e -> e.getValue().at)).getKey());
    }
  }

  /** The best word of a place: the newest revision, of equals the one that most have in force. */
  private static Told best(Map<String, Told> of) {
    Told best = null;
    for (Told t : of.values()) {
      boolean better =
          best == null
              || t.census.number() > best.census.number()
              || t.census.number() == best.census.number()
                  && t.census.inForce() > best.census.inForce();
      best = better ? t : best;
    }
    return best;
  }

  /** The best word of each place. */
  List<RevisionMessage.Census> all() {
    return places.values().stream().filter(p -> !p.isEmpty()).map(p -> best(p).census).toList();
  }

  /** The places in words; {@code present} is how many members are seen at each. */
  List<String> lines(long now, Map<Integer, Integer> present) {
    List<String> lines = new ArrayList<>();
    TreeMap<Integer, Integer> all = new TreeMap<>(present);
    places.keySet().forEach(p -> all.putIfAbsent(p, 0));
    all.forEach(
        (place, seen) -> {
          String where = "place " + (place >> REGION_SHIFT) + "." + (place & ZONE_MASK) + ": ";
          Map<String, Told> of = places.getOrDefault(place, new TreeMap<>());
          if (of.isEmpty()) {
            lines.add(where + "seen " + seen + ", nothing told");
            return;
          }
          Told t = best(of);
          RevisionMessage.Census c = t.census;
          boolean agreed =
              of.values().stream()
                  .allMatch(
                      o -> o.census.number() == c.number() && o.census.inForce() == c.inForce());
          lines.add(
              where
                  + String.format(
                      Locale.ROOT,
                      "revision %d, members %d, in force %d, refused %d, lacking %s%s, told %.1f s ago%s",
                      c.number(),
                      c.members(),
                      c.inForce(),
                      c.refused(),
                      c.lacking().isEmpty() ? "none" : String.join(" ", c.lacking()),
                      c.longest() == 0
                          ? ""
                          : String.format(Locale.ROOT, " for %.1f s", c.longest() / MILLIS),
                      (now - t.at) / SECOND,
                      agreed ? "" : ", counters differ"));
        });
    return lines;
  }
}
