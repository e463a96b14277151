package reachloom.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * The failure detector of SWIM (section 3.1): pings one member in each period, and has others ping
 * it where it does not acknowledge in time; with the timeouts and the negative acknowledgements of
 * Lifeguard. Confined to the thread that calls {@link MembershipService}.
 */
final class FailureDetector {
  private static final double DIRECT_PING_SHARE = 0.4; // of a period, for a member's own answer
  private static final double RELAYED_PING_SHARE = 0.3; // ... and for a relay's answer on its way
  private static final int RELAYS = 3; // k of SWIM: members that are asked to ping another
  private static final int MAX_RELAYED_PINGS = 64; // that others have asked this node for
  private static final int MAX_SUSPECTS_PINGED = 2; // of those that this node accuses, in a period
  private static final int MAX_JOIN_PERIODS = 15; // after which a starting node pings in any case

  /** A ping that this node sends on behalf of another. */
  private record RelayedPing(
      String requester,
      long requesterAddress,
      long requesterSequenceNumber,
      String target,
      long deadlineNanos) {}

  /** The ping of the present period that has not been acknowledged. */
  private static final class PendingPing {
    private final Member target;
    private final long sequenceNumber;
    private long directDeadlineNanos;
    private long deadlineNanos;
    private boolean indirect;
    private int relaysAsked;
    private int negativeAcks;

    PendingPing(Member target, long sequenceNumber, long directDeadlineNanos, long deadlineNanos) {
      this.target = target;
      this.sequenceNumber = sequenceNumber;
      this.directDeadlineNanos = directDeadlineNanos;
      this.deadlineNanos = deadlineNanos;
    }
  }

  private final String localName;
  private final long periodNanos;
  private final long startedAtNanos;
  private final MemberTable members;
  private final MemberMessenger messenger;
  private final LocalHealth health;
  private final SuspicionTracker suspicions;
  private final Map<Long, RelayedPing> relayedPings = new LinkedHashMap<>();
  private PendingPing pending;
  private long nextPingAtNanos;

  /** Until this node knows the members, it pings nobody. */
  private boolean enabled;

  FailureDetector(
      String localName,
      long nowNanos,
      long periodNanos,
      MemberTable members,
      MemberMessenger messenger,
      LocalHealth health,
      SuspicionTracker suspicions,
      SplittableRandom random) {
    this.localName = localName;
    this.periodNanos = periodNanos;
    this.members = members;
    this.messenger = messenger;
    this.health = health;
    this.suspicions = suspicions;
    startedAtNanos = nowNanos;
    nextPingAtNanos = nowNanos + random.nextLong(periodNanos);
  }

  /** The members are known: pings begin. */
  void enable() {
    enabled = true;
  }

  /** Follows the ping that is out, and sends the next one when it is due. */
  void tick(long nowNanos) {
    followPending(nowNanos);
    enabled |= nowNanos - startedAtNanos > MAX_JOIN_PERIODS * periodNanos;
    if (enabled && nowNanos >= nextPingAtNanos) {
      startPing(nowNanos);
    }
  }

  /** This process stood still: an acknowledgement may wait on the socket, or have been dropped. */
  void extendPending(long lateNanos) {
    if (pending != null) {
      pending.directDeadlineNanos += lateNanos + periodNanos;
      pending.deadlineNanos += lateNanos + periodNanos;
    }
  }

  private void followPending(long nowNanos) {
    if (pending == null) {
      return;
    }
    if (!pending.indirect && nowNanos >= pending.directDeadlineNanos) {
      pending.indirect = true;
      pending.relaysAsked = pingThroughOthers(nowNanos, pending.target, pending.sequenceNumber);
    }
    if (nowNanos >= pending.deadlineNanos) {
      health.worsen(missingAnswers(pending));
      Member target = pending.target;
      pending = null;
      suspicions.onPingFailed(nowNanos, target);
    }
  }

  /**
   * Relays that sent no negative acknowledgement either show that it is this node which does not
   * receive (Lifeguard, section IV-A).
   */
  private static int missingAnswers(PendingPing ping) {
    return ping.relaysAsked == 0
        ? 1
        : ping.relaysAsked - Math.min(ping.relaysAsked, ping.negativeAcks);
  }

  /** Has others ping a member; gives how many were asked. */
  private int pingThroughOthers(long nowNanos, Member target, long sequenceNumber) {
    MembershipMessage request =
        new MembershipMessage.PingRequest(sequenceNumber, target.name(), target.address);
    List<Member> relays =
        members.draw(RELAYS, member -> member != target && member.state == MemberState.ALIVE);
    int asked = 0;
    for (Member relay : relays) {
      asked += messenger.send(nowNanos, Purpose.PROBE, relay, request) ? 1 : 0;
    }
    return asked;
  }

  private void startPing(long nowNanos) {
    nextPingAtNanos = nowNanos + health.stretch(periodNanos);
    pingAccused(nowNanos);
    if (pending == null) {
      members.nextPingTarget().ifPresent(target -> startPing(nowNanos, target));
    }
  }

