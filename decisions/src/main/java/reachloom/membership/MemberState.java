package reachloom.membership;

/** What is believed of a member. */
public enum MemberState {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT;

  /** Whether it counts as a member: one that is suspected does, until it has had time to object. */
  public boolean present() {
    return this == ALIVE || this == SUSPECT;
  }
}
