package reachloom.revision;

import java.util.List;

/** Sends messages to members at their known addresses. */
final class PeerMessenger {
  private final RevisionMessageSender sender;

  PeerMessenger(RevisionMessageSender sender) {
    this.sender = sender;
  }

  /** Sends a message; false if it exceeds the byte budget of the current second. */
  boolean send(long nowNanos, Peer to, RevisionMessage message) {
    return send(nowNanos, to, List.of(message));
  }

  /** Sends messages in one packet; false if they exceed the byte budget of the current second. */
  boolean send(long nowNanos, Peer to, List<RevisionMessage> messages) {
    return sender.send(nowNanos, to.name(), to.address(), messages);
  }

  /** Returns whether the messages fit into one packet. */
  boolean fitOnePacket(List<RevisionMessage> messages) {
    return messages.stream().mapToInt(sender::encodedBytes).sum() <= sender.maxPacketBytes();
  }
}
