package reachloom.membership;

/** Sizes on the wire, so that what is sent can be planned before it is encoded. */
public interface WireSizes {
  /**
   * The bytes of a datagram to that member with that message and nothing else, all headers
   * included; the name is empty where it is not known who listens.
   */
  int messageBytes(String to, MembershipMessage message);

  /** The bytes of one update. */
  int updateBytes(MembershipUpdate update);
}
