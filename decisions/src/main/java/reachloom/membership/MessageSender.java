package reachloom.membership;

import java.util.List;

/** Sends a node's messages, and receives the changes of members that the node detects. */
public interface MessageSender {
  /**
   * Sends a message with updates.
   *
   * @param to the receiver's name; empty if it is unknown which node listens at the address
   * @param address the address that the receiver listens on: IPv4 address and port in the lowest 48
   *     bits
   * @param maxBytes the maximum size of the datagram; the rest may be filled with peer reports
   * @return the size of the datagram on the wire, in bytes
   */
  int send(
      long nowNanos,
      String to,
      long address,
      MembershipMessage message,
      List<MembershipUpdate> updates,
      int maxBytes);

  /** Handles a member that has joined, has changed its state, or whose place has become known. */
  void onMemberChanged(long nowNanos, MembershipUpdate member);
}
