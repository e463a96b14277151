package reachloom.membership;

/** Sizes on the wire, so that packets can be planned before they are encoded. */
public interface WireSizes {
  /**
   * Returns the size, in bytes, of a datagram to that member with that message alone, all headers
   * included; the name is empty if the receiver's name is unknown.
   */
  int messageBytes(String to, MembershipMessage message);

  /** Returns the size of one update, in bytes. */
  int updateBytes(MembershipUpdate update);
}
