package reachloom.membership;

/**
 * One member as this node believes it to be. Only the parts of {@link MembershipService} change it,
 * on that service's thread.
 */
public final class Member {
  private final String name;
  long address;
  long incarnation;
  MemberState state;

  /** When it came into its state, in nanoseconds. */
  long sinceNanos;

  /** When a packet of its own was last received; 0 for a member known by others' word alone. */
  long heardAtNanos;

  /** Who accuses it; empty for nobody. */
  String accuser = "";

  int place;

  /** The suspicion that runs; null unless the state is {@link MemberState#SUSPECT}. */
  Suspicion suspicion;

  Member(String name, long address, long incarnation, MemberState state, long sinceNanos) {
    this.name = name;
    this.address = address;
    this.incarnation = incarnation;
    this.state = state;
    this.sinceNanos = sinceNanos;
  }

  /** The member's name, unique in the cluster; never empty. */
  public String name() {
    return name;
  }

  /** Where it listens: an IPv4 address and a port in the lowest 48 bits. */
  public long address() {
    return address;
  }

  /** What is believed of it. */
  public MemberState state() {
    return state;
  }

  /** The incarnation that the state is about; it begins with the Unix second of its start. */
  public long incarnation() {
    return incarnation;
  }

  /** When it came into its state, in nanoseconds of this node's clock. */
  public long sinceNanos() {
    return sinceNanos;
  }

  /** Region in the upper byte and zone in the lower one; 0 where they are not known. */
  public int place() {
    return place;
  }

  MembershipUpdate toUpdate() {
    return new MembershipUpdate(name, address, incarnation, state, accuser, place);
  }
}
