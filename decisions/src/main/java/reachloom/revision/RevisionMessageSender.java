package reachloom.revision;

import java.util.List;

/** Sends revision messages to other members, and computes their encoded size. */
public interface RevisionMessageSender {
  /** Returns the encoded size of one message, in bytes. */
  int encodedBytes(RevisionMessage message);

  /** Returns the maximum total size of the messages in one packet, in bytes. */
  int maxPacketBytes();

  /**
   * Sends messages to a member immediately, in one packet.
   *
   * @param nowNanos the current time
   * @param to the member's name
   * @param address the member's address, encoded as in {@link Peer#address()}
   * @return false if they exceed the byte budget of the current second: nothing was sent, and the
   *     caller may retry later
   */
  boolean send(long nowNanos, String to, long address, List<RevisionMessage> messages);
}
