package reachloom.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * The failure detector of SWIM (section 3.1): pings one member per protocol period, and requests
 * indirect pings from other members if it does not acknowledge in time; with the timeouts and the
 * negative acknowledgements of Lifeguard. Confined to the thread that calls {@link
 * MembershipService}.
 */
final class FailureDetector {
  private static final double DIRECT_PING_TIMEOUT_PERIODS = 0.4; // then indirect pings
  private static final double RELAYED_PING_TIMEOUT_PERIODS = 0.3; // then the relay sends a Nack
  private static final int RELAY_COUNT = 3; // k of SWIM: relays of an indirect ping
  private static final int MAX_RELAYED_PINGS = 64; // pending pings on behalf of other members
  private static final int MAX_ACCUSED_PINGS_PER_PERIOD = 2; // to members accused by this node
  private static final int MAX_JOIN_PERIODS = 15; // after which a starting node pings regardless

  /** A ping that this node sends on behalf of another. */
  private record RelayedPing(
      String requester,
      long requesterAddress,
      long requesterSequenceNumber,
      String target,
      long deadlineNanos) {}

  /** The ping of the current period, not yet acknowledged. */
  private static final class PendingPing {
    private final Member target;
    private final long sequenceNumber;
    private long directDeadlineNanos;
    private long deadlineNanos;
    private boolean indirect;
    private int relayCount;
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

  /** Whether pings are sent; false until this node knows the members. */
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

  /** Starts pinging, now that the members are known. */
  void enable() {
    enabled = true;
  }

  /** Checks the pending ping for timeouts, and sends the next ping when it is due. */
  void tick(long nowNanos) {
    checkPending(nowNanos);
    enabled |= nowNanos - startedAtNanos > MAX_JOIN_PERIODS * periodNanos;
    if (enabled && nowNanos >= nextPingAtNanos) {
      startPing(nowNanos);
    }
  }

  /**
   * Extends the deadlines of the pending ping after a pause of this process: an acknowledgement may
   * wait on the socket, or have been dropped.
   */
  void extendPending(long lateNanos) {
    if (pending != null) {
      pending.directDeadlineNanos += lateNanos + periodNanos;
      pending.deadlineNanos += lateNanos + periodNanos;
    }
  }

  private void checkPending(long nowNanos) {
    if (pending == null) {
      return;
    }
    if (!pending.indirect && nowNanos >= pending.directDeadlineNanos) {
      pending.indirect = true;
      pending.relayCount = pingIndirectly(nowNanos, pending.target, pending.sequenceNumber);
    }
    if (nowNanos >= pending.deadlineNanos) {
      health.worsen(missingReplies(pending));
      Member target = pending.target;
      pending = null;
      suspicions.onPingFailed(nowNanos, target);
    }
  }

  /**
   * Returns the number of replies that a failed ping lacks. Relays that did not even send a
   * negative acknowledgement indicate that this node itself fails to receive (Lifeguard, section
   * IV-A).
   */
  private static int missingReplies(PendingPing ping) {
    return ping.relayCount == 0
        ? 1
        : ping.relayCount - Math.min(ping.relayCount, ping.negativeAcks);
  }

  /**
   * Requests indirect pings of a member; returns the number of relays that a request was sent to.
   */
  private int pingIndirectly(long nowNanos, Member target, long sequenceNumber) {
    MembershipMessage request =
        new MembershipMessage.PingRequest(sequenceNumber, target.name(), target.address);
    List<Member> relays =
        members.draw(RELAY_COUNT, member -> member != target && member.state == MemberState.ALIVE);
    int sentCount = 0;
    for (Member relay : relays) {
      sentCount += messenger.send(nowNanos, Purpose.PROBE, relay, request) ? 1 : 0;
    }
    return sentCount;
  }

  private void startPing(long nowNanos) {
    nextPingAtNanos = nowNanos + health.stretch(periodNanos);
    pingAccusedMembers(nowNanos);
    if (pending == null) {
      members.nextPingTarget().ifPresent(target -> startPing(nowNanos, target));
    }
  }

