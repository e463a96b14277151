package reachloom.membership;

import java.util.List;

/**
 * Tracks suspected members, their accusers, and the timeouts within which they must refute (SWIM's
 * suspicion subprotocol with the timeouts of Lifeguard). Confined to the thread that calls {@link
 * MembershipService}.
 */
final class SuspicionTracker {
  private static final int FINAL_PINGS = 2; // by this node, to a suspect whose timeout has expired

  /** Pings a suspect once more before it is considered failed. */
  interface FinalPing {
    /** Sends the ping; returns false if the bandwidth limit does not admit it. */
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

  /** Suspects a member that acknowledged neither this node's ping nor the indirect ones. */
  void onPingFailed(long nowNanos, Member member) {
    if (member.state == MemberState.ALIVE) {
      suspect(nowNanos, member, localName);
    } else if (member.state == MemberState.SUSPECT && member.suspicion.confirm(localName)) {
      updates.add(member.toUpdate());
    }
  }

  /** Handles an accusation of a present member by another one. */
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

  /**
   * Extends all suspicions after a pause of this process, which must not count against the
   * suspects.
   */
  void extendAll(long lateNanos) {
    members
        .inState(MemberState.SUSPECT)
        .forEach(member -> member.suspicion.extend(lateNanos + member.suspicion.minTimeoutNanos()));
  }

  /**
   * Declares a suspect failed after its timeout has expired and it has not answered the final pings
   * by this node with a higher incarnation. The final pings also notify the suspect of the
   * accusation, so that a refutation that has spread to other nodes but not to this one arrives in
   * reply. The cost: a real failure is declared some periods later.
   */
  void expireSuspicions(long nowNanos, FinalPing finalPing) {
    for (Member member : List.copyOf(members.all())) {
      if (member.suspicion == null || nowNanos < member.suspicion.deadlineNanos()) {
        continue;
      }
      if (member.suspicion.finalPings() >= FINAL_PINGS) {
        members.transition(nowNanos, member, MemberState.DEAD, member.incarnation);
      } else if (finalPing.send(nowNanos, member)) {
        member.suspicion.onFinalPing(nowNanos + health.stretch(periodNanos));
      }
    }
  }
}
