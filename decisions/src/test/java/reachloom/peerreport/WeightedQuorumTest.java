package reachloom.peerreport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.AttemptOutcome;

/** What others say is weighed, and own evidence goes before it. */
class WeightedQuorumTest {
  private static final long SECOND = 1_000_000_000;
  private static final int ENGINES = 12;

  private final OutcomeWindow own = new OutcomeWindow();
  private final WeightedQuorum others = new WeightedQuorum(own);
  private final Map<String, Long> engines = new LinkedHashMap<>();
  private long now = 1_000 * SECOND;

  WeightedQuorumTest() {
    for (int i = 0; i < ENGINES; i++) {
      engines.put("e" + i, 0L);
    }
  }

  private void claim(String peer, String engine, int served, int lost) {
    others.onReports(now, peer, List.of(new PeerReport(engine, 0, served, 0, lost, 0)));
  }

  private double level(String engine) {
    return others.assess(now, engines).stream()
        .filter(b -> b.engine().equals(engine))
        .mapToDouble(WeightedQuorum.Assessment::level)
        .findFirst()
        .orElse(0);
  }

  private void seeGood(String engine) {
    for (int i = 0; i < 4; i++) {
      own.record(now, engine, 0, OutcomeWindow.Observation.SERVED);
    }
  }

  /** Peers accuse an engine that is seen to be well, some seconds long. */
  private void slander(String engine, int seconds, String... peers) {
    for (int i = 0; i < seconds; i++) {
      now += SECOND;
      seeGood(engine);
      for (String p : peers) {
        claim(p, engine, 0, 5);
      }
      others.assess(now, engines);
    }
  }

  @Test
  void onePeerAloneNeverBringsAnEngineToBeAccused() {
    for (int i = 0; i < 20; i++) {
      now += SECOND;
      claim("p", "e1", 0, 1_000);
      assertTrue(level("e1") < WeightedQuorum.ACCUSED_LEVEL);
    }
    assertTrue(level("e1") > 0, "but it is heard");
  }

  @Test
  void twoThatSawItIndependentlyDo() {
    claim("p", "e1", 0, 5);
    claim("q", "e1", 0, 4);
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
    assertEquals(List.of("p", "q"), others.assess(now, engines).get(0).accusers());
  }

  @Test
  void vouchersSpeakAgainstAccusers() {
    claim("p", "e1", 0, 5);
    claim("q", "e1", 0, 4);
    double accused = level("e1");
    for (String v : new String[] {"r", "s", "t", "u"}) {
      claim(v, "e1", 20, 0);
    }
    assertTrue(level("e1") < WeightedQuorum.ACCUSED_LEVEL && level("e1") < accused);
  }

  @Test
  void ownFreshEvidenceGoesBeforeAllOfThem() {
    for (int i = 0; i < 30; i++) {
      claim("p" + i, "e1", 0, 50);
    }
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
    seeGood("e1");
    assertEquals(0, level("e1"));
    now += 4 * SECOND; // what was seen is no longer fresh
    for (int i = 30; i < 40; i++) {
      claim("p" + i, "e1", 0, 50);
    }
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
  }

  @Test
  void aPeerThatIsContradictedLosesItsStandingAndRegainsItSlowly() {
    slander("e1", 10, "liar");
    assertTrue(others.reputation("liar") < 0.05, others.reputation("liar") + "");
    assertTrue(others.contradictions("liar") >= 8);
    now += 10 * SECOND;
    level("e1");
    assertTrue(others.reputation("liar") < 0.1);
    for (int i = 0; i < 1_000; i++) {
      now += SECOND;
      level("e1");
    }
    assertTrue(others.reputation("liar") > 0.4);
  }

  @Test
  void whatIsBorneOutRaisesStanding() {
    for (int i = 0; i < 10; i++) {
      now += SECOND;
      own.record(now, "e1", 0, OutcomeWindow.Observation.TIMED_OUT);
      own.record(now, "e1", 0, OutcomeWindow.Observation.TIMED_OUT);
      claim("p", "e1", 0, 3);
      level("e1");
    }
    assertTrue(others.reputation("p") > 0.7);
  }

  @Test
  void liarsThatAgreeCountAsOneOnceTheyHaveBeenFoundOut() {
    slander("e1", 1, "x", "y", "z"); // their standing would still do
    for (String p : new String[] {"x", "y", "z"}) {
      claim(p, "e2", 0, 50); // another engine, of which nothing is seen here
    }
    assertTrue(level("e2") < WeightedQuorum.ACCUSED_LEVEL, level("e2") + "");
    claim("a", "e2", 0, 5);
    claim("b", "e2", 0, 5);
    assertTrue(level("e2") >= WeightedQuorum.ACCUSED_LEVEL, "two honest ones still count");
  }

