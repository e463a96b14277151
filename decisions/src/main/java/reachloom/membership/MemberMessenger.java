package reachloom.membership;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * Sends messages within the bandwidth limit and lets queued updates ride on them. Confined to the
 * thread that calls {@link MembershipService}.
 */
final class MemberMessenger {
  private static final int MAX_PACKET_BYTES = 1_200; // fits each usual path without fragmentation
  private static final int SEQUENCE_NUMBER_START_BITS = 16;

  private final MessageSender sender;
  private final WireSizes sizes;
  private final BandwidthLimiter bandwidth;
  private final UpdateQueue updates;
  private final MemberTable members;
  private long sequenceNumber;

  MemberMessenger(
      MessageSender sender,
      WireSizes sizes,
      BandwidthLimiter bandwidth,
      UpdateQueue updates,
      MemberTable members,
      SplittableRandom random) {
    this.sender = sender;
    this.sizes = sizes;
    this.bandwidth = bandwidth;
    this.updates = updates;
    this.members = members;
    sequenceNumber = random.nextInt(1 << SEQUENCE_NUMBER_START_BITS);
  }

  /** A number that no earlier ping of this node bears. */
  long nextSequenceNumber() {
    return sequenceNumber++;
  }

  /** Sends a message to a member; false where the bandwidth limit has no room for it. */
  boolean send(long nowNanos, Purpose purpose, Member to, MembershipMessage message) {
    return send(nowNanos, purpose, to.name(), to.address, message);
  }

  /** The same to whoever listens at an address; the name is empty where it is not known. */
  boolean send(long nowNanos, Purpose purpose, String to, long address, MembershipMessage message) {
    return send(nowNanos, purpose, to, address, message, Optional.empty());
  }

  /**
   * The same with an update that goes before all queued ones. A member that is suspected or held to
   * have failed is told so first, whatever the given update is: it may refute it.
   */
  boolean send(
      long nowNanos,
      Purpose purpose,
      String to,
      long address,
      MembershipMessage message,
      Optional<MembershipUpdate> about) {
    Optional<MembershipUpdate> first = updateForReceiver(to, message).or(() -> about);
    int messageBytes = sizes.messageBytes(to, message);
    int minBytes = messageBytes + first.map(sizes::updateBytes).orElse(0);
    if (!bandwidth.hasRoom(nowNanos, purpose, minBytes)) {
      return false;
    }
    int maxBytes = bandwidth.maxWithPiggyback(nowNanos, minBytes, MAX_PACKET_BYTES);
    List<MembershipUpdate> carried =
        updates.take(first, members.clusterSize(), maxBytes - messageBytes, sizes);
    int sentBytes = sender.send(nowNanos, to, address, message, carried, maxBytes);
    bandwidth.record(nowNanos, sentBytes, sentBytes - minBytes);
    return true;
  }

  /** What the receiver should know of how it is seen here: that is what it may object to. */
  private Optional<MembershipUpdate> updateForReceiver(String to, MembershipMessage message) {
    return members
        .find(to)
        .filter(
            member ->
                member.state != MemberState.ALIVE
                    || message instanceof MembershipMessage.Ack && isKnownIndirectly(member))
        .map(Member::toUpdate);
  }

  private static boolean isKnownIndirectly(Member member) {
    return member.incarnation > 0 && member.heardAtNanos == 0;
  }

  /** Whether a message of that size may go out now. */
  boolean hasRoom(long nowNanos, Purpose purpose, int bytes) {
    return bandwidth.hasRoom(nowNanos, purpose, bytes);
  }

  /** How large a message of that many bytes may grow whose very purpose is to carry updates. */
  int maxSyncBytes(long nowNanos, int bytes) {
    return bandwidth.maxSyncBytes(nowNanos, bytes, MAX_PACKET_BYTES);
  }

  /** How many bytes of updates may go with a welcome of that many bytes. */
  int maxWelcomeUpdateBytes(int bytes) {
    return Math.min(bandwidth.maxPiggybackBytes(), MAX_PACKET_BYTES - bytes);
  }

  /**
   * Sends a message that carries its own updates, without queued ones; the caller has checked that
   * there is room. What the message leaves of {@code maxBytes} may carry peer reports.
   */
  void sendAlone(long nowNanos, Member to, MembershipMessage message, int maxBytes) {
    int sentBytes = sender.send(nowNanos, to.name(), to.address, message, List.of(), maxBytes);
    bandwidth.record(nowNanos, sentBytes, 0);
  }

  int messageBytes(Member to, MembershipMessage message) {
    return sizes.messageBytes(to.name(), message);
  }

  int updateBytes(MembershipUpdate update) {
    return sizes.updateBytes(update);
  }
}
