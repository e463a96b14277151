package reachloom.revision;

import java.util.List;

/** Sends messages to members by the address that they are known under. */
final class PeerMessenger {
  private final RevisionMessageSender sender;

  PeerMessenger(RevisionMessageSender sender) {
    this.sender = sender;
  }

  /** Sends a message; false where the budget of the second has no room for it. */
  boolean send(long nowNanos, Peer to, RevisionMessage message) {
    return send(nowNanos, to, List.of(message));
  }

  /** Sends messages in one packet; false where the budget of the second has no room for them. */
  boolean send(long nowNanos, Peer to, List<RevisionMessage> messages) {
    return sender.send(nowNanos, to.name(), to.address(), messages);
  }

  /** Whether the messages fit one packet together. */
  boolean fitOnePacket(List<RevisionMessage> messages) {
    return messages.stream().mapToInt(sender::encodedBytes).sum() <= sender.maxPacketBytes();
  }
}
