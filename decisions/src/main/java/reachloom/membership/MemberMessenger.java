package reachloom.membership;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * Sends messages within the bandwidth limit and piggybacks queued updates on them. Confined to the
 * thread that calls {@link MembershipService}.
 */
final class MemberMessenger {
  private static final int MAX_PACKET_BYTES = 1_200; // avoids IP fragmentation on common paths
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

  /** Returns a sequence number that no earlier ping of this node has. */
  long nextSequenceNumber() {
    return sequenceNumber++;
  }

  /** Sends a message to a member; returns false if the bandwidth limit does not admit it. */
  boolean send(long nowNanos, Purpose purpose, Member to, MembershipMessage message) {
    return send(nowNanos, purpose, to.name(), to.address, message);
  }

  /** Sends a message to an address; the name is empty if the receiver's name is unknown. */
  boolean send(long nowNanos, Purpose purpose, String to, long address, MembershipMessage message) {
    return send(nowNanos, purpose, to, address, message, Optional.empty());
  }

  /**
   * Sends a message with an update that precedes all queued ones. If this node's view of the
   * receiver may be wrong ({@link #updateAboutReceiver}), the update about the receiver takes the
   * place of the given one, so that the receiver can refute it.
   */
  boolean send(
      long nowNanos,
      Purpose purpose,
      String to,
      long address,
      MembershipMessage message,
      Optional<MembershipUpdate> preferredUpdate) {
    Optional<MembershipUpdate> first = updateAboutReceiver(to, message).or(() -> preferredUpdate);
    int messageBytes = sizes.messageBytes(to, message);
    int minBytes = messageBytes + first.map(sizes::updateBytes).orElse(0);
    if (!bandwidth.hasRoom(nowNanos, purpose, minBytes)) {
      return false;
    }
    int maxBytes = bandwidth.maxWithPiggyback(nowNanos, minBytes, MAX_PACKET_BYTES);
    List<MembershipUpdate> piggybacked =
        updates.take(first, members.clusterSize(), maxBytes - messageBytes, sizes);
    int sentBytes = sender.send(nowNanos, to, address, message, piggybacked, maxBytes);
    bandwidth.record(nowNanos, sentBytes, sentBytes - minBytes);
    return true;
  }

  /**
   * Returns the update about the receiver itself, if this node's view of it may be wrong and the
   * receiver may have to refute it.
   */
  private Optional<MembershipUpdate> updateAboutReceiver(String to, MembershipMessage message) {
    return members
        .find(to)
        .filter(
            member ->
                member.state != MemberState.ALIVE
                    || message instanceof MembershipMessage.Ack && isKnownIndirectly(member))
        .map(Member::toUpdate);
  }

  private static boolean isKnownIndirectly(Member member) {
    return member.incarnation > 0 && member.lastPacketAtNanos == 0;
  }

  /** Returns whether a message of that size may be sent now. */
  boolean hasRoom(long nowNanos, Purpose purpose, int bytes) {
    return bandwidth.hasRoom(nowNanos, purpose, bytes);
  }

  /** Returns the maximum size, in bytes, of a message that is sent for the sake of its updates. */
  int maxSyncBytes(long nowNanos, int bytes) {
    return bandwidth.maxSyncBytes(nowNanos, bytes, MAX_PACKET_BYTES);
  }

  /** Returns how many bytes of updates may be added to a welcome message of {@code bytes} bytes. */
  int maxWelcomeUpdateBytes(int bytes) {
    return Math.min(bandwidth.maxPiggybackBytes(), MAX_PACKET_BYTES - bytes);
  }

  /**
   * Sends a message that contains its own updates, without queued ones; the caller has checked the
   * bandwidth limit. The rest of {@code maxBytes} may be filled with peer reports.
   */
  void sendWithoutQueuedUpdates(long nowNanos, Member to, MembershipMessage message, int maxBytes) {
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
