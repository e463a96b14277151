package reachloom.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * Synchronizes the member tables of two nodes (anti-entropy): a node sends digests of its members,
 * and the responder returns the members that differ or are missing. The interval grows with each
 * round that brings no new member. Confined to the thread that calls {@link MembershipService}.
 */
final class AntiEntropySync {
  /** Maximum of the mean interval between two rounds. */
  private static final int MAX_INTERVAL_PERIODS = 12;

  /** Members added since the last request after which the next request is brought forward. */
  private static final int EARLY_SYNC_NEW_MEMBERS = 3;

  /** The period divided by this is the minimum delay of a follow-up request. */
  private static final int FOLLOW_UP_DELAY_DIVISOR = 10;

  private static final int DIGEST_BYTES = 2;
  private static final int MAX_NAME_BYTES = 33; // encoded length of a member's name

  private final long periodNanos;
  private final MemberTable members;
  private final MemberMessenger messenger;
  private final SplittableRandom random;
  private long nextSyncAtNanos;

  /** The name after which the next request starts; empty for the start of the table. */
  private String continueAfterName = "";

  /** Whether the last response contained new members, was truncated, or was not requested. */
  private boolean incomplete;

  /** The member whose last response was truncated; null for none. */
  private Member truncatedResponder;

  /** Whether a request is waiting for its response. */
  private boolean requestPending;

  /** Consecutive rounds without new members. */
  private int unchangedRounds;

  /** Members added since the last request. */
  private int newMembers;

  AntiEntropySync(
      long nowNanos,
      long periodNanos,
      MemberTable members,
      MemberMessenger messenger,
      SplittableRandom random) {
    this.periodNanos = periodNanos;
    this.members = members;
    this.messenger = messenger;
    this.random = random;
    nextSyncAtNanos = nowNanos + random.nextLong(periodNanos);
  }

  /**
   * Counts an added member. When many join at once, updates alone do not spread them in time, so
   * the next request is brought forward.
   */
  void onMemberAdded(long nowNanos) {
    if (++newMembers >= EARLY_SYNC_NEW_MEMBERS) {
      unchangedRounds = 0;
      scheduleNoLaterThan(nowNanos + periodNanos / 2 + random.nextLong(periodNanos));
    }
  }

  private void scheduleNoLaterThan(long atNanos) {
    nextSyncAtNanos = Math.min(nextSyncAtNanos, atNanos);
  }

  /**
   * Sends a request to a random member when the next round is due. A member whose last response was
   * truncated gets the next request as well: it holds the members that it left out, and the request
   * need not carry this node's certificate, which it has received before.
   */
  void tick(long nowNanos) {
    if (nowNanos < nextSyncAtNanos || members.presentCount() == 0) {
      return;
    }
    boolean followUp =
        incomplete && truncatedResponder != null && truncatedResponder.state == MemberState.ALIVE;
    List<Member> drawn = followUp ? List.of(truncatedResponder) : members.drawAlive(1);
    if (!drawn.isEmpty()) {
      truncatedResponder = null;
      request(nowNanos, drawn.get(0));
    }
  }

  private void request(long nowNanos, Member responder) {
    int salt = random.nextInt();
    MembershipMessage empty =
        new MembershipMessage.SyncRequest(continueAfterName, "", salt, List.of());
    int bytes = messenger.messageBytes(responder, empty) + MAX_NAME_BYTES;
    if (!messenger.hasRoom(nowNanos, Purpose.SYNC, bytes)) {
      nextSyncAtNanos = nowNanos + random.nextLong(periodNanos);
      return;
    }
    int maxDigests = (messenger.maxSyncBytes(nowNanos, bytes) - bytes) / DIGEST_BYTES;
    MembershipMessage.SyncRequest request = digestsFrom(continueAfterName, salt, maxDigests);
    messenger.sendWithoutQueuedUpdates(nowNanos, responder, request, 0);
    continueAfterName = request.lastName();
    requestPending = true;
    newMembers = 0;
    scheduleNext(nowNanos, request.lastName().isEmpty());
  }

