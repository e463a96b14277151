package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * What the members of one place are known to have in force, and who of them counts it for the
 * issuers.
 */
final class AcknowledgementAggregator {
  /** A member's own word: what it has in force, or refuses where the reason isn't empty. */
  private record Report(long number, long mark, String refusal) {}

  /** Counters of a place: one may fail, and the other counts on. */
  static final int COUNTERS = 2;

  private static final int MAX_REPORTS = 2_048;
  private static final int MAX_NAMED = 8;
  private static final int MAX_REFUSAL = 120; // characters
  private static final long FNV = 0xcbf29ce484222325L; // FNV-1a, and the finish of MurmurHash3
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX = 0xff51afd7ed558ccdL;

  private final TreeMap<String, Report> reports = new TreeMap<>();

  /**
   * The names that count for a place, of those present there: rendezvous hashing, the same for
   * each.
   */
  static List<String> counters(int place, Collection<String> names) {
    TreeMap<Long, String> lightest = new TreeMap<>();
    for (String n : names) {
      lightest.put(weight(place, n), n);
      if (lightest.size() > COUNTERS) {
        lightest.pollLastEntry();
      }
    }
    return List.copyOf(lightest.values());
  }

  /** Whether that one may be a counter there, as members don't all see the same others. */
  static boolean mayCount(int place, Collection<String> names, String who) {
    long own = weight(place, who);
    return names.stream().filter(n -> weight(place, n) < own).count() < 2 * COUNTERS;
  }

  private static long weight(int place, String name) {
    long hash = (FNV ^ place) * FNV_PRIME;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ hash >>> Integer.SIZE) * MIX;
    return hash ^ hash >>> Integer.SIZE;
  }

  /** What a member has in force, by its own word; whether that is new. */
  boolean note(String name, long number, long mark, String refusal) {
    if (reports.size() >= MAX_REPORTS && !reports.containsKey(name)) {
      return false;
    }
    String why = refusal.substring(0, Math.min(MAX_REFUSAL, refusal.length()));
    Report told = new Report(number, mark, why);
    return !told.equals(reports.put(name, told));
  }

  /**
   * A packet tells what its sender has in force; that it refuses a newer one stays as it was told.
   */
  boolean have(String name, long number, long mark) {
    Report before = reports.get(name);
    boolean refuses = before != null && !before.refusal.isEmpty() && before.number > number;
    return !refuses && note(name, number, mark, "");
  }

  /** Only those present are remembered. */
  void keep(Collection<String> present) {
    reports.keySet().retainAll(present);
  }

  boolean has(String name, RevisionLog.Entry newest) {
    return is(reports.get(name), newest, true);
  }

  boolean refuses(String name, RevisionLog.Entry newest) {
    return is(reports.get(name), newest, false);
  }

  private static boolean is(Report r, RevisionLog.Entry newest, boolean inForce) {
    return r != null
        && r.number == newest.revision().number()
        && r.mark == newest.mark()
        && r.refusal.isEmpty() == inForce;
  }

  /** The sum over those members. */
  RevisionMessage.Census census(
      int place, RevisionLog.Entry newest, Collection<String> members, long longest) {
    int inForce = 0;
    int refused = 0;
    List<String> lacking = new ArrayList<>();
    for (String name : members) {
      if (has(name, newest)) {
        inForce++;
        continue;
      }
      refused += refuses(name, newest) ? 1 : 0;
      if (lacking.size() < MAX_NAMED) {
        lacking.add(name);
      }
    }
    boolean all = inForce == members.size();
    return new RevisionMessage.Census(
        place,
        newest.revision().number(),
        members.size(),
        inForce,
        refused,
        List.copyOf(lacking),
        all ? 0 : longest);
  }
}
