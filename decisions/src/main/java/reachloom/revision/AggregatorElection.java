package reachloom.revision;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Elects the members of a place that aggregate the acknowledgements of all its members for the
 * issuers. Uses rendezvous hashing (highest random weight): members that see the same members elect
 * the same aggregators without exchanging messages.
 */
final class AggregatorElection {
  /** Number of aggregators per place, so that one may fail. */
  static final int AGGREGATORS = 2;

  // The hash is FNV-1a, with the finalizer of MurmurHash3.
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MURMUR_MULTIPLIER = 0xff51afd7ed558ccdL;

  private AggregatorElection() {}

  /** Returns the aggregators of a place among the members that are present there. */
  static List<String> elect(int place, Collection<String> members) {
    TreeMap<Long, String> lowest = new TreeMap<>();
    for (String name : members) {
      lowest.put(rank(place, name), name);
      if (lowest.size() > AGGREGATORS) {
        lowest.pollLastEntry();
      }
    }
    return List.copyOf(lowest.values());
  }

  /**
   * Returns whether a member may be an aggregator of that place, allowing for members that it does
   * not see but this one does.
   */
  static boolean isCandidate(int place, Collection<String> members, String name) {
    long own = rank(place, name);
    return members.stream().filter(n -> rank(place, n) < own).count() < 2 * AGGREGATORS;
  }

  private static long rank(int place, String name) {
    long hash = (FNV_OFFSET ^ place) * FNV_PRIME;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ hash >>> Integer.SIZE) * MURMUR_MULTIPLIER;
    return hash ^ hash >>> Integer.SIZE;
  }
}
