package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * What each member of the own place has in force, by its own word, and the sum of it for the
 * issuers. Every member keeps this; only those that {@link AggregatorElection} names report it.
 * Bounded; confined to the thread of {@link RevisionDissemination}.
 */
final class AcknowledgementAggregator {
  /** What a member has in force, or rejects where the reason is not empty. */
  private record Acknowledged(long number, long fingerprint, String rejection) {}

  private static final int MAX_MEMBERS = 2_048;

  /** Members that the sum names as lacking the newest. */
  private static final int MAX_NAMED = 8;

  /** Characters of a reason that are kept. */
  private static final int MAX_REJECTION_LENGTH = 120;

  private final TreeMap<String, Acknowledged> byMember = new TreeMap<>();

  /**
   * Notes what a member has in force, or rejects.
   *
   * @param rejection why the revision can't be put in force; empty where it is in force
   * @return whether that is new
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
   * Notes what a member has in force, as told by each of its packets. That it rejects a newer one
   * is told by acknowledgements only, and stays.
   *
   * @return whether that is new
   */
  boolean recordInForce(String member, long number, long fingerprint) {
    Acknowledged before = byMember.get(member);
    boolean rejectsNewer = before != null && !before.rejection.isEmpty() && before.number > number;
    return !rejectsNewer && record(member, number, fingerprint, "");
  }

  /** Forgets all members but those. */
  void retainOnly(Collection<String> present) {
    byMember.keySet().retainAll(present);
  }

  /** Whether a member has that revision in force. */
  boolean isInForceAt(String member, RevisionLog.Entry revision) {
    return concerns(byMember.get(member), revision, true);
  }

  /** Whether a member rejects that revision. */
  boolean isRejectedAt(String member, RevisionLog.Entry revision) {
    return concerns(byMember.get(member), revision, false);
  }

  private static boolean concerns(
      Acknowledged acknowledged, RevisionLog.Entry revision, boolean inForce) {
    return acknowledged != null
        && acknowledged.number == revision.number()
        && acknowledged.fingerprint == revision.fingerprint()
        && acknowledged.rejection.isEmpty() == inForce;
  }

  /**
   * The sum over those members.
   *
   * @param newestForMillis for how long the newest revision is known; told as the time for which
   *     the first member lacks it
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
