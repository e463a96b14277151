package reachloom.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The other members in this node's view, and the order in which they are pinged. Changes of known
 * members are queued as updates for the other members; a change of state or place is also reported
 * to {@link MessageSender#onMemberChanged}. Updates of added members are queued by {@link
 * UpdateProcessor}. Confined to the thread that calls {@link MembershipService}.
 */
final class MemberTable {
  private static final int MAX_MEMBERS = 2_048; // absent members included
  private static final long ABSENT_RETENTION_PERIODS = 600; // before an absent member is removed

  private final long periodNanos;
  private final SplittableRandom random;
  private final UpdateQueue updates;
  private final MessageSender listener;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final List<Member> pingOrder = new ArrayList<>();
  private int nextPing;
  private int presentCount;

  MemberTable(
      long periodNanos, SplittableRandom random, UpdateQueue updates, MessageSender listener) {
    this.periodNanos = periodNanos;
    this.random = random;
    this.updates = updates;
    this.listener = listener;
  }

  // ---- Queries ----

  /** Returns a view of all members in the order of their names, absent ones included. */
  Collection<Member> all() {
    return Collections.unmodifiableCollection(members.values());
  }

  /**
   * Returns a view of the members whose names follow the given one, in the order of their names.
   */
  Collection<Member> after(String name) {
    return members.tailMap(name, false).values();
  }

  /** Returns whether no member's name follows the given one. */
  boolean isLast(String name) {
    return members.higherKey(name) == null;
  }

  Optional<Member> find(String name) {
    return Optional.ofNullable(members.get(name));
  }

  Stream<Member> inState(MemberState state) {
    return members.values().stream().filter(member -> member.state == state);
  }

  /** Returns the number of stored members, absent ones included. */
  int storedCount() {
    return members.size();
  }

  /** Returns the number of other members that are present. */
  int presentCount() {
    return presentCount;
  }

  /** Returns the size of the cluster: the present members and this node. */
  int clusterSize() {
    return presentCount + 1;
  }

  /** Draws up to {@code count} different members that match. */
  List<Member> draw(int count, Predicate<Member> matches) {
    List<Member> candidates = new ArrayList<>(members.values().stream().filter(matches).toList());
    List<Member> drawn = new ArrayList<>();
    while (drawn.size() < count && !candidates.isEmpty()) {
      int last = candidates.size() - 1;
      Collections.swap(candidates, random.nextInt(last + 1), last);
      drawn.add(candidates.remove(last));
    }
    return drawn;
  }

  /** Draws up to {@code count} different members that are alive. */
  List<Member> drawAlive(int count) {
    return draw(count, member -> member.state == MemberState.ALIVE);
  }

  /**
   * Returns the next member to ping: each member once per round, in an order shuffled for each
   * round, which bounds the time until a failure is detected (SWIM, section 4.3).
   */
  Optional<Member> nextPingTarget() {
    for (int i = 0; i <= pingOrder.size(); i++) {
      if (nextPing >= pingOrder.size()) {
        shufflePingOrder();
        nextPing = 0;
      }
      if (pingOrder.isEmpty()) {
        return Optional.empty();
      }
      Member member = pingOrder.get(nextPing++);
      if (member.state.present()) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }

  private void shufflePingOrder() {
    pingOrder.removeIf(member -> !member.state.present() || members.get(member.name()) != member);
    for (int i = pingOrder.size() - 1; i > 0; i--) {
      Collections.swap(pingOrder, i, random.nextInt(i + 1));
    }
  }

  // ---- Changes ----

  /** Adds a member that is alive; returns empty if the table is full of present members. */
  Optional<Member> add(long nowNanos, MembershipUpdate update) {
    if (members.size() >= MAX_MEMBERS && !evictOldestAbsent()) {
      return Optional.empty();
    }
    Member member =
        new Member(
            update.member(), update.address(), update.incarnation(), MemberState.ALIVE, nowNanos);
    member.place = update.place();
    members.put(update.member(), member);
    presentCount++;
    insertIntoPingOrder(member);
    return Optional.of(member);
  }

  private void insertIntoPingOrder(Member member) {
    pingOrder.add(nextPing + random.nextInt(pingOrder.size() - nextPing + 1), member);
  }

  /** Removes the member that has been absent for longest; returns false if no member is absent. */
  private boolean evictOldestAbsent() {
    Optional<Member> oldest =
        members.values().stream()
            .filter(member -> !member.state.present())
            .min(Comparator.comparingLong(member -> member.sinceNanos));
    oldest.ifPresent(member -> members.remove(member.name()));
    return oldest.isPresent();
  }

  /** Removes members that have been absent for longer than the retention time. */
  void removeExpiredAbsent(long nowNanos) {
    long retentionNanos = ABSENT_RETENTION_PERIODS * periodNanos;
    members
        .values()
        .removeIf(
            member -> !member.state.present() && nowNanos - member.sinceNanos > retentionNanos);
  }

  /** Sets a member's state and incarnation, and starts or ends its suspicion accordingly. */
  void transition(long nowNanos, Member member, MemberState state, long incarnation) {
    boolean wasPresent = member.state.present();
    boolean stateChanged = member.state != state;
    member.state = state;
    member.incarnation = incarnation;
    if (stateChanged) {
      member.sinceNanos = nowNanos;
    }
    member.suspicion =
        state == MemberState.SUSPECT
            ? new Suspicion(nowNanos, periodNanos, clusterSize(), member.accuser)
            : null;
    if (state != MemberState.SUSPECT && state != MemberState.DEAD) {
      member.accuser = "";
    }
    presentCount += (state.present() ? 1 : 0) - (wasPresent ? 1 : 0);
    if (state.present() && !wasPresent && !pingOrder.contains(member)) {
      insertIntoPingOrder(member);
    }
    updates.add(member.toUpdate());
    if (stateChanged) {
      listener.onMemberChanged(nowNanos, member.toUpdate());
    }
  }

  /** Reports a member's current state to the listener. */
  void reportChange(long nowNanos, MembershipUpdate update) {
    listener.onMemberChanged(nowNanos, update);
  }

  /** Sets a member's region and zone, and queues an update for other members that may lack them. */
  void setPlace(long nowNanos, Member member, int place) {
    member.place = place;
    updates.add(member.toUpdate());
    listener.onMemberChanged(nowNanos, member.toUpdate());
  }

  /**
   * Replaces an address that was reported by other members with the one in the member's own packet.
   */
  void correctAddress(Member member, long address) {
    member.address = address;
    updates.add(member.toUpdate());
  }
}