  @Test
  void aSickEngineThatALiarPraisesIsStillAccusedByTwo() {
    claim("p", "e1", 0, 5);
    claim("q", "e1", 0, 5);
    claim("liar", "e1", 1_000, 0);
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
  }

  @Test
  void noMoreThanAPartOfTheEnginesIsAccusedAtATime() {
    for (String e : engines.keySet()) {
      claim("x", e, 0, 50);
      claim("y", e, 0, 50);
      claim("z", e, 0, 50);
    }
    long accused =
        others.assess(now, engines).stream()
            .filter(b -> b.level() >= WeightedQuorum.ACCUSED_LEVEL)
            .count();
    assertEquals(ENGINES / 4, accused);
  }

  @Test
  void anotherProcessAtTheSamePlaceInheritsNothing() {
    claim("p", "e1", 0, 5);
    claim("q", "e1", 0, 5);
    engines.put("e1", 77L);
    assertEquals(0, level("e1"));
    own.record(now, "e1", 77, OutcomeWindow.Observation.SERVED);
    own.record(
        now, "e1", 0, OutcomeWindow.Observation.TIMED_OUT); // an attempt at the old one ends late
    assertEquals(new PeerReport("e1", 77, 1, 0, 0, 0), own.summary(now, "e1", 77, 3));
  }

  @Test
  void claimsGrowOldAndWhoIsGoneTakesHisWithHim() {
    claim("p", "e1", 0, 5);
    claim("q", "e1", 0, 5);
    others.onPeerGone("q");
    assertTrue(level("e1") < WeightedQuorum.ACCUSED_LEVEL);
    now += 21 * SECOND;
    assertEquals(0, level("e1"));
  }

  @Test
  void whatAnEndTellsOfAnEngine() {
    assertEquals(
        OutcomeWindow.Observation.SERVED,
        OutcomeWindow.Observation.of(AttemptOutcome.SERVED, false));
    assertEquals(
        OutcomeWindow.Observation.TIMED_OUT,
        OutcomeWindow.Observation.of(AttemptOutcome.CANCELLED, true));
    assertNull(
        OutcomeWindow.Observation.of(AttemptOutcome.CANCELLED, false), "its client has left");
    assertNull(
        OutcomeWindow.Observation.of(AttemptOutcome.FULL, true), "a full engine is not a sick one");
    assertEquals(
        OutcomeWindow.Observation.FAILED, OutcomeWindow.Observation.of(AttemptOutcome.RESET, true));
  }

  @Test
  void nonsenseInClaimsIsLeftOut() {
    others.onReports(
        now,
        "p",
        List.of(
            new PeerReport("e1", 0, -5, 3, 1, 0),
            new PeerReport("e1", 0, 0, 0, 5, -1),
            new PeerReport("e1", 0, 0, 0, 5, Long.MAX_VALUE)));
    assertEquals(0, level("e1"));
  }

  @Test
  void theLedgerTellsOfTroubleFirstAndThenInTurn() {
    for (int i = 0; i < 6; i++) {
      own.record(now, "e" + i, 0, OutcomeWindow.Observation.SERVED);
    }
    own.record(now, "e4", 0, OutcomeWindow.Observation.FAILED);
    assertEquals("e4", own.reportsToSend(now, 2).get(0).engine());
    now += SECOND;
    List<PeerReport> next = own.reportsToSend(now, 3);
    assertEquals("e4", next.get(0).engine());
    assertEquals("e1", next.get(1).engine(), "e0 was told before");
    now += 11 * SECOND;
    assertEquals(List.of(), own.reportsToSend(now, 5), "the span is over");
    own.record(now, "e0", 0, OutcomeWindow.Observation.SERVED);
    own.record(now, "e0", 0, OutcomeWindow.Observation.TIMED_OUT);
    own.record(now, "e0", 0, OutcomeWindow.Observation.TIMED_OUT);
    assertEquals(
        new PeerReport("e0", 0, 0, 0, 2, 0),
        own.reportsToSend(now, 1).get(0),
        "what it served before hides nothing");
    now += 15 * SECOND;
    assertEquals(2, own.reportsToSend(now, 1).get(0).timedOut(), "nobody has seen better since");
    own.record(now, "e0", 0, OutcomeWindow.Observation.SERVED);
    assertEquals(1, own.reportsToSend(now, 1).get(0).served());
  }
}
