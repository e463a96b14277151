package reachloom.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One instance, told event by event what the others say; no network. */
class MembershipServiceTest {
  private static final long SECOND = 1_000_000_000;
  private static final long START = 1_000_000 * SECOND;
  private static final int CAP = 65_536;

  private record Sent(
      long at, String to, long address, MembershipMessage message, List<MembershipUpdate> news) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<MembershipUpdate> changes = new ArrayList<>();
  private long now = START;
  private MembershipService me;

  private final class Out implements MessageSender {
    @Override
    public int send(
        long at,
        String to,
        long address,
        MembershipMessage message,
        List<MembershipUpdate> news,
        int most) {
      sent.add(new Sent(at, to, address, message, news));
      return 100 + 30 * news.size();
    }

    @Override
    public void onMemberChanged(long at, MembershipUpdate member) {
      changes.add(member);
    }
  }

  private static final WireSizes WEIGHTS =
      new WireSizes() {
        @Override
        public int messageBytes(String to, MembershipMessage message) {
          return 100;
        }

        @Override
        public int updateBytes(MembershipUpdate news) {
          return 30;
        }
      };

  @BeforeEach
  void start() {
    me = instance(CAP, List.of());
  }

  private MembershipService instance(int cap, List<Long> seeds) {
    return new MembershipService(
        "me", 1, seeds, now, SECOND, cap, new SplittableRandom(1), new Out(), WEIGHTS);
  }

  private void pass(long time) {
    for (long until = now + time; now < until; ) {
      now += SECOND / 10;
      me.tick(now);
    }
  }

  private void hear(String from, MembershipMessage message, MembershipUpdate... news) {
    me.receive(now, from, address(from), START / SECOND, message, List.of(news));
  }

  private static long address(String name) {
    return 100 + name.hashCode() % 50;
  }

  private static MembershipUpdate news(String of, long incarnation, MemberState state, String by) {
    return new MembershipUpdate(of, address(of), START / SECOND + incarnation, state, by);
  }

  private MemberState state(String of) {
    Member m = me.member(of);
    return m == null ? null : m.state();
  }

  private void join(String... names) {
    for (String n : names) {
      hear(n, new MembershipMessage.Ack(-1));
    }
  }

  /** Answers pings that have gone out to members, but for those named. */
  private void passAnswering(long time, String... silent) {
    for (long until = now + time; now < until; ) {
      int from = sent.size();
      pass(SECOND / 10);
      for (Sent s : List.copyOf(sent.subList(from, sent.size()))) {
        if (s.message() instanceof MembershipMessage.Ping p && !List.of(silent).contains(s.to())) {
          hear(s.to(), new MembershipMessage.Ack(p.sequenceNumber()));
        }
      }
    }
  }

  @Test
  void aPacketOfItsOwnMakesAMember() {
    join("a");
    assertEquals(MemberState.ALIVE, state("a"));
    assertEquals(2, me.size());
    assertEquals("a", changes.get(0).member());
  }

