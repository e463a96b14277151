package reachloom.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * How nodes find the cluster: a node pings the seeds of its settings until they are members, each
 * node welcomes newcomers with a sample of the members, and pings those held to have failed now and
 * then, so that two halves of a partition find together again. Confined to the thread that calls
 * {@link MembershipService}.
 */
final class JoinProtocol {
  private static final int RECONNECT_PERIODS = 4; // between pings to failed members and to seeds
  private static final double GREETERS = 4; // members that welcome a newcomer unasked, on average
  private static final int MAX_BACKOFF_DOUBLINGS = 1; // of the pause between two pings to seeds

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
    nextReconnectAtNanos = nowNanos; // a node that starts pings the seeds at once
  }

  void setSeeds(List<Long> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /** Pings one failed member and one seed that is no member, when it is time to. */
  void tick(long nowNanos) {
    if (nowNanos < nextReconnectAtNanos) {
      return;
    }
    nextReconnectAtNanos = nowNanos + RECONNECT_PERIODS * periodNanos;
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
    List<Long> unknown = seeds.stream().filter(seed -> !isPresent(seed)).toList();
    if (unknown.isEmpty()) {
      return;
    }
    long seed = unknown.get(random.nextInt(unknown.size()));
    messenger.send(nowNanos, Purpose.SYNC, "", seed, ping(""));
    if (members.presentCount() == 0) {
      // The more often in vain, the more others there must be that try.
      long pauseNanos = periodNanos << Math.min(failedAttempts++, MAX_BACKOFF_DOUBLINGS);
      nextReconnectAtNanos = nowNanos + pauseNanos / 2 + random.nextLong(pauseNanos);
    }
  }

  private MembershipMessage ping(String target) {
    return new MembershipMessage.Ping(messenger.nextSequenceNumber(), target);
  }

  /** Whether this node itself or a member that is present listens at an address. */
  private boolean isPresent(long address) {
    return address == localAddress
        || members.all().stream()
            .anyMatch(member -> member.address == address && member.state.present());
  }

  /**
   * Another member has told of a newcomer: some of those that hear of it welcome it unasked, since
   * the seeds may have no bandwidth left for it.
   */
  void onNewcomerHeardOf(long nowNanos, Member newcomer, MembershipUpdate local) {
    if (random.nextDouble() * members.clusterSize() < GREETERS) {
      welcome(nowNanos, newcomer, local);
    }
  }

  /**
   * Tells a newcomer of some other members, drawn by chance: when many join at once, few answers
   * that spread them over all members are worth more than many that keep them with the seeds.
   * {@code local} is this node's own update, by whose size the sample is planned.
   */
  void welcome(long nowNanos, Member newcomer, MembershipUpdate local) {
    int bytes =
        messenger.messageBytes(newcomer, new MembershipMessage.SyncResponse(true, List.of()));
    int leftBytes = messenger.maxWelcomeUpdateBytes(bytes);
    int count = leftBytes / messenger.updateBytes(local);
    List<MembershipUpdate> sample = new ArrayList<>();
    for (Member other :
        members.draw(
            count, candidate -> candidate != newcomer && candidate.state == MemberState.ALIVE)) {
      int updateBytes = messenger.updateBytes(other.toUpdate());
      leftBytes -= updateBytes;
      if (leftBytes >= 0) {
        sample.add(other.toUpdate());
        bytes += updateBytes;
      }
    }
    if (messenger.hasRoom(nowNanos, Purpose.WELCOME, bytes)) {
      MembershipMessage response = new MembershipMessage.SyncResponse(true, sample);
      messenger.sendAlone(nowNanos, newcomer, response, bytes);
    }
  }
}