  private void startPing(long nowNanos, Member target) {
    long directNanos = health.stretch((long) (periodNanos * DIRECT_PING_SHARE));
    PendingPing started =
        new PendingPing(
            target,
            messenger.nextSequenceNumber(),
            nowNanos + directNanos,
            nowNanos + health.stretch(periodNanos));
    MembershipMessage ping = new MembershipMessage.Ping(started.sequenceNumber, target.name());
    // Without room for the ping, nobody may be blamed for no answer.
    pending = messenger.send(nowNanos, Purpose.PROBE, target, ping) ? started : null;
  }

  /**
   * Whom this node accuses is pinged in each period, and so hears of it at once: its refutation
   * follows by one or two periods, instead of by the time that updates take to get round twice.
   */
  private void pingAccused(long nowNanos) {
    members
        .inState(MemberState.SUSPECT)
        .filter(member -> member.accuser.equals(localName))
        .limit(MAX_SUSPECTS_PINGED)
        .toList()
        .forEach(member -> ping(nowNanos, member));
  }

  private boolean ping(long nowNanos, Member member) {
    MembershipMessage ping =
        new MembershipMessage.Ping(messenger.nextSequenceNumber(), member.name());
    return messenger.send(nowNanos, Purpose.PROBE, member, ping);
  }

  /**
   * Pings a suspect once more, also through others: with 6% of all packets lost, two direct pings
   * are both in vain once in 75 times, and hundreds of nodes suspect at once. False where the
   * bandwidth limit left no room.
   */
  boolean pingSuspect(long nowNanos, Member suspect) {
    if (!ping(nowNanos, suspect)) {
      return false;
    }
    pingThroughOthers(nowNanos, suspect, messenger.nextSequenceNumber());
    return true;
  }

  /** Sends negative acknowledgements for the relayed pings that were not answered in time. */
  void expireRelayedPings(long nowNanos) {
    relayedPings
        .values()
        .removeIf(
            relayed -> {
              boolean expired = nowNanos >= relayed.deadlineNanos;
              if (expired) {
                answerRequester(
                    nowNanos,
                    relayed,
                    new MembershipMessage.Nack(relayed.requesterSequenceNumber),
                    Optional.empty());
              }
              return expired;
            });
  }

  private void answerRequester(
      long nowNanos,
      RelayedPing relayed,
      MembershipMessage answer,
      Optional<MembershipUpdate> about) {
    messenger.send(
        nowNanos, Purpose.ANSWER, relayed.requester, relayed.requesterAddress, answer, about);
  }

  // ---- Messages ----

  /** A member pings this node. */
  void onPing(long nowNanos, Member from, MembershipMessage.Ping ping) {
    if (ping.target().equals(localName)) {
      messenger.send(
          nowNanos, Purpose.ANSWER, from, new MembershipMessage.Ack(ping.sequenceNumber()));
    }
  }

  /** A member acknowledges a ping of this node's own, or one that it relayed. */
  void onAck(long nowNanos, Member from, MembershipMessage.Ack ack) {
    if (pending != null && pending.sequenceNumber == ack.sequenceNumber()) {
      // An acknowledgement that came through a relay bears the relay's name, and the same number.
      if (pending.target == from && nowNanos < pending.directDeadlineNanos) {
        health.improve();
      }
      pending = null;
      return;
    }
    RelayedPing relayed = relayedPings.get(ack.sequenceNumber());
    if (relayed != null && relayed.target.equals(from.name())) {
      relayedPings.remove(ack.sequenceNumber());
      // With what it tells of itself: the requester may hold an accusation refuted long ago.
      answerRequester(
          nowNanos,
          relayed,
          new MembershipMessage.Ack(relayed.requesterSequenceNumber),
          Optional.of(from.toUpdate()));
    }
  }

  /** A relay is there, but its target has not answered it. */
  void onNack(MembershipMessage.Nack nack) {
    if (pending != null && pending.sequenceNumber == nack.sequenceNumber()) {
      pending.negativeAcks++;
    }
  }

  /** A member asks this node to ping another one for it. */
  void onPingRequest(long nowNanos, Member requester, MembershipMessage.PingRequest request) {
    if (relayedPings.size() >= MAX_RELAYED_PINGS || request.target().equals(localName)) {
      return;
    }
    long sequenceNumber = messenger.nextSequenceNumber();
    MembershipMessage ping = new MembershipMessage.Ping(sequenceNumber, request.target());
    if (messenger.send(nowNanos, Purpose.ANSWER, request.target(), request.targetAddress(), ping)) {
      relayedPings.put(
          sequenceNumber,
          new RelayedPing(
              requester.name(),
              requester.address,
              request.sequenceNumber(),
              request.target(),
              nowNanos + (long) (periodNanos * RELAYED_PING_SHARE)));
    }
  }
}
