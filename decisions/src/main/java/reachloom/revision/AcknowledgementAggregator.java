package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Collects the acknowledgements of the members of the own place, and counts them for the issuers.
 * Every member keeps this; only those that {@link AggregatorElection} elects report it. Bounded;
 * confined to the thread of {@link RevisionDissemination}.
 */
final class AcknowledgementAggregator {
  /** The revision that a member has in force, or rejects if {@code rejection} is not empty. */
  private record Acknowledged(long number, long fingerprint, String rejection) {}

  private static final int MAX_MEMBERS = 2_048;

  /** Maximum number of members that the counts name as lacking the newest revision. */
  private static final int MAX_NAMED = 8;

  /** Maximum number of characters kept of a reason for a rejection. */
  private static final int MAX_REJECTION_LENGTH = 120;

  private final TreeMap<String, Acknowledged> byMember = new TreeMap<>();

  /**
   * Records the revision that a member has in force, or rejects.
   *
   * @param rejection why the revision can't be put in force; empty if it is in force
   * @return whether that is a change
   */
  boolean record(String member, long number, long fingerprint, String rejection) {
    if (byMember.size() >= MAX_MEMBERS && !byMember.containsKey(member)) {
      return false;
    }
    String kept = rejection.substring(0, Math.min(MAX_REJECTION_LENGTH, rejection.length()));
    Acknowledged acknowledged = new Acknowledged(number, fingerprint, kept);
    return !acknowledged.equals(byMember.put(member, acknowledged));
  }

  /**
   * Records the revision that a member has in force, as reported by each of its packets. A recorded
   * rejection of a newer revision is kept, since only acknowledgements report rejections.
   *
   * @return whether that is a change
   */
  boolean recordInForce(String member, long number, long fingerprint) {
    Acknowledged before = byMember.get(member);
    boolean rejectsNewer = before != null && !before.rejection.isEmpty() && before.number > number;
    return !rejectsNewer && record(member, number, fingerprint, "");
  }

  /** Removes all members except those. */
  void retainOnly(Collection<String> present) {
    byMember.keySet().retainAll(present);
  }

  /** Returns whether a member has that revision in force. */
  boolean isInForceAt(String member, RevisionLog.Entry revision) {
    return hasAcknowledged(byMember.get(member), revision, true);
  }

  /** Returns whether a member rejects that revision. */
  boolean isRejectedAt(String member, RevisionLog.Entry revision) {
    return hasAcknowledged(byMember.get(member), revision, false);
  }

  private static boolean hasAcknowledged(
      Acknowledged acknowledged, RevisionLog.Entry revision, boolean inForce) {
    return acknowledged != null
        && acknowledged.number == revision.number()
        && acknowledged.fingerprint == revision.fingerprint()
        && acknowledged.rejection.isEmpty() == inForce;
  }

  /**
   * Counts the acknowledgements of those members.
   *
   * @param newestForMillis the time since the newest revision was added; reported as the time for
   *     which members have lacked it
   */
  RevisionMessage.Census summarize(
      int place, RevisionLog.Entry newest, Collection<String> members, long newestForMillis) {
    int inForce = 0;
    int rejected = 0;
    List<String> lacking = new ArrayList<>();
    for (String member : members) {
      if (isInForceAt(member, newest)) {
        inForce++;
        continue;
      }
      rejected += isRejectedAt(member, newest) ? 1 : 0;
      if (lacking.size() < MAX_NAMED) {
        lacking.add(member);
      }
    }
    boolean complete = inForce == members.size();
    return new RevisionMessage.Census(
        place,
        newest.number(),
        members.size(),
        inForce,
        rejected,
        List.copyOf(lacking),
        complete ? 0 : newestForMillis);
  }
}
