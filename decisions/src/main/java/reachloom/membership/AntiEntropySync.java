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
 * Brings the member tables of two nodes together: a node sends digests of what it holds, the other
 * answers with the members that differ or are missing. Rounds that bring nothing new come less and
 * less often. Confined to the thread that calls {@link MembershipService}.
 */
final class AntiEntropySync {
  private static final int MAX_INTERVAL_PERIODS = 12; // between two rounds, on average
  private static final int CROWD = 3; // newcomers after which tables are compared soon
  private static final int FOLLOW_UP_SHARE = 10; // of a period at least until the next request
  private static final int DIGEST_BYTES = 2;
  private static final int MAX_NAME_BYTES = 33; // of a name on the wire

  private final long periodNanos;
  private final MemberTable members;
  private final MemberMessenger messenger;
  private final SplittableRandom random;
  private long nextSyncAtNanos;

  /** The name up to which the last request told of the table; empty at its start. */
  private String syncedUpTo = "";

  /** Whether the last response brought something new, or left something out. */
  private boolean incomplete;

  /** The member that left something out of its last response; null for none. */
  private Member unfinishedResponder;

  /** Whether a request is out that has not been answered. */
  private boolean requested;

  /** Rounds in a row that brought nothing new. */
  private int quietRounds;

  /** Members that have come since the last request. */
  private int newcomers;

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

  /** A member has been added: where many come, there are more than updates can tell of in time. */
  void onMemberAdded(long nowNanos) {
    if (++newcomers >= CROWD) {
      quietRounds = 0;
      advanceTo(nowNanos + periodNanos / 2 + random.nextLong(periodNanos));
    }
  }

  private void advanceTo(long atNanos) {
    nextSyncAtNanos = Math.min(nextSyncAtNanos, atNanos);
  }

  /**
   * Asks a member drawn by chance for what it holds and this node does not, when it is time to. A
   * member that has more to tell is asked again: it needs no certificate any more, and knows what
   * it told.
   */
  void tick(long nowNanos) {
    if (nowNanos < nextSyncAtNanos || members.presentCount() == 0) {
      return;
    }
    boolean askAgain =
        incomplete && unfinishedResponder != null && unfinishedResponder.state == MemberState.ALIVE;
    List<Member> drawn = askAgain ? List.of(unfinishedResponder) : members.drawAlive(1);
    if (!drawn.isEmpty()) {
      unfinishedResponder = null;
      request(nowNanos, drawn.get(0));
    }
  }

  private void request(long nowNanos, Member responder) {
    int salt = random.nextInt();
    MembershipMessage empty = new MembershipMessage.SyncRequest(syncedUpTo, "", salt, List.of());
    int bytes = messenger.messageBytes(responder, empty) + MAX_NAME_BYTES;
    if (!messenger.hasRoom(nowNanos, Purpose.SYNC, bytes)) {
      nextSyncAtNanos = nowNanos + random.nextLong(periodNanos);
      return;
    }
    int maxDigests = (messenger.maxSyncBytes(nowNanos, bytes) - bytes) / DIGEST_BYTES;
    MembershipMessage.SyncRequest request = digestsFrom(syncedUpTo, salt, maxDigests);
    messenger.sendAlone(nowNanos, responder, request, 0);
    syncedUpTo = request.lastName();
    requested = true;
    newcomers = 0;
    scheduleNext(nowNanos, request.lastName().isEmpty());
  }

  /**
   * A request with the digests of the members after that name. Where the table is too large for one
   * request, the next one goes on behind its last name.
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
    boolean toTheEnd = lastName.isEmpty() || members.isLast(lastName);
    return new MembershipMessage.SyncRequest(afterName, toTheEnd ? "" : lastName, salt, digests);
  }

  /** Without a response, too, there will be other rounds. */
  private void scheduleNext(long nowNanos, boolean toTheEnd) {
    if (incomplete) {
      quietRounds = 0;
    } else if (toTheEnd) {
      quietRounds++;
    }
    long pauseNanos = Math.min(MAX_INTERVAL_PERIODS, 1L + quietRounds) * periodNanos;
    nextSyncAtNanos = nowNanos + pauseNanos / 2 + random.nextLong(pauseNanos);
  }

  /** A member asks for what this node holds and it does not. */
  void onRequest(long nowNanos, Member requester, MembershipMessage.SyncRequest request) {
    MembershipMessage empty = new MembershipMessage.SyncResponse(false, List.of());
    int bytes = messenger.messageBytes(requester, empty);
    if (messenger.hasRoom(nowNanos, Purpose.SYNC, bytes)) {
      int maxBytes = messenger.maxSyncBytes(nowNanos, bytes);
      MembershipMessage response = differences(request, maxBytes - bytes);
      messenger.sendAlone(nowNanos, requester, response, maxBytes);
    }
  }

  /**
   * The members in the requested range whose digests the requester does not have; absent ones are
   * for each node to detect by itself.
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
    if (!differing.isEmpty()) { // not the same ones to each requester
      Collections.rotate(differing, random.nextInt(differing.size()));
    }
    return response(differing, maxBytes);
  }

  private MembershipMessage.SyncResponse response(List<Member> differing, int maxBytes) {
    List<MembershipUpdate> told = new ArrayList<>();
    int leftBytes = maxBytes;
    for (Member member : differing) {
      MembershipUpdate update = member.toUpdate();
      int updateBytes = messenger.updateBytes(update);
      if (updateBytes > leftBytes) {
        return new MembershipMessage.SyncResponse(true, told);
      }
      told.add(update);
      leftBytes -= updateBytes;
    }
    return new MembershipMessage.SyncResponse(false, told);
  }

  /**
   * A part of a member's table has come, as a response or as a welcome; {@code apply} takes its
   * updates in.
   *
   * @return whether the tables agree as far as this node can tell
   */
  boolean onResponse(
      long nowNanos,
      Member responder,
      MembershipMessage.SyncResponse response,
      Consumer<MembershipUpdate> apply) {
    int heldBefore = members.heldCount();
    response.updates().forEach(apply);
    boolean broughtNewMembers = members.heldCount() > heldBefore;
    // Where something was new, there is more.
    incomplete = response.truncated() || !requested || broughtNewMembers;
    unfinishedResponder = response.truncated() ? responder : null;
    if (incomplete) {
      advanceTo(nowNanos + periodNanos / FOLLOW_UP_SHARE + random.nextLong(periodNanos / 2));
    }
    requested = false;
    return !incomplete;
  }
}
