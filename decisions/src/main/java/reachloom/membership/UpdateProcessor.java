package reachloom.membership;

import java.util.Optional;

/**
 * Processes what members report of themselves and of other members, and refutes wrong updates about
 * this node. Confined to the thread that calls {@link MembershipService}.
 */
final class UpdateProcessor {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** By which a received incarnation, in seconds, may be ahead of this node's clock. */
  private static final long MAX_CLOCK_LEAD_SECONDS = 60;

  private final LocalMember local;
  private final LocalHealth health;
  private final UpdateQueue updates;
  private final MemberTable members;
  private final SuspicionTracker suspicions;
  private final JoinProtocol joining;
  private final AntiEntropySync sync;

  UpdateProcessor(
      LocalMember local,
      LocalHealth health,
      UpdateQueue updates,
      MemberTable members,
      SuspicionTracker suspicions,
      JoinProtocol joining,
      AntiEntropySync sync) {
    this.local = local;
    this.health = health;
    this.updates = updates;
    this.members = members;
    this.suspicions = suspicions;
    this.joining = joining;
    this.sync = sync;
  }

  /**
   * Processes a member's own packet, which proves that it is alive and states its address and
   * incarnation. Returns the member; empty if it is unknown and the table has no room for it.
   */
  Optional<Member> onPacketReceived(long nowNanos, MembershipUpdate self) {
    Optional<Member> known = members.find(self.member());
    if (known.isEmpty()) {
      known = add(nowNanos, self, true);
    } else {
      refresh(nowNanos, known.get(), self);
    }
    known.ifPresent(member -> member.lastPacketAtNanos = nowNanos);
    return known;
  }

  private void refresh(long nowNanos, Member member, MembershipUpdate self) {
    boolean sameIncarnation = self.incarnation() == member.incarnation;
    if (self.incarnation() > member.incarnation) {
      member.address = self.address();
      member.place = self.place();
      members.transition(nowNanos, member, MemberState.ALIVE, self.incarnation());
    } else if (self.place() != 0 && member.place == 0 && sameIncarnation) {
      members.setPlace(nowNanos, member, self.place());
    } else if (member.lastPacketAtNanos == 0
        && sameIncarnation
        && member.address != self.address()) {
      members.correctAddress(member, self.address());
    }
  }

  private Optional<Member> add(long nowNanos, MembershipUpdate update, boolean disseminate) {
    Optional<Member> added = members.add(nowNanos, update);
    if (added.isPresent()) {
      MembershipUpdate addedUpdate = added.get().toUpdate();
      if (disseminate) {
        updates.add(addedUpdate);
      }
      sync.onMemberAdded(nowNanos);
      members.reportChange(nowNanos, addedUpdate);
    }
    return added;
  }

  /**
   * Processes an update.
   *
   * @param reporter the member that sent the update
   * @param disseminate whether a new member is passed on to others; false for the members of a
   *     synchronized table
   */
  void apply(long nowNanos, MembershipUpdate update, String reporter, boolean disseminate) {
    if (update.incarnation() > nowNanos / SECOND_NANOS + MAX_CLOCK_LEAD_SECONDS) {
      // No honest node has such an incarnation yet, and the largest one could not be exceeded by a
      // refutation.
      return;
    }
    if (update.member().equals(local.name())) {
      applyToSelf(update);
      return;
    }
    Optional<Member> known = members.find(update.member());
    if (known.isEmpty()) {
      applyToUnknown(nowNanos, update, disseminate);
    } else if (update.state() == MemberState.ALIVE) {
      applyAlive(nowNanos, known.get(), update);
    } else {
      applyAccusation(nowNanos, known.get(), update, reporter);
    }
  }

  private void applyToSelf(MembershipUpdate update) {
    if (local.isContradictedBy(update)) {
      if (update.state() != MemberState.ALIVE) {
        health.worsen(1);
      }
      local.refute(update);
      updates.add(local.toUpdate());
    }
  }

  private void applyToUnknown(long nowNanos, MembershipUpdate update, boolean disseminate) {
    if (update.state() != MemberState.ALIVE) {
      return;
    }
    Optional<Member> added = add(nowNanos, update, disseminate);
    if (added.isPresent() && disseminate) {
      joining.onJoinReported(nowNanos, added.get(), local.toUpdate());
    }
  }

  private void applyAlive(long nowNanos, Member member, MembershipUpdate update) {
    if (update.incarnation() > member.incarnation) {
      member.address = update.address();
      member.place = update.place() == 0 ? member.place : update.place();
      members.transition(nowNanos, member, MemberState.ALIVE, update.incarnation());
    } else if (member.place == 0 && update.place() != 0) { // only sets an unknown place
      members.setPlace(nowNanos, member, update.place());
    }
  }

  private void applyAccusation(
      long nowNanos, Member member, MembershipUpdate update, String reporter) {
    if (update.incarnation() >= member.incarnation && member.state.present()) {
      member.incarnation = update.incarnation();
      boolean namesAccuser = update.state() == MemberState.SUSPECT && !update.accuser().isEmpty();
      suspicions.onAccusation(nowNanos, member, namesAccuser ? update.accuser() : reporter);
    }
  }
}
