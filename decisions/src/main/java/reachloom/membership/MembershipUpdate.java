package reachloom.membership;

/**
 * One node's report of a member's state.
 *
 * @param member the member's name, not empty
 * @param address the address that the member listens on: IPv4 address and port in the lowest 48
 *     bits
 * @param incarnation the incarnation that the state refers to
 * @param state the state of the member
 * @param accuser the member that accuses it; empty for none
 * @param place region in the upper byte and zone in the lower one of 16 bits; 0 if unknown
 */
public record MembershipUpdate(
    String member, long address, long incarnation, MemberState state, String accuser, int place) {
  /** Creates an update on a member whose place is unknown. */
  public MembershipUpdate(
      String member, long address, long incarnation, MemberState state, String accuser) {
    this(member, address, incarnation, state, accuser, 0);
  }
}
