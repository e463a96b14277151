package reachloom.membership;

import java.util.List;

/**
 * Members under suspicion: who accuses them, and when they have had enough time to refute it
 * (SWIM's suspicion subprotocol with the timeouts of Lifeguard). Confined to the thread that calls
 * {@link MembershipService}.
 */
final class SuspicionTracker {
  private static final int LAST_PINGS = 2; // of this node's own, to a suspect whose time is up

  /** Pings a suspect once more before it is held to have failed. */
  interface LastPing {
    /** False where the ping could not be sent. */
    boolean send(long nowNanos, Member suspect);
  }

  private final String localName;
  private final long periodNanos;
  private final MemberTable members;
  private final UpdateQueue updates;
  private final LocalHealth health;

  SuspicionTracker(
      String localName,
      long periodNanos,
      MemberTable members,
      UpdateQueue updates,
      LocalHealth health) {
    this.localName = localName;
    this.periodNanos = periodNanos;
    this.members = members;
    this.updates = updates;
    this.health = health;
  }

  /** A ping of this node's own, and those through others, were not acknowledged. */
  void onPingFailed(long nowNanos, Member member) {
    if (member.state == MemberState.ALIVE) {
      suspect(nowNanos, member, localName);
    } else if (member.state == MemberState.SUSPECT && member.suspicion.confirm(localName)) {
      updates.add(member.toUpdate());
    }
  }

  /** Another member accuses one that is present. */
  void onAccusation(long nowNanos, Member member, String accuser) {
    if (member.state == MemberState.ALIVE) {
      suspect(nowNanos, member, accuser);
    } else if (member.suspicion.confirm(accuser)) {
      member.accuser = accuser;
      updates.add(member.toUpdate());
    }
  }

  private void suspect(long nowNanos, Member member, String accuser) {
    member.accuser = accuser;
    members.transition(nowNanos, member, MemberState.SUSPECT, member.incarnation);
  }

  /** This process stood still: the time does not count against the suspects. */
  void extendAll(long lateNanos) {
    members
        .inState(MemberState.SUSPECT)
        .forEach(member -> member.suspicion.extend(lateNanos + member.suspicion.minTimeoutNanos()));
  }

  /**
   * Holds suspects whose time is up to have failed, each after it was pinged by this node itself
   * and so told of its accusation: where its refutation was on its way round but had not come here,
   * it comes now. A real failure is known some periods later for it.
   */
  void judge(long nowNanos, LastPing lastPing) {
    for (Member member : List.copyOf(members.all())) {
      if (member.suspicion == null || nowNanos < member.suspicion.deadlineNanos()) {
        continue;
      }
      if (member.suspicion.lastPings() >= LAST_PINGS) {
        members.transition(nowNanos, member, MemberState.DEAD, member.incarnation);
      } else if (lastPing.send(nowNanos, member)) {
        member.suspicion.onLastPing(nowNanos + health.stretch(periodNanos));
      }
    }
  }
}
