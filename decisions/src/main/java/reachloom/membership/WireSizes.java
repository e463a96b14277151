package reachloom.membership;

/** Bytes on the wire, so that what is sent can be planned before it is written. */
public interface WireSizes {
  /** A datagram to that member with that message and nothing else, with all that surrounds it. */
  int messageBytes(String to, MembershipMessage message);

  /** One piece of news. */
  int updateBytes(MembershipUpdate news);
}