  @Test
  void whoDoesNotAnswerIsAskedThroughOthersThenSuspectedThenDead() {
    join("a", "b", "c", "d", "e");
    passAnswering(30 * SECOND, "e");
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
        "three others were asked");
    assertTrue(
        changes.stream().anyMatch(n -> n.member().equals("e") && n.state() == MemberState.SUSPECT));
    passAnswering(30 * SECOND, "e");
    assertEquals(MemberState.DEAD, state("e"));
    assertEquals(
        List.of("a", "b", "c", "d"),
        me.members().stream()
            .filter(m -> m.state() == MemberState.ALIVE)
            .map(Member::name)
            .toList());
    assertEquals(5, me.size());
  }

  @Test
  void eachIsProbedWithinTwoRounds() {
    join("a", "b", "c", "d", "e", "f", "g", "h");
    passAnswering(16 * SECOND);
    sent.clear();
    passAnswering(15 * SECOND); // 2n - 1 periods, as SWIM has it
    assertEquals(
        8,
        sent.stream()
            .filter(s -> s.message() instanceof MembershipMessage.Ping)
            .map(Sent::to)
            .distinct()
            .count());
  }

  @Test
  void oneVoiceAboutADeathIsAnAccusationOnly() {
    join("a", "b", "liar");
    hear("liar", new MembershipMessage.Ack(-1), news("a", 0, MemberState.DEAD, "liar"));
    assertEquals(MemberState.SUSPECT, state("a"));
    hear("liar", new MembershipMessage.Ack(-1), news("b", 0, MemberState.LEFT, ""));
    assertEquals(MemberState.SUSPECT, state("b"), "nor is a farewell taken from a third one");
    pass(SECOND);
    hear("a", new MembershipMessage.Ack(-1), news("a", 1, MemberState.ALIVE, ""));
    me.receive(
        now, "a", address("a"), START / SECOND + 1, new MembershipMessage.Ack(-1), List.of());
    assertEquals(MemberState.ALIVE, state("a"), "it has objected");
  }

  @Test
  void eachFurtherAccuserShortensTheTimeToObject() {
    join("a", "b", "c", "d");
    hear("b", new MembershipMessage.Ack(-1), news("a", 0, MemberState.SUSPECT, "b"));
    Suspicion one = new Suspicion(now, SECOND, 5, "b");
    long alone = one.until() - now;
    assertTrue(one.confirm("c"));
    assertFalse(one.confirm("c"), "the same voice twice");
    long two = one.until() - now;
    assertTrue(one.confirm("d"));
    assertFalse(one.confirm("e"), "more change nothing, and are not passed on");
    long three = one.until() - now;
    assertTrue(alone > two && two > three, alone + " " + two + " " + three);
    assertEquals(one.least(), three);
    assertEquals(6 * three, alone);
  }

  @Test
  void whoIsAccusedObjectsInAHigherIncarnationAndLooksToItself() {
    join("a");
    long before = me.incarnation();
    hear(
        "a",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 1, before, MemberState.SUSPECT, "a"));
    assertEquals(before + 1, me.incarnation());
    assertEquals(1, me.healthScore());
    hear("a", new MembershipMessage.Ping(7, "me"));
    assertTrue(
        last().news().contains(new MembershipUpdate("me", 1, before + 1, MemberState.ALIVE, "")));
    hear(
        "a",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 1, before, MemberState.DEAD, "a"));
    assertEquals(before + 1, me.incarnation(), "that was answered");
    hear(
        "a",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 99, before + 1, MemberState.ALIVE, ""));
    assertEquals(before + 2, me.incarnation(), "somebody has it elsewhere");
  }

  private Sent last() {
    return sent.get(sent.size() - 1);
  }

  @Test
  void whoIsAccusedHereIsToldSoAtOnce() {
    join("a", "b", "c", "d");
    passAnswering(30 * SECOND, "d");
    int at =
        sent.indexOf(
            sent.stream()
                .filter(
                    s ->
                        s.to().equals("d")
                            && !s.news().isEmpty()
                            && s.news().get(0).member().equals("d")
                            && s.news().get(0).state() == MemberState.SUSPECT)
                .findFirst()
                .orElseThrow());
    MembershipUpdate accusation =
        changes.stream().filter(n -> n.state() == MemberState.SUSPECT).findFirst().orElseThrow();
    long accused =
        sent.stream().filter(s -> s.news().contains(accusation)).findFirst().orElseThrow().at();
    assertTrue(sent.get(at).at() - accused <= 2 * SECOND, "within two periods");
    long told =
        sent.stream()
            .filter(
                s ->
                    s.to().equals("d")
                        && s.message() instanceof MembershipMessage.Ping
                        && s.at() >= accused)
            .count();
    assertTrue(told >= 5, told + " times");
  }

  @Test
  void nobodyIsGivenUpUnaskedAndAnObjectionStillCounts() {
    join("a", "b", "c", "d");
    for (String accuser : new String[] {"b", "c", "d"}) {
      hear(accuser, new MembershipMessage.Ack(-1), news("a", 0, MemberState.SUSPECT, accuser));
    }
    pass(3 * SECOND - SECOND / 5);
    sent.clear();
    pass(SECOND / 2);
    Sent question = sent.stream().filter(s -> s.to().equals("a")).findFirst().orElseThrow();
    assertEquals(MemberState.SUSPECT, question.news().get(0).state());
    me.receive(
        now, "a", address("a"), START / SECOND + 1, new MembershipMessage.Ack(-1), List.of());
    pass(5 * SECOND);
    assertEquals(MemberState.ALIVE, state("a"));
  }

  @Test
  void theLastQuestionsGoThroughOthersToo() {
    join("a", "b", "c", "d");
    for (String accuser : new String[] {"b", "c", "d"}) {
      hear(accuser, new MembershipMessage.Ack(-1), news("a", 0, MemberState.SUSPECT, accuser));
    }
    sent.clear();
    // Whatever goes to it, or comes back from it, is lost on the way.
    Sent through = null;
    for (int i = 0; i < 80 && through == null; i++) {
      passAnswering(SECOND / 10, "a");
      through =
          sent.stream()
              .filter(
                  s ->
                      s.message() instanceof MembershipMessage.PingRequest r
                          && r.target().equals("a"))
              .findFirst()
              .orElse(null);
    }
    assertEquals(MemberState.SUSPECT, state("a"));
    MembershipMessage.PingRequest asked = (MembershipMessage.PingRequest) through.message();
    hear(
        through.to(),
        new MembershipMessage.Ack(asked.sequenceNumber()),
        news("a", 1, MemberState.ALIVE, ""));
    assertEquals(
        MemberState.ALIVE,
        state("a"),
        "it had objected long ago, and the relay has heard so from itself");
  }

  @Test
  void noIncarnationFromTheFutureLeavesNoNumberToObjectWith() {
    join("a", "b");
    hear(
        "b",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", 5, START / SECOND + 100, MemberState.SUSPECT, "b"));
    assertEquals(MemberState.ALIVE, state("a"));
    long before = me.incarnation();
    hear(
        "b",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("me", 5, Long.MAX_VALUE, MemberState.DEAD, "b"));
    assertEquals(before, me.incarnation());
  }

  @Test
  void hearsayOfAnAddressYieldsToThePacketsOfItsOwn() {
    hear(
        "liar",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", 666, START / SECOND, MemberState.ALIVE, ""));
    assertEquals(666, me.member("a").address());
    join("a");
    assertEquals(address("a"), me.member("a").address());
    hear(
        "liar",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", 666, START / SECOND, MemberState.ALIVE, ""));
    assertEquals(address("a"), me.member("a").address());
  }

  @Test
  void aPlaceIsHeardOfAndItsOwnPacketsGoBeforeHearsay() {
    join("b");
    hear(
        "b",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", address("a"), START / SECOND, MemberState.ALIVE, "", 0x0102));
    assertEquals(0x0102, me.member("a").place());
    hear(
        "liar",
        new MembershipMessage.Ack(-1),
        new MembershipUpdate("a", address("a"), START / SECOND, MemberState.ALIVE, "", 0x0309));
    assertEquals(0x0102, me.member("a").place(), "hearsay fills a gap and moves nobody");
    assertEquals(0, me.member("b").place());
    me.receive(
        now, "b", address("b"), 0x0201, START / SECOND, new MembershipMessage.Ack(-1), List.of());
    assertEquals(0x0201, me.member("b").place());
    assertEquals("b", changes.get(changes.size() - 1).member(), "it is told like any change");
    me.receive(
        now,
        "a",
        address("a"),
        0x0201,
        START / SECOND + 1,
        new MembershipMessage.Ack(-1),
        List.of());
    assertEquals(0x0201, me.member("a").place(), "a new life may be elsewhere");
  }

  @Test
  void aRestartUnderAnOldIncarnationIsToldSoAndComesBack() {
    join("a", "b");
    hear("b", new MembershipMessage.Ack(-1), news("a", 9, MemberState.ALIVE, ""));
    hear("a", new MembershipMessage.Ping(3, "me"));
    hear("b", new MembershipMessage.Ack(-1), news("a", 9, MemberState.SUSPECT, "b"));
    sent.clear();
    hear("a", new MembershipMessage.Ping(4, "me"));
    assertEquals(
        MemberState.SUSPECT,
        last().news().get(0).state(),
        "first of all it hears that it is suspected");
    assertEquals(START / SECOND + 9, last().news().get(0).incarnation());
    me.receive(
        now, "a", address("a"), START / SECOND + 10, new MembershipMessage.Ack(-1), List.of());
    assertEquals(MemberState.ALIVE, state("a"));
  }

  @Test
  void aFarewellOfItsOwnIsTakenAtOnceAndAnOldMessageDoesNotBringItBack() {
    join("a", "b");
    me.receive(now, "a", address("a"), START / SECOND, new MembershipMessage.Leave(), List.of());
    assertEquals(MemberState.LEFT, state("a"));
    hear("b", new MembershipMessage.Ack(-1), news("a", 0, MemberState.ALIVE, ""));
    assertEquals(MemberState.LEFT, state("a"));
    passAnswering(700 * SECOND, "a");
    assertNull(me.member("a"), "forgotten in the end");
  }

  @Test
  void aStandstillBlamesNobodyElse() {
    join("a", "b", "c");
    pass(16 * SECOND);
    hear("b", new MembershipMessage.Ack(-1), news("a", 0, MemberState.SUSPECT, "b"));
    now += 20 * SECOND; // longer than any time to object
    me.tick(now);
    assertEquals(MemberState.SUSPECT, state("a"), "what was said meanwhile waits on the socket");
    assertTrue(me.healthScore() > 0);
    assertEquals(MemberState.ALIVE, state("c"));
  }

  @Test
  void aRelayPassesTheQuestionAndTheAnswerOrItsNo() {
    join("c", "a", "b");
    sent.clear();
    hear("a", new MembershipMessage.PingRequest(42, "c", address("c")));
    MembershipMessage.Ping asked = (MembershipMessage.Ping) last().message();
    assertEquals("c", last().to());
    hear("c", new MembershipMessage.Ack(asked.sequenceNumber()));
    assertEquals(new MembershipMessage.Ack(42), last().message());
    assertEquals("a", last().to());
    assertEquals("c", last().news().get(0).member(), "with what it has heard from it itself");
    hear("b", new MembershipMessage.PingRequest(43, "c", address("c")));
    for (int i = 0; i < 4; i++) {
      pass(SECOND / 10);
    }
    assertTrue(
        sent.stream()
            .anyMatch(
                s -> s.to().equals("b") && s.message().equals(new MembershipMessage.Nack(43))));
  }

  @Test
  void withoutRoomForTheQuestionNobodyIsBlamed() {
    me = instance(90, List.of()); // not one packet fits
    join("a", "b", "c");
    pass(100 * SECOND);
    assertEquals(0, sent.size());
    assertEquals(4, me.size());
    assertEquals(MemberState.ALIVE, state("a"));
  }

  @Test
  void theCapHoldsInAnySecondWhateverIsAsked() {
    me = instance(2_000, List.of());
    long most = 0;
    for (int i = 0; i < 600; i++) {
      for (int k = 0; k < 20; k++) {
        hear("m" + i % 50 + "x" + k, new MembershipMessage.Ping(i, "me"));
        hear("m" + i % 50 + "x" + k, new MembershipMessage.SyncRequest("", "", 1, List.of()));
      }
      passAnswering(SECOND / 10);
      long from = now - SECOND;
      most =
          Math.max(
              most,
              sent.stream()
                  .filter(s -> s.at() > from)
                  .mapToLong(s -> 100 + 30 * s.news().size())
                  .sum());
    }
    assertTrue(most <= 2_000, most + " bytes");
    assertTrue(
        sent.stream().filter(s -> s.message() instanceof MembershipMessage.Ping).count() > 30,
        "the failure detector still works");
  }

  @Test
  void whoIsAloneAsksItsSeedsAndWhoIsAskedSoTellsOfOthers() {
    me = instance(CAP, List.of(77L));
    pass(10 * SECOND);
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
    hear("new", new MembershipMessage.Ping(1, ""));
    MembershipMessage.SyncResponse welcome = (MembershipMessage.SyncResponse) last().message();
    assertEquals(3, welcome.updates().size());
    assertTrue(welcome.truncated());
  }

  @Test
  void tablesAreComparedByMarksAndOnlyTheDifferenceIsTold() {
    join("a", "b", "c");
    List<Integer> marks =
        me.members().stream()
            .filter(m -> !m.name().equals("b"))
            .map(m -> MemberDigest.of(5, m))
            .toList();
    hear("a", new MembershipMessage.SyncRequest("", "", 5, marks));
    MembershipMessage.SyncResponse part = (MembershipMessage.SyncResponse) last().message();
    assertEquals(List.of("b"), part.updates().stream().map(MembershipUpdate::member).toList());
    assertFalse(part.truncated());
  }

  @Test
  void theSameEventsGiveTheSamePackets() {
    List<Sent> first = script();
    assertEquals(first, script());
  }

  private List<Sent> script() {
    now = START;
    sent.clear();
    me = instance(4_096, List.of(7L, 8L));
    join("a", "b", "c", "d");
    passAnswering(40 * SECOND, "c");
    return List.copyOf(sent);
  }
}
