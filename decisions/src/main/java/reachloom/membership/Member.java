package reachloom.membership;

/** One member as this instance believes it; only {@link MembershipService} changes it. */
public final class Member {
  private final String name;
  long address;
  long incarnation;
  MemberState state;

  /** When it came into its state. */
  long since;

  /** When a packet of its own was last heard; 0 for one known by hearsay alone. */
  long heardAt;

  String accuser = "";
  int place;
  Suspicion suspicion;

  Member(String name, long address, long incarnation, MemberState state, long since) {
    this.name = name;
    this.address = address;
    this.incarnation = incarnation;
    this.state = state;
    this.since = since;
  }

  public String name() {
    return name;
  }

  /** An IPv4 address and a port in the lowest 48 bits. */
  public long address() {
    return address;
  }

  public MemberState state() {
    return state;
  }

  public long incarnation() {
    return incarnation;
  }

  /** When it came into its state. */
  public long sinceNanos() {
    return since;
  }

  /** Region and zone, 0 where they are not known. */
  public int place() {
    return place;
  }

  MembershipUpdate toUpdate() {
    return new MembershipUpdate(name, address, incarnation, state, accuser, place);
  }
}
