package reachloom.membership;

/** The state of a member in this node's view, ordered from healthy to absent. */
public enum MemberState {
  /** The member acknowledges pings. */
  ALIVE,
  /** The member is accused of not acknowledging pings, and has time to refute the accusation. */
  SUSPECT,
  /** The member did not refute the accusation in time. */
  DEAD,
  /** The member itself has announced that it leaves. */
  LEFT;

  /**
   * Returns whether a member in this state counts as present: a suspect does until its time to
   * refute has expired.
   */
  public boolean present() {
    return this == ALIVE || this == SUSPECT;
  }
}
