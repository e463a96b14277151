package reachloom.membership;

import java.util.List;

/** Where a node's messages and the changes that it finds go. */
public interface MessageSender {
  /**
   * Sends a message with updates.
   *
   * @param to the receiver's name; empty stands for whoever listens at the address
   * @param address where the receiver listens: IPv4 address and port in the lowest 48 bits
   * @param maxBytes how large the datagram may grow; what is left may carry peer reports
   * @return the bytes that it took on the wire
   */
  int send(
      long nowNanos,
      String to,
      long address,
      MembershipMessage message,
      List<MembershipUpdate> updates,
      int maxBytes);

  /** A member has joined, has changed its state, or its place has become known. */
  void onMemberChanged(long nowNanos, MembershipUpdate member);
}
