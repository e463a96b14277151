package reachloom.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Drives the service of one node with messages of other members, without a network. */
class MembershipServiceTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long START_NANOS = 1_000_000 * SECOND_NANOS;
  private static final int MAX_BYTES_PER_SECOND = 65_536;

  private record Sent(
      long at,
      String to,
      long address,
      MembershipMessage message,
      List<MembershipUpdate> updates) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<MembershipUpdate> changes = new ArrayList<>();
  private long now = START_NANOS;
  private MembershipService service;

  private final class RecordingSender implements MessageSender {
    @Override
    public int send(
        long at,
        String to,
        long address,
        MembershipMessage message,
        List<MembershipUpdate> updates,
        int maxBytes) {
      sent.add(new Sent(at, to, address, message, updates));
      return 100 + 30 * updates.size();
    }

    @Override
    public void onMemberChanged(long at, MembershipUpdate member) {
      changes.add(member);
    }
  }

  private static final WireSizes SIZES =
      new WireSizes() {
        @Override
        public int messageBytes(String to, MembershipMessage message) {
          return 100;
        }

        @Override
        public int updateBytes(MembershipUpdate update) {
          return 30;
        }
      };

  @BeforeEach
  void start() {
    service = instance(MAX_BYTES_PER_SECOND, List.of());
  }

  private MembershipService instance(int maxBytesPerSecond, List<Long> seeds) {
    return new MembershipService(
        new MembershipSettings("me", 1, seeds, SECOND_NANOS, maxBytesPerSecond),
        now,
        new SplittableRandom(1),
        new RecordingSender(),
        SIZES);
  }

  private void advance(long nanos) {
    for (long until = now + nanos; now < until; ) {
      now += SECOND_NANOS / 10;
      service.tick(now);
    }
  }

  private void receive(String from, MembershipMessage message, MembershipUpdate... updates) {
    service.receive(
        now, from, address(from), START_NANOS / SECOND_NANOS, message, List.of(updates));
  }

  private static long address(String name) {
    return 100 + name.hashCode() % 50;
  }

  private static MembershipUpdate update(
      String of, long incarnation, MemberState state, String accuser) {
    return new MembershipUpdate(
        of, address(of), START_NANOS / SECOND_NANOS + incarnation, state, accuser);
  }

  private MemberState state(String of) {
    return service.member(of).map(Member::state).orElse(null);
  }

  private void join(String... names) {
    for (String name : names) {
      receive(name, new MembershipMessage.Ack(-1));
    }
  }

  /** Advances the clock and acknowledges pings to all members except the silent ones. */
  private void advanceAcknowledging(long nanos, String... silent) {
    for (long until = now + nanos; now < until; ) {
      int from = sent.size();
      advance(SECOND_NANOS / 10);
      for (Sent s : List.copyOf(sent.subList(from, sent.size()))) {
        if (s.message() instanceof MembershipMessage.Ping p && !List.of(silent).contains(s.to())) {
          receive(s.to(), new MembershipMessage.Ack(p.sequenceNumber()));
        }
      }
    }
  }

  @Test
  void addsSenderOfPacketAsMember() {
    join("a");
    assertEquals(MemberState.ALIVE, state("a"));
    assertEquals(2, service.size());
    assertEquals("a", changes.get(0).member());
  }

  @Test
  void declaresSilentMemberDeadAfterIndirectPings() {
    join("a", "b", "c", "d", "e");
    advanceAcknowledging(30 * SECOND_NANOS, "e");
    assertTrue(
        sent.stream()
                .filter(
                    s ->
                        s.message() instanceof MembershipMessage.PingRequest r
                            && r.target().equals("e"))
                .map(Sent::to)
                .distinct()
                .count()
            >= 3,
        "at least three relays received a ping request");
    assertTrue(
        changes.stream().anyMatch(n -> n.member().equals("e") && n.state() == MemberState.SUSPECT));
    advanceAcknowledging(30 * SECOND_NANOS, "e");
    assertEquals(MemberState.DEAD, state("e"));
    assertEquals(
        List.of("a", "b", "c", "d"),
        service.members().stream()
            .filter(m -> m.state() == MemberState.ALIVE)
            .map(Member::name)
            .toList());
    assertEquals(5, service.size());
  }

  @Test
  void pingsEachMemberWithinTwoRounds() {
    join("a", "b", "c", "d", "e", "f", "g", "h");
    advanceAcknowledging(16 * SECOND_NANOS);
    sent.clear();
    advanceAcknowledging(15 * SECOND_NANOS); // 2n - 1 periods, as SWIM has it
    assertEquals(
        8,
        sent.stream()
            .filter(s -> s.message() instanceof MembershipMessage.Ping)
            .map(Sent::to)
            .distinct()
            .count());
  }

  @Test
  void treatsReportedFailureAsAccusation() {
    join("a", "b", "liar");
    receive("liar", new MembershipMessage.Ack(-1), update("a", 0, MemberState.DEAD, "liar"));
    assertEquals(MemberState.SUSPECT, state("a"));
    receive("liar", new MembershipMessage.Ack(-1), update("b", 0, MemberState.LEFT, ""));
    assertEquals(
        MemberState.SUSPECT,
        state("b"),
        "a leave reported by another member is an accusation only");
    advance(SECOND_NANOS);
    receive("a", new MembershipMessage.Ack(-1), update("a", 1, MemberState.ALIVE, ""));
    service.receive(
        now,
        "a",
        address("a"),
        START_NANOS / SECOND_NANOS + 1,
        new MembershipMessage.Ack(-1),
        List.of());
    assertEquals(MemberState.ALIVE, state("a"), "the accusation was refuted");
  }

  @Test
  void shortensSuspicionTimeoutWithEachAccuser() {
    join("a", "b", "c", "d");
    receive("b", new MembershipMessage.Ack(-1), update("a", 0, MemberState.SUSPECT, "b"));
    Suspicion suspicion = new Suspicion(now, SECOND_NANOS, 5, "b");
    long oneAccuser = suspicion.deadlineNanos() - now;
    assertTrue(suspicion.confirm("c"));
    assertFalse(suspicion.confirm("c"), "the same accuser counts once");
    long twoAccusers = suspicion.deadlineNanos() - now;
    assertTrue(suspicion.confirm("d"));
    assertFalse(suspicion.confirm("e"), "further accusers do not count and are not disseminated");
    long threeAccusers = suspicion.deadlineNanos() - now;
    assertTrue(
        oneAccuser > twoAccusers && twoAccusers > threeAccusers,
        oneAccuser + " " + twoAccusers + " " + threeAccusers);
    assertEquals(suspicion.minTimeoutNanos(), threeAccusers);
    assertEquals(6 * threeAccusers, oneAccuser);
  }

  @Test
  void refutesAccusationAndWorsensLocalHealth() {
    join("a");
    long before = service.incarnation();
    receive(
        "a",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 1, before, MemberState.SUSPECT, "a"));
    assertEquals(before + 1, service.incarnation());
    assertEquals(1, service.healthScore());
    receive("a", new MembershipMessage.Ping(7, "me"));
    assertTrue(
        last()
            .updates()
            .contains(new MembershipUpdate("me", 1, before + 1, MemberState.ALIVE, "")));
    receive(
        "a",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 1, before, MemberState.DEAD, "a"));
    assertEquals(before + 1, service.incarnation(), "this accusation has already been refuted");
    receive(
        "a",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 99, before + 1, MemberState.ALIVE, ""));
    assertEquals(before + 2, service.incarnation(), "an update with a wrong address is refuted");
  }

  private Sent last() {
    return sent.get(sent.size() - 1);
  }

  @Test
  void notifiesAccusedMemberWithinTwoPeriods() {
    join("a", "b", "c", "d");
    advanceAcknowledging(30 * SECOND_NANOS, "d");
    int firstNotification =
        sent.indexOf(
            sent.stream()
                .filter(
                    s ->
                        s.to().equals("d")
                            && !s.updates().isEmpty()
                            && s.updates().get(0).member().equals("d")
                            && s.updates().get(0).state() == MemberState.SUSPECT)
                .findFirst()
                .orElseThrow());
    MembershipUpdate accusation =
        changes.stream().filter(n -> n.state() == MemberState.SUSPECT).findFirst().orElseThrow();
    long accusedAt =
        sent.stream().filter(s -> s.updates().contains(accusation)).findFirst().orElseThrow().at();
    assertTrue(
        sent.get(firstNotification).at() - accusedAt <= 2 * SECOND_NANOS, "within two periods");
    long pingsToAccused =
        sent.stream()
            .filter(
                s ->
                    s.to().equals("d")
                        && s.message() instanceof MembershipMessage.Ping
                        && s.at() >= accusedAt)
            .count();
    assertTrue(pingsToAccused >= 5, pingsToAccused + " pings");
  }

  @Test
  void acceptsRefutationInReplyToFinalPing() {
    join("a", "b", "c", "d");
    for (String accuser : new String[] {"b", "c", "d"}) {
      receive(accuser, new MembershipMessage.Ack(-1), update("a", 0, MemberState.SUSPECT, accuser));
    }
    advance(3 * SECOND_NANOS - SECOND_NANOS / 5);
    sent.clear();
    advance(SECOND_NANOS / 2);
    Sent finalPing = sent.stream().filter(s -> s.to().equals("a")).findFirst().orElseThrow();
    assertEquals(MemberState.SUSPECT, finalPing.updates().get(0).state());
    service.receive(
        now,
        "a",
        address("a"),
        START_NANOS / SECOND_NANOS + 1,
        new MembershipMessage.Ack(-1),
        List.of());
    advance(5 * SECOND_NANOS);
    assertEquals(MemberState.ALIVE, state("a"));
  }

  @Test
  void sendsFinalPingsThroughRelays() {
    join("a", "b", "c", "d");
    for (String accuser : new String[] {"b", "c", "d"}) {
      receive(accuser, new MembershipMessage.Ack(-1), update("a", 0, MemberState.SUSPECT, accuser));
    }
    sent.clear();
    // All packets to and from the suspect are lost.
    Sent relayed = null;
    for (int i = 0; i < 80 && relayed == null; i++) {
      advanceAcknowledging(SECOND_NANOS / 10, "a");
      relayed =
          sent.stream()
              .filter(
                  s ->
                      s.message() instanceof MembershipMessage.PingRequest r
                          && r.target().equals("a"))
              .findFirst()
              .orElse(null);
    }
    assertEquals(MemberState.SUSPECT, state("a"));
    MembershipMessage.PingRequest pingRequest = (MembershipMessage.PingRequest) relayed.message();
    receive(
        relayed.to(),
        new MembershipMessage.Ack(pingRequest.sequenceNumber()),
        update("a", 1, MemberState.ALIVE, ""));
    assertEquals(
        MemberState.ALIVE,
        state("a"),
        "the relay passes on the refutation that it received from the suspect");
  }

  @Test
  void ignoresIncarnationFromTheFuture() {
    join("a", "b");
    receive(
        "b",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", 5, START_NANOS / SECOND_NANOS + 100, MemberState.SUSPECT, "b"));
    assertEquals(MemberState.ALIVE, state("a"));
    long before = service.incarnation();
    receive(
        "b",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 5, Long.MAX_VALUE, MemberState.DEAD, "b"));
    assertEquals(before, service.incarnation());
  }

  @Test
  void prefersAddressFromMembersOwnPackets() {
    receive(
        "liar",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", 666, START_NANOS / SECOND_NANOS, MemberState.ALIVE, ""));
    assertEquals(666, service.member("a").orElseThrow().address());
    join("a");
    assertEquals(address("a"), service.member("a").orElseThrow().address());
    receive(
        "liar",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", 666, START_NANOS / SECOND_NANOS, MemberState.ALIVE, ""));
    assertEquals(address("a"), service.member("a").orElseThrow().address());
  }

  @Test
  void prefersPlaceFromMembersOwnPackets() {
    join("b");
    receive(
        "b",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate(
            "a", address("a"), START_NANOS / SECOND_NANOS, MemberState.ALIVE, "", 0x0102));
    assertEquals(0x0102, service.member("a").orElseThrow().place());
    receive(
        "liar",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate(
            "a", address("a"), START_NANOS / SECOND_NANOS, MemberState.ALIVE, "", 0x0309));
    assertEquals(
        0x0102,
        service.member("a").orElseThrow().place(),
        "a report of another member sets an unknown place only");
    assertEquals(0, service.member("b").orElseThrow().place());
    service.receive(
        now,
        "b",
        address("b"),
        0x0201,
        START_NANOS / SECOND_NANOS,
        new MembershipMessage.Ack(-1),
        List.of());
    assertEquals(0x0201, service.member("b").orElseThrow().place());
    assertEquals(
        "b", changes.get(changes.size() - 1).member(), "the place is reported as a change");
    service.receive(
        now,
        "a",
        address("a"),
        0x0201,
        START_NANOS / SECOND_NANOS + 1,
        new MembershipMessage.Ack(-1),
        List.of());
    assertEquals(
        0x0201,
        service.member("a").orElseThrow().place(),
        "a restarted member may have another place");
  }

  @Test
  void notifiesRestartedMemberOfItsSuspicion() {
    join("a", "b");
    receive("b", new MembershipMessage.Ack(-1), update("a", 9, MemberState.ALIVE, ""));
    receive("a", new MembershipMessage.Ping(3, "me"));
    receive("b", new MembershipMessage.Ack(-1), update("a", 9, MemberState.SUSPECT, "b"));
    sent.clear();
    receive("a", new MembershipMessage.Ping(4, "me"));
    assertEquals(
        MemberState.SUSPECT,
        last().updates().get(0).state(),
        "the first update is the suspicion of the receiver");
    assertEquals(START_NANOS / SECOND_NANOS + 9, last().updates().get(0).incarnation());
    service.receive(
        now,
        "a",
        address("a"),
        START_NANOS / SECOND_NANOS + 10,
        new MembershipMessage.Ack(-1),
        List.of());
    assertEquals(MemberState.ALIVE, state("a"));
  }

  @Test
  void ignoresOldUpdateAfterLeave() {
    join("a", "b");
    service.receive(
        now,
        "a",
        address("a"),
        START_NANOS / SECOND_NANOS,
        new MembershipMessage.Leave(),
        List.of());
    assertEquals(MemberState.LEFT, state("a"));
    receive("b", new MembershipMessage.Ack(-1), update("a", 0, MemberState.ALIVE, ""));
    assertEquals(MemberState.LEFT, state("a"));
    advanceAcknowledging(700 * SECOND_NANOS, "a");
    assertTrue(
        service.member("a").isEmpty(), "a member that left is removed after the retention time");
  }

  @Test
  void declaresNoMemberDeadAfterLocalPause() {
    join("a", "b", "c");
    advance(16 * SECOND_NANOS);
    receive("b", new MembershipMessage.Ack(-1), update("a", 0, MemberState.SUSPECT, "b"));
    now += 20 * SECOND_NANOS; // longer than any suspicion timeout
    service.tick(now);
    assertEquals(MemberState.SUSPECT, state("a"), "a refutation may still wait on the socket");
    assertTrue(service.healthScore() > 0);
    assertEquals(MemberState.ALIVE, state("c"));
  }

  @Test
  void relaysPingAndReturnsAckOrNack() {
    join("c", "a", "b");
    sent.clear();
    receive("a", new MembershipMessage.PingRequest(42, "c", address("c")));
    MembershipMessage.Ping relayedPing = (MembershipMessage.Ping) last().message();
    assertEquals("c", last().to());
    receive("c", new MembershipMessage.Ack(relayedPing.sequenceNumber()));
    assertEquals(new MembershipMessage.Ack(42), last().message());
    assertEquals("a", last().to());
    assertEquals("c", last().updates().get(0).member(), "the relay adds the target's own state");
    receive("b", new MembershipMessage.PingRequest(43, "c", address("c")));
    for (int i = 0; i < 4; i++) {
      advance(SECOND_NANOS / 10);
    }
    assertTrue(
        sent.stream()
            .anyMatch(
                s -> s.to().equals("b") && s.message().equals(new MembershipMessage.Nack(43))));
  }

  @Test
  void accusesNoMemberWithoutBandwidthForPing() {
    service = instance(90, List.of()); // not one packet fits
    join("a", "b", "c");
    advance(100 * SECOND_NANOS);
    assertEquals(0, sent.size());
    assertEquals(4, service.size());
    assertEquals(MemberState.ALIVE, state("a"));
  }

  @Test
  void keepsBandwidthLimitInAnySecond() {
    service = instance(2_000, List.of());
    long maxBytesInOneSecond = 0;
    for (int i = 0; i < 600; i++) {
      for (int k = 0; k < 20; k++) {
        receive("m" + i % 50 + "x" + k, new MembershipMessage.Ping(i, "me"));
        receive("m" + i % 50 + "x" + k, new MembershipMessage.SyncRequest("", "", 1, List.of()));
      }
      advanceAcknowledging(SECOND_NANOS / 10);
      long from = now - SECOND_NANOS;
      maxBytesInOneSecond =
          Math.max(
              maxBytesInOneSecond,
              sent.stream()
                  .filter(s -> s.at() > from)
                  .mapToLong(s -> 100 + 30 * s.updates().size())
                  .sum());
    }
    assertTrue(maxBytesInOneSecond <= 2_000, maxBytesInOneSecond + " bytes");
    assertTrue(
        sent.stream().filter(s -> s.message() instanceof MembershipMessage.Ping).count() > 30,
        "the failure detector still works");
  }

  @Test
  void pingsSeedsAndWelcomesJoiningNode() {
    service = instance(MAX_BYTES_PER_SECOND, List.of(77L));
    advance(10 * SECOND_NANOS);
    assertTrue(
        sent.stream()
            .allMatch(
                s ->
                    s.address() == 77
                        && s.message()
                            .equals(
                                new MembershipMessage.Ping(
                                    ((MembershipMessage.Ping) s.message()).sequenceNumber(), ""))));
    assertTrue(sent.size() >= 3);
    join("a", "b", "c");
    receive("new", new MembershipMessage.Ping(1, ""));
    MembershipMessage.SyncResponse welcome = (MembershipMessage.SyncResponse) last().message();
    assertEquals(3, welcome.updates().size());
    assertTrue(welcome.truncated());
  }

  @Test
  void sendsOnlyMembersWithDifferentDigests() {
    join("a", "b", "c");
    List<Integer> digests =
        service.members().stream()
            .filter(m -> !m.name().equals("b"))
            .map(m -> MemberDigest.of(5, m))
            .toList();
    receive("a", new MembershipMessage.SyncRequest("", "", 5, digests));
    MembershipMessage.SyncResponse response = (MembershipMessage.SyncResponse) last().message();
    assertEquals(List.of("b"), response.updates().stream().map(MembershipUpdate::member).toList());
    assertFalse(response.truncated());
  }

  @Test
  void sendsSameMessagesForSameEvents() {
    List<Sent> first = runScenario();
    assertEquals(first, runScenario());
  }

  private List<Sent> runScenario() {
    now = START_NANOS;
    sent.clear();
    service = instance(4_096, List.of(7L, 8L));
    join("a", "b", "c", "d");
    advanceAcknowledging(40 * SECOND_NANOS, "c");
    return List.copyOf(sent);
  }
}
