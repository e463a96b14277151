package reachloom.membership;

/**
 * This node itself as the others know it: name, address, incarnation, region and zone. Confined to
 * the thread that calls {@link MembershipService}.
 */
final class LocalMember {
  private final String name;
  private final long address;
  private long incarnation;
  private int place;

  LocalMember(String name, long address, long incarnation) {
    this.name = name;
    this.address = address;
    this.incarnation = incarnation;
  }

  String name() {
    return name;
  }

  long address() {
    return address;
  }

  long incarnation() {
    return incarnation;
  }

  int place() {
    return place;
  }

  void setPlace(int newPlace) {
    place = newPlace;
  }

  /** The update that tells others of this node. */
  MembershipUpdate toUpdate() {
    return new MembershipUpdate(name, address, incarnation, MemberState.ALIVE, "", place);
  }

  /**
   * Whether an update about this node can't be true: it is alive, at its own address, in the
   * incarnation that it tells.
   */
  boolean isContradictedBy(MembershipUpdate update) {
    boolean declaredFailed = update.state() != MemberState.ALIVE;
    return declaredFailed && update.incarnation() >= incarnation
        || update.incarnation() > incarnation
        || update.incarnation() == incarnation && update.address() != address;
  }

  /** Goes to an incarnation above that of a wrong update, so that its refutation prevails. */
  void refute(MembershipUpdate update) {
    incarnation = update.incarnation() + 1;
  }
}
