package reachloom.membership;

import java.util.List;

/** Where a member's packets and findings go. */
public interface MessageSender {
  /**
   * Sends a message with news; gives the bytes that it took on the wire. What is left up to {@code
   * most} may be used for what else the instance has to say. An empty name stands for whoever
   * listens at the address.
   */
  int send(
      long now,
      String to,
      long address,
      MembershipMessage message,
      List<MembershipUpdate> news,
      int most);

  /** A member has joined, or is believed to be in another state than before. */
  void onMemberChanged(long now, MembershipUpdate member);
}