  private void startPing(long nowNanos, Member target) {
    long directNanos = health.stretch((long) (periodNanos * DIRECT_PING_TIMEOUT_PERIODS));
    PendingPing started =
        new PendingPing(
            target,
            messenger.nextSequenceNumber(),
            nowNanos + directNanos,
            nowNanos + health.stretch(periodNanos));
    MembershipMessage ping = new MembershipMessage.Ping(started.sequenceNumber, target.name());
    // A ping that the bandwidth limit did not admit must not count as unacknowledged.
    pending = messenger.send(nowNanos, Purpose.PROBE, target, ping) ? started : null;
  }

  /**
   * Pings members that this node accuses in each period, which notifies them at once: the
   * refutation then arrives within one or two periods, instead of after updates have spread through
   * the cluster twice.
   */
  private void pingAccusedMembers(long nowNanos) {
    members
        .inState(MemberState.SUSPECT)
        .filter(member -> member.accuser.equals(localName))
        .limit(MAX_ACCUSED_PINGS_PER_PERIOD)
        .toList()
        .forEach(member -> ping(nowNanos, member));
  }

  private boolean ping(long nowNanos, Member member) {
    MembershipMessage ping =
        new MembershipMessage.Ping(messenger.nextSequenceNumber(), member.name());
    return messenger.send(nowNanos, Purpose.PROBE, member, ping);
  }

  /**
   * Pings a suspect once more, directly and indirectly: with 6% of all packets lost, two direct
   * pings both fail once in 75 times, and hundreds of nodes suspect a member at once. Returns false
   * if the bandwidth limit did not admit the ping.
   */
  boolean pingSuspect(long nowNanos, Member suspect) {
    if (!ping(nowNanos, suspect)) {
      return false;
    }
    pingIndirectly(nowNanos, suspect, messenger.nextSequenceNumber());
    return true;
  }

  /** Sends negative acknowledgements for the relayed pings that were not acknowledged in time. */
  void expireRelayedPings(long nowNanos) {
    relayedPings
        .values()
        .removeIf(
            relayed -> {
              boolean expired = nowNanos >= relayed.deadlineNanos;
              if (expired) {
                replyToRequester(
                    nowNanos,
                    relayed,
                    new MembershipMessage.Nack(relayed.requesterSequenceNumber),
                    Optional.empty());
              }
              return expired;
            });
  }

  private void replyToRequester(
      long nowNanos,
      RelayedPing relayed,
      MembershipMessage reply,
      Optional<MembershipUpdate> update) {
    messenger.send(
        nowNanos, Purpose.ANSWER, relayed.requester, relayed.requesterAddress, reply, update);
  }

  // ---- Messages ----

  /** Acknowledges a ping that is addressed to this node. */
  void onPing(long nowNanos, Member from, MembershipMessage.Ping ping) {
    if (ping.target().equals(localName)) {
      messenger.send(
          nowNanos, Purpose.ANSWER, from, new MembershipMessage.Ack(ping.sequenceNumber()));
    }
  }

  /** Handles the acknowledgement of the pending ping or of a relayed one. */
  void onAck(long nowNanos, Member from, MembershipMessage.Ack ack) {
    if (pending != null && pending.sequenceNumber == ack.sequenceNumber()) {
      // An acknowledgement through a relay has the relay's name and the same sequence number.
      if (pending.target == from && nowNanos < pending.directDeadlineNanos) {
        health.improve();
      }
      pending = null;
      return;
    }
    RelayedPing relayed = relayedPings.get(ack.sequenceNumber());
    if (relayed != null && relayed.target.equals(from.name())) {
      relayedPings.remove(ack.sequenceNumber());
      // Adds the target's own state: the requester may hold an accusation refuted long ago.
      replyToRequester(
          nowNanos,
          relayed,
          new MembershipMessage.Ack(relayed.requesterSequenceNumber),
          Optional.of(from.toUpdate()));
    }
  }

  /**
   * Counts a relay's negative acknowledgement: the relay is reachable, but the target did not
   * acknowledge.
   */
  void onNack(MembershipMessage.Nack nack) {
    if (pending != null && pending.sequenceNumber == nack.sequenceNumber()) {
      pending.negativeAcks++;
    }
  }

  /**
   * Pings a member on behalf of the requester; ignores requests to ping this node itself, and those
   * beyond {@link #MAX_RELAYED_PINGS}.
   */
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
              nowNanos + (long) (periodNanos * RELAYED_PING_TIMEOUT_PERIODS)));
    }
  }
}
