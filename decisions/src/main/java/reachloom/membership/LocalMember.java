package reachloom.membership;

/**
 * This node as a member: its name, address, incarnation, region and zone. Confined to the thread
 * that calls {@link MembershipService}.
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

  /** Returns this node's state as an update for other members. */
  MembershipUpdate toUpdate() {
    return new MembershipUpdate(name, address, incarnation, MemberState.ALIVE, "", place);
  }

  /**
   * Returns whether an update about this node is wrong: this node is alive, at its own address, in
   * its current incarnation.
   */
  boolean isContradictedBy(MembershipUpdate update) {
    boolean declaredFailed = update.state() != MemberState.ALIVE;
    return declaredFailed && update.incarnation() >= incarnation
        || update.incarnation() > incarnation
        || update.incarnation() == incarnation && update.address() != address;
  }

  /** Refutes a wrong update by raising the incarnation above that of the update. */
  void refute(MembershipUpdate update) {
    incarnation = update.incarnation() + 1;
  }
}
