package reachloom.membership;

/**
 * One member in this node's view. Only the classes behind {@link MembershipService} change it, on
 * that service's thread.
 */
public final class Member {
  private final String name;
  long address;
  long incarnation;
  MemberState state;

  /** When the member entered its state, in nanoseconds. */
  long sinceNanos;

  /** When a packet from the member was last received; 0 if it is known only from other members. */
  long lastPacketAtNanos;

  /** The name of the member that accuses it; empty for none. */
  String accuser = "";

  int place;

  /** The current suspicion; null unless the state is {@link MemberState#SUSPECT}. */
  Suspicion suspicion;

  Member(String name, long address, long incarnation, MemberState state, long sinceNanos) {
    this.name = name;
    this.address = address;
    this.incarnation = incarnation;
    this.state = state;
    this.sinceNanos = sinceNanos;
  }

  /** Returns the member's name, unique in the cluster; never empty. */
  public String name() {
    return name;
  }

  /**
   * Returns the address that the member listens on: IPv4 address and port in the lowest 48 bits.
   */
  public long address() {
    return address;
  }

  /** Returns the member's state in this node's view. */
  public MemberState state() {
    return state;
  }

  /**
   * Returns the incarnation that the state refers to; a member starts with the Unix time in
   * seconds.
   */
  public long incarnation() {
    return incarnation;
  }

  /** Returns when the member entered its state, in nanoseconds of this node's clock. */
  public long sinceNanos() {
    return sinceNanos;
  }

  /** Returns the region (upper byte) and zone (lower byte); 0 if they are unknown. */
  public int place() {
    return place;
  }

  MembershipUpdate toUpdate() {
    return new MembershipUpdate(name, address, incarnation, state, accuser, place);
  }
}
