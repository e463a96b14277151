package reachloom.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * Joins nodes to the cluster: a node pings the seeds of its settings until they are members, sends
 * a sample of the members to each joining node, and periodically pings members that it considers
 * failed, so that the halves of a partitioned cluster merge again. Confined to the thread that
 * calls {@link MembershipService}.
 */
final class JoinProtocol {
  private static final int RECONNECT_INTERVAL_PERIODS = 4; // of pings to failed members and seeds
  private static final double MEAN_UNSOLICITED_WELCOMES = 4; // per joining node
  private static final int MAX_BACKOFF_DOUBLINGS = 1; // of the interval between pings to seeds

  private final long localAddress;
  private final long periodNanos;
  private final MemberTable members;
  private final MemberMessenger messenger;
  private final SplittableRandom random;
  private List<Long> seeds;
  private long nextReconnectAtNanos;
  private int failedAttempts;

  JoinProtocol(
      MembershipSettings settings,
      long nowNanos,
      MemberTable members,
      MemberMessenger messenger,
      SplittableRandom random) {
    localAddress = settings.address();
    seeds = settings.seeds();
    periodNanos = settings.periodNanos();
    this.members = members;
    this.messenger = messenger;
    this.random = random;
    nextReconnectAtNanos = nowNanos; // a starting node pings a seed at once
  }

  void setSeeds(List<Long> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /** Pings one failed member and one seed that is not a member, when the next attempt is due. */
  void tick(long nowNanos) {
    if (nowNanos < nextReconnectAtNanos) {
      return;
    }
    nextReconnectAtNanos = nowNanos + RECONNECT_INTERVAL_PERIODS * periodNanos;
    pingFailedMember(nowNanos);
    pingSeed(nowNanos);
  }

  private void pingFailedMember(long nowNanos) {
    List<Member> failed = members.inState(MemberState.DEAD).toList();
    if (!failed.isEmpty()) {
      Member member = failed.get(random.nextInt(failed.size()));
      messenger.send(nowNanos, Purpose.SYNC, member, ping(member.name()));
    }
  }

  private void pingSeed(long nowNanos) {
    List<Long> nonMembers = seeds.stream().filter(seed -> !isPresent(seed)).toList();
    if (nonMembers.isEmpty()) {
      return;
    }
    long seed = nonMembers.get(random.nextInt(nonMembers.size()));
    messenger.send(nowNanos, Purpose.SYNC, "", seed, ping(""));
    if (members.presentCount() == 0) {
      // Twice as long from the second failed attempt on: other nodes are likely to be joining too.
      long delayNanos = periodNanos << Math.min(failedAttempts++, MAX_BACKOFF_DOUBLINGS);
      nextReconnectAtNanos = nowNanos + delayNanos / 2 + random.nextLong(delayNanos);
    }
  }

  private MembershipMessage ping(String target) {
    return new MembershipMessage.Ping(messenger.nextSequenceNumber(), target);
  }

  /** Returns whether this node itself or a present member listens at an address. */
  private boolean isPresent(long address) {
    return address == localAddress
        || members.all().stream()
            .anyMatch(member -> member.address == address && member.state.present());
  }

  /**
   * Handles an update about a joining node. Some of the nodes that receive it send a welcome
   * without a request, since the seeds may have no bandwidth left for one.
   */
  void onJoinReported(long nowNanos, Member joiningMember, MembershipUpdate local) {
    if (random.nextDouble() * members.clusterSize() < MEAN_UNSOLICITED_WELCOMES) {
      welcome(nowNanos, joiningMember, local);
    }
  }

  /**
   * Sends a random sample of the members to a joining node. When many nodes join at once, a few
   * random samples, which spread the joining nodes' next requests over all members, help more than
   * many welcomes from the seeds, which draw all of these requests to the seeds.
   *
   * @param local this node's own update, whose size determines the size of the sample
   */
  void welcome(long nowNanos, Member joiningMember, MembershipUpdate local) {
    int bytes =
        messenger.messageBytes(joiningMember, new MembershipMessage.SyncResponse(true, List.of()));
    int remainingBytes = messenger.maxWelcomeUpdateBytes(bytes);
    int count = remainingBytes / messenger.updateBytes(local);
    List<MembershipUpdate> sample = new ArrayList<>();
    for (Member other :
        members.draw(
            count,
            candidate -> candidate != joiningMember && candidate.state == MemberState.ALIVE)) {
      int updateBytes = messenger.updateBytes(other.toUpdate());
      remainingBytes -= updateBytes;
      if (remainingBytes >= 0) {
        sample.add(other.toUpdate());
        bytes += updateBytes;
      }
    }
    if (messenger.hasRoom(nowNanos, Purpose.WELCOME, bytes)) {
      MembershipMessage response = new MembershipMessage.SyncResponse(true, sample);
      messenger.sendWithoutQueuedUpdates(nowNanos, joiningMember, response, bytes);
    }
  }
}
