package reachloom.revision;

import java.util.List;

/** Sends revision messages to other members, and tells how large they are on the wire. */
public interface RevisionMessageSender {
  /** The size of one message on the wire, in bytes. */
  int encodedBytes(RevisionMessage message);

  /** The largest size of all messages that one packet holds, in bytes. */
  int maxPacketBytes();

  /**
   * Sends messages to a member at once, in one packet.
   *
   * @param nowNanos the clock that decisions are handed
   * @param to the member's name
   * @param address the member's address, as {@link Peer#address()} has it
   * @return false where this second's byte budget has no room for them: nothing was sent, and the
   *     caller may try again later
   */
  boolean send(long nowNanos, String to, long address, List<RevisionMessage> messages);
}
