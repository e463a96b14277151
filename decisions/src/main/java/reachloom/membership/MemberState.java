package reachloom.membership;

/** What is believed of a member; the order is from healthy to gone. */
public enum MemberState {
  /** It acknowledges pings. */
  ALIVE,
  /** It is accused of not doing so, and has time to refute it. */
  SUSPECT,
  /** It did not refute the accusation in time. */
  DEAD,
  /** It has told itself that it leaves. */
  LEFT;

  /** Whether it counts as a member: a suspect does, until it has had time to refute. */
  public boolean present() {
    return this == ALIVE || this == SUSPECT;
  }
}