  /**
   * Returns a request with the digests of the members whose names follow {@code afterName}. If the
   * table is too large for one request, the next request continues after its last name.
   */
  private MembershipMessage.SyncRequest digestsFrom(String afterName, int salt, int maxDigests) {
    List<Integer> digests = new ArrayList<>();
    String lastName = "";
    for (Member member : members.after(afterName)) {
      if (digests.size() >= maxDigests) {
        break;
      }
      digests.add(MemberDigest.of(salt, member));
      lastName = member.name();
    }
    boolean reachesEnd = lastName.isEmpty() || members.isLast(lastName);
    return new MembershipMessage.SyncRequest(afterName, reachesEnd ? "" : lastName, salt, digests);
  }

  /** Schedules the next round, which takes place even if the pending request gets no response. */
  private void scheduleNext(long nowNanos, boolean reachesEnd) {
    if (incomplete) {
      unchangedRounds = 0;
    } else if (reachesEnd) {
      unchangedRounds++;
    }
    long intervalNanos = Math.min(MAX_INTERVAL_PERIODS, 1L + unchangedRounds) * periodNanos;
    nextSyncAtNanos = nowNanos + intervalNanos / 2 + random.nextLong(intervalNanos);
  }

  /** Responds to a member's request with the members of this node's table that differ. */
  void onRequest(long nowNanos, Member requester, MembershipMessage.SyncRequest request) {
    MembershipMessage empty = new MembershipMessage.SyncResponse(false, List.of());
    int bytes = messenger.messageBytes(requester, empty);
    if (messenger.hasRoom(nowNanos, Purpose.SYNC, bytes)) {
      int maxBytes = messenger.maxSyncBytes(nowNanos, bytes);
      MembershipMessage response = differences(request, maxBytes - bytes);
      messenger.sendWithoutQueuedUpdates(nowNanos, requester, response, maxBytes);
    }
  }

  /**
   * Returns the present members in the requested range whose digests are not in the request. Absent
   * members are left out: each node detects failures by itself.
   */
  private MembershipMessage.SyncResponse differences(
      MembershipMessage.SyncRequest request, int maxBytes) {
    Set<Integer> digests = new TreeSet<>(request.digests());
    List<Member> differing = new ArrayList<>();
    for (Member member : members.after(request.afterName())) {
      if (!request.lastName().isEmpty() && member.name().compareTo(request.lastName()) > 0) {
        break;
      }
      if (member.state.present() && !digests.contains(MemberDigest.of(request.salt(), member))) {
        differing.add(member);
      }
    }
    if (!differing.isEmpty()) { // a truncated response starts at a different member each time
      Collections.rotate(differing, random.nextInt(differing.size()));
    }
    return response(differing, maxBytes);
  }

  private MembershipMessage.SyncResponse response(List<Member> differing, int maxBytes) {
    List<MembershipUpdate> included = new ArrayList<>();
    int remainingBytes = maxBytes;
    for (Member member : differing) {
      MembershipUpdate update = member.toUpdate();
      int updateBytes = messenger.updateBytes(update);
      if (updateBytes > remainingBytes) {
        return new MembershipMessage.SyncResponse(true, included);
      }
      included.add(update);
      remainingBytes -= updateBytes;
    }
    return new MembershipMessage.SyncResponse(false, included);
  }

  /**
   * Handles members of another node's table, received as a response to a request or as a welcome
   * message.
   *
   * @param apply processes one update
   * @return whether the tables agree as far as this node knows
   */
  boolean onResponse(
      long nowNanos,
      Member responder,
      MembershipMessage.SyncResponse response,
      Consumer<MembershipUpdate> apply) {
    int countBefore = members.storedCount();
    response.updates().forEach(apply);
    boolean addedMembers = members.storedCount() > countBefore;
    // A response with new members suggests that more members are still unknown.
    incomplete = response.truncated() || !requestPending || addedMembers;
    truncatedResponder = response.truncated() ? responder : null;
    if (incomplete) {
      long minDelayNanos = periodNanos / FOLLOW_UP_DELAY_DIVISOR;
      scheduleNoLaterThan(nowNanos + minDelayNanos + random.nextLong(periodNanos / 2));
    }
    requestPending = false;
    return !incomplete;
  }
}
