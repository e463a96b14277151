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
 * The other members as this node believes them to be, and the order in which they are pinged. Every
 * change of a member is queued as an update for the others; a change of state is also reported to
 * {@link MessageSender#onMemberChanged}. Confined to the thread that calls {@link
 * MembershipService}.
 */
final class MemberTable {
  private static final int MAX_MEMBERS = 2_048; // failed ones and those that have left included
  private static final long ABSENT_MEMORY_PERIODS = 600; // for which an absent member is kept

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

  /** All members in the order of their names, absent ones included; a view. */
  Collection<Member> all() {
    return Collections.unmodifiableCollection(members.values());
  }

  /** The members whose names come after the given one, in order; a view. */
  Collection<Member> after(String name) {
    return members.tailMap(name, false).values();
  }

  /** Whether no name comes after the given one. */
  boolean isLast(String name) {
    return members.higherKey(name) == null;
  }

  Optional<Member> find(String name) {
    return Optional.ofNullable(members.get(name));
  }

  Stream<Member> inState(MemberState state) {
    return members.values().stream().filter(member -> member.state == state);
  }

  /** How many members are held, absent ones included. */
  int heldCount() {
    return members.size();
  }

  /** How many other members are present. */
  int presentCount() {
    return presentCount;
  }

  /** The size of the cluster: the members that are present and this node. */
  int clusterSize() {
    return presentCount + 1;
  }

  /** Draws up to {@code count} different members among those that match. */
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
   * The next member to ping: each one once in every round, in an order drawn anew for each round,
   * which bounds the time until a failure is detected (SWIM, section 4.3).
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

  /** Adds a member that is alive; empty where the table is full of others that are present. */
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

  /** Makes room by removing the member that has been absent for longest, if there is one. */
  private boolean evictOldestAbsent() {
    Optional<Member> oldest =
        members.values().stream()
            .filter(member -> !member.state.present())
            .min(Comparator.comparingLong(member -> member.sinceNanos));
    oldest.ifPresent(member -> members.remove(member.name()));
    return oldest.isPresent();
  }

  /** Forgets members that have been absent for long. */
  void forgetAbsent(long nowNanos) {
    long memoryNanos = ABSENT_MEMORY_PERIODS * periodNanos;
    members
        .values()
        .removeIf(member -> !member.state.present() && nowNanos - member.sinceNanos > memoryNanos);
  }

  /** Brings a member into a state and incarnation; a suspicion starts or ends with it. */
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

  /** Reports a member as it is now to the listener. */
  void reportChange(long nowNanos, MembershipUpdate update) {
    listener.onMemberChanged(nowNanos, update);
  }

  /** A member's region and zone have become known; others may lack them as well. */
  void setPlace(long nowNanos, Member member, int place) {
    member.place = place;
    updates.add(member.toUpdate());
    listener.onMemberChanged(nowNanos, member.toUpdate());
  }

  /** A member itself tells another address than others told of it. */
  void correctAddress(Member member, long address) {
    member.address = address;
    updates.add(member.toUpdate());
  }
}
