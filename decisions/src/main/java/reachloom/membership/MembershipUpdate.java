package reachloom.membership;

/**
 * What one instance says of a member. {@code address} is an IPv4 address and a port in the lowest
 * 48 bits; {@code accuser} names who accuses, and is empty where nobody does; {@code place} is the
 * region in the upper byte and the zone in the lower one of sixteen bits, 0 where it is not known.
 */
public record MembershipUpdate(
    String member, long address, long incarnation, MemberState state, String accuser, int place) {
  /** The same of a member whose place is not known. */
  public MembershipUpdate(
      String member, long address, long incarnation, MemberState state, String accuser) {
    this(member, address, incarnation, state, accuser, 0);
  }
}
