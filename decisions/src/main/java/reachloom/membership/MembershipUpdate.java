package reachloom.membership;

/**
 * What one node tells of a member.
 *
 * @param member the member's name, not empty
 * @param address where it listens: IPv4 address and port in the lowest 48 bits
 * @param incarnation the incarnation that the state is about
 * @param state what is believed of it
 * @param accuser who accuses it; empty where nobody does
 * @param place region in the upper byte and zone in the lower one of 16 bits; 0 where not known
 */
public record MembershipUpdate(
    String member, long address, long incarnation, MemberState state, String accuser, int place) {
  /** An update on a member whose place is not known. */
  public MembershipUpdate(
      String member, long address, long incarnation, MemberState state, String accuser) {
    this(member, address, incarnation, state, accuser, 0);
  }
}
