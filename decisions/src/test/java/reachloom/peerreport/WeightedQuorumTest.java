package reachloom.peerreport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import reachloom.peerreport.OutcomeWindow.Observation;
import reachloom.peerreport.WeightedQuorum.Assessment;
import reachloom.scheduler.api.AttemptOutcome;

/** Tests the weighing of peers' reports, and the precedence of this node's own attempts. */
class WeightedQuorumTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final int ENGINE_COUNT = 12;

  private final OutcomeWindow ownOutcomes = new OutcomeWindow();
  private final WeightedQuorum quorum = new WeightedQuorum(ownOutcomes);
  private final Map<String, Long> engines = new LinkedHashMap<>();
  private long now = 1_000 * SECOND_NANOS;

  WeightedQuorumTest() {
    for (int i = 0; i < ENGINE_COUNT; i++) {
      engines.put("e" + i, 0L);
    }
  }

  private void report(String peer, String engine, int served, int timedOut) {
    quorum.onReports(now, peer, List.of(new PeerReport(engine, 0, served, 0, timedOut, 0)));
  }

  private double level(String engine) {
    return quorum.assess(now, engines).stream()
        .filter(b -> b.engine().equals(engine))
        .mapToDouble(Assessment::level)
        .findFirst()
        .orElse(0);
  }

  private void recordServed(String engine) {
    for (int i = 0; i < 4; i++) {
      ownOutcomes.record(now, engine, 0, Observation.SERVED);
    }
  }

  /** Lets peers accuse, for some seconds, an engine that serves this node's own attempts. */
  private void accuseHealthyEngine(String engine, int seconds, String... peers) {
    for (int i = 0; i < seconds; i++) {
      now += SECOND_NANOS;
      recordServed(engine);
      for (String p : peers) {
        report(p, engine, 0, 5);
      }
      quorum.assess(now, engines);
    }
  }

  @Test
  void doesNotAccuseEngineOnSinglePeersReport() {
    for (int i = 0; i < 20; i++) {
      now += SECOND_NANOS;
      report("p", "e1", 0, 1_000);
      assertTrue(level("e1") < WeightedQuorum.ACCUSED_LEVEL);
    }
    assertTrue(level("e1") > 0, "the report of a single peer still counts");
  }

  @Test
  void accusesEngineReportedByTwoIndependentPeers() {
    report("p", "e1", 0, 5);
    report("q", "e1", 0, 4);
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
    assertEquals(List.of("p", "q"), quorum.assess(now, engines).get(0).accusers());
  }

  @Test
  void lowersLevelWithVouchers() {
    report("p", "e1", 0, 5);
    report("q", "e1", 0, 4);
    double accused = level("e1");
    for (String v : new String[] {"r", "s", "t", "u"}) {
      report(v, "e1", 20, 0);
    }
    assertTrue(level("e1") < WeightedQuorum.ACCUSED_LEVEL && level("e1") < accused);
  }

  @Test
  void prefersRecentOwnAttemptsOverReports() {
    for (int i = 0; i < 30; i++) {
      report("p" + i, "e1", 0, 50);
    }
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
    recordServed("e1");
    assertEquals(0, level("e1"));
    now += 4 * SECOND_NANOS; // own attempts are no longer recent
    for (int i = 30; i < 40; i++) {
      report("p" + i, "e1", 0, 50);
    }
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
  }

  @Test
  void lowersReputationOfContradictedPeer() {
    accuseHealthyEngine("e1", 10, "liar");
    assertTrue(quorum.reputation("liar") < 0.05, "reputation " + quorum.reputation("liar"));
    assertTrue(quorum.contradictions("liar") >= 8);
    now += 10 * SECOND_NANOS;
    level("e1");
    assertTrue(quorum.reputation("liar") < 0.1);
    for (int i = 0; i < 1_000; i++) {
      now += SECOND_NANOS;
      level("e1");
    }
    assertTrue(quorum.reputation("liar") > 0.4);
  }

  @Test
  void raisesReputationOfConfirmedPeer() {
    for (int i = 0; i < 10; i++) {
      now += SECOND_NANOS;
      ownOutcomes.record(now, "e1", 0, Observation.TIMED_OUT);
      ownOutcomes.record(now, "e1", 0, Observation.TIMED_OUT);
      report("p", "e1", 0, 3);
      level("e1");
    }
    assertTrue(quorum.reputation("p") > 0.7);
  }

  @Test
  void countsPeersContradictedTogetherAsOne() {
    accuseHealthyEngine("e1", 1, "x", "y", "z"); // their reputations alone would still suffice
    for (String p : new String[] {"x", "y", "z"}) {
      report(p, "e2", 0, 50); // another engine, without own attempts
    }
    assertTrue(level("e2") < WeightedQuorum.ACCUSED_LEVEL, "level " + level("e2"));
    report("a", "e2", 0, 5);
    report("b", "e2", 0, 5);
    assertTrue(level("e2") >= WeightedQuorum.ACCUSED_LEVEL, "two honest peers still form a quorum");
  }

  @Test
  void accusesEngineDespiteSingleVoucher() {
    report("p", "e1", 0, 5);
    report("q", "e1", 0, 5);
    report("liar", "e1", 1_000, 0);
    assertTrue(level("e1") >= WeightedQuorum.ACCUSED_LEVEL);
  }

  @Test
  void limitsShareOfAccusedEngines() {
    for (String e : engines.keySet()) {
      report("x", e, 0, 50);
      report("y", e, 0, 50);
      report("z", e, 0, 50);
    }
    long accused =
        quorum.assess(now, engines).stream()
            .filter(b -> b.level() >= WeightedQuorum.ACCUSED_LEVEL)
            .count();
    assertEquals(ENGINE_COUNT / 4, accused);
  }

  @Test
  void reportsAndOutcomesStartEmptyForNewIncarnation() {
    report("p", "e1", 0, 5);
    report("q", "e1", 0, 5);
    engines.put("e1", 77L);
    assertEquals(0, level("e1"));
    ownOutcomes.record(now, "e1", 77, Observation.SERVED);
    ownOutcomes.record(
        now, "e1", 0, Observation.TIMED_OUT); // an attempt at the old process ends late
    assertEquals(new PeerReport("e1", 77, 1, 0, 0, 0), ownOutcomes.summary(now, "e1", 77, 3));
  }

  @Test
  void dropsExpiredReportsAndThoseOfRemovedPeer() {
    report("p", "e1", 0, 5);
    report("q", "e1", 0, 5);
    quorum.onPeerRemoved("q");
    assertTrue(level("e1") < WeightedQuorum.ACCUSED_LEVEL);
    now += 21 * SECOND_NANOS;
    assertEquals(0, level("e1"));
  }

  @Test
  void mapsAttemptOutcomesToObservations() {
    assertEquals(Optional.of(Observation.SERVED), Observation.of(AttemptOutcome.SERVED, false));
    assertEquals(
        Optional.of(Observation.TIMED_OUT), Observation.of(AttemptOutcome.CANCELLED, true));
    assertEquals(
        Optional.empty(),
        Observation.of(AttemptOutcome.CANCELLED, false),
        "its client has disconnected");
    assertEquals(
        Optional.empty(),
        Observation.of(AttemptOutcome.FULL, true),
        "a full engine is not a failing one");
    assertEquals(Optional.of(Observation.FAILED), Observation.of(AttemptOutcome.RESET, true));
  }

  @Test
  void ignoresReportsWithImpossibleValues() {
    quorum.onReports(
        now,
        "p",
        List.of(
            new PeerReport("e1", 0, -5, 3, 1, 0),
            new PeerReport("e1", 0, 0, 0, 5, -1),
            new PeerReport("e1", 0, 0, 0, 5, Long.MAX_VALUE)));
    assertEquals(0, level("e1"));
  }

  @Test
  void reportsFailingEnginesFirstThenLeastRecentlyReported() {
    for (int i = 0; i < 6; i++) {
      ownOutcomes.record(now, "e" + i, 0, Observation.SERVED);
    }
    ownOutcomes.record(now, "e4", 0, Observation.FAILED);
    assertEquals("e4", ownOutcomes.reportsToSend(now, 2).get(0).engine());
    now += SECOND_NANOS;
    List<PeerReport> next = ownOutcomes.reportsToSend(now, 3);
    assertEquals("e4", next.get(0).engine());
    assertEquals("e1", next.get(1).engine(), "e0 has already been reported");
    now += 11 * SECOND_NANOS;
    assertEquals(List.of(), ownOutcomes.reportsToSend(now, 5), "the window has passed");
    ownOutcomes.record(now, "e0", 0, Observation.SERVED);
    ownOutcomes.record(now, "e0", 0, Observation.TIMED_OUT);
    ownOutcomes.record(now, "e0", 0, Observation.TIMED_OUT);
    assertEquals(
        new PeerReport("e0", 0, 0, 0, 2, 0),
        ownOutcomes.reportsToSend(now, 1).get(0),
        "attempts served earlier do not hide the failures");
    now += 15 * SECOND_NANOS;
    assertEquals(
        2, ownOutcomes.reportsToSend(now, 1).get(0).timedOut(), "a streak outlasts the window");
    ownOutcomes.record(now, "e0", 0, Observation.SERVED);
    assertEquals(1, ownOutcomes.reportsToSend(now, 1).get(0).served());
  }
}
