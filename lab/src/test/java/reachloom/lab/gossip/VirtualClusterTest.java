package reachloom.lab.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import reachloom.lab.gossip.VirtualCluster.Node;
import reachloom.lab.gossip.VirtualRun.Lie;
import reachloom.lab.gossip.VirtualRun.Plan;
import reachloom.membership.MemberState;

/** Tests membership and peer reports under failures in simulated time. */
class VirtualClusterTest {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final int CAP = 4_096; // bytes a second

  /**
   * Queries a second at each gateway that keep engines 60% busy, so that the choice of an engine
   * matters.
   */
  private static final int LOADED_RATE = 200;

  private static VirtualCluster settled(int instances, long seed, double loss) {
    VirtualCluster c = new VirtualCluster(seed, SECOND, CAP, loss);
    c.add(instances, 3);
    for (int i = 0; i < 90 && !c.agreed(); i++) {
      c.run(SECOND);
    }
    assertTrue(c.agreed(), "all instances know each other");
    assertEquals(0, c.falseDeaths);
    return c;
  }

  private static void awaitAgreement(VirtualCluster c, int seconds) {
    for (int i = 0; i < seconds && !c.agreed(); i++) {
      c.run(SECOND);
    }
    assertTrue(c.agreed());
  }

  @Test
  void detectsOnlyRealCrashUnderLossAndSlowInstances() {
    VirtualCluster c = settled(40, 1, 0.05);
    c.nodes.get(38).slow = true;
    c.nodes.get(39).slow = true;
    c.run(60 * SECOND);
    Node crashed = c.nodes.get(20);
    crashed.up = false;
    c.run(40 * SECOND);
    assertEquals(39, c.countHolding(crashed, MemberState.DEAD));
    assertEquals(0, c.falseDeaths);
    assertTrue(c.maxBytesPerSecond(false) <= CAP, c.maxBytesPerSecond(false) + " bytes");
  }

  @Test
  void mergesHalvesAfterNetworkCutHeals() {
    VirtualCluster c = settled(20, 2, 0);
    c.cut = (a, b) -> c.nodes.indexOf(a) < 10 != c.nodes.indexOf(b) < 10;
    c.run(60 * SECOND);
    assertTrue(
        c.nodes.get(0).gossip.membership().size() <= 10,
        "each half removes the members of the other half");
    c.cut = (a, b) -> false;
    awaitAgreement(c, 60);
  }

  @Test
  void refutesFalseSuspicionsOfInstanceThatReceivesNothing() {
    VirtualCluster c = settled(12, 3, 0);
    Node deaf = c.nodes.get(5);
    c.cut = (a, b) -> b == deaf;
    c.run(60 * SECOND);
    long present =
        c.nodes.stream()
            .filter(n -> n != deaf)
            .filter(
                n ->
                    n.gossip.membership().members().stream()
                        .allMatch(m -> m.name().equals(deaf.name) || m.state().present()))
            .count();
    assertEquals(11, present, "its suspicions of the other instances are refuted");
    assertTrue(deaf.gossip.membership().healthScore() > 0, "its health score is raised");
  }

  @Test
  void toleratesDuplicatedAndDelayedDatagrams() {
    VirtualCluster c = settled(20, 4, 0);
    c.copies = 0.2;
    c.delayed = 0.05;
    c.run(120 * SECOND);
    assertEquals(0, c.falseDeaths);
    assertTrue(c.agreed());
  }

  @Test
  void stalledInstanceCausesNoFalseDeath() {
    VirtualCluster c = settled(12, 5, 0);
    for (int i = 0; i < 10; i++) {
      c.nodes.get(i).stalledUntil = c.agenda.now() + 2 * SECOND;
      c.run(4 * SECOND);
    }
    assertEquals(0, c.falseDeaths);
    assertTrue(c.agreed());
  }

  @Test
  void membershipIgnoresClockDifferences() {
    VirtualCluster c = new VirtualCluster(6, SECOND, CAP, 0);
    c.add(8, 3);
    c.nodes.get(4).skew = 10 * SECOND;
    c.nodes.get(5).skew = -10 * SECOND;
    c.run(60 * SECOND);
    assertEquals(0, c.falseDeaths);
    assertTrue(c.agreed());
  }

  @Test
  void rejoinsAfterRestartWithClockSetBack() {
    VirtualCluster c = settled(12, 7, 0);
    Node n = c.nodes.get(6);
    n.up = false;
    c.run(60 * SECOND);
    assertEquals(11, c.countHolding(n, MemberState.DEAD));
    n.skew = -20 * SECOND; // the first incarnation after a start is the clock's seconds
    c.start(n, 3);
    awaitAgreement(c, 60);
    assertEquals(
        MemberState.ALIVE, c.nodes.get(0).gossip.membership().member(n.name).orElseThrow().state());
  }

  @Test
  void removesLeavingMemberWithoutDeath() {
    VirtualCluster c = settled(12, 8, 0);
    Node n = c.nodes.get(6);
    n.gossip.leave(c.agenda.now());
    c.run(SECOND);
    n.up = false;
    c.run(40 * SECOND);
    assertFalse(
        c.nodes.stream()
            .filter(x -> x.up)
            .anyMatch(x -> x.gossip.membership().member(n.name).orElseThrow().state().present()));
  }

  @Test
  void manyJoinAtOnceWithinCapWithoutFalseDeath() {
    VirtualCluster c = settled(20, 9, 0.01);
    c.add(80, 3);
    awaitAgreement(c, 60);
    assertEquals(0, c.falseDeaths);
    assertTrue(c.maxBytesPerSecond(false) <= CAP, c.maxBytesPerSecond(false) + " bytes");
  }

  @Test
  void detectsCrashAtMinimumCap() {
    VirtualCluster c = new VirtualCluster(10, SECOND, 1_024, 0);
    c.add(10, 3);
    awaitAgreement(c, 120);
    Node n = c.nodes.get(7);
    n.up = false;
    c.run(60 * SECOND);
    assertEquals(9, c.countHolding(n, MemberState.DEAD));
    assertTrue(c.maxBytesPerSecond(false) <= 1_024, c.maxBytesPerSecond(false) + " bytes");
  }

  private static Map<String, Object> play(int sick, int liars, boolean collude, Lie lie, int rate) {
    Plan plan = new Plan(8, 16, 0, sick, liars, collude, lie, 0.01, 0, 0, 40, 3, CAP, SECOND, rate);
    return new VirtualRun(plan).play();
  }

  private static double figure(Map<String, Object> figures, String name) {
    return ((Number) figures.get(name)).doubleValue();
  }

  @Test
  void peerReportsReduceQueriesLostToSickEngines() {
    double lost = 0;
    double lostWithoutGossip = 0;
    // About twenty queries are lost in each run, too few for a comparison of single runs.
    for (int seed = 1; seed <= 6; seed++) {
      Plan plan = new Plan(8, 16, 0, 2, 0, false, Lie.ALL, 0.01, 0, 0, 40, seed, CAP, SECOND, 20);
      Map<String, Object> figures = new VirtualRun(plan).play();
      lost += figure(figures, "lost_to_sick");
      lostWithoutGossip += figure(figures, "lost_to_sick_alone");
      assertTrue(
          figure(figures, "service") >= figure(figures, "service_alone"), figures.toString());
    }
    assertTrue(lost < 0.75 * lostWithoutGossip, lost + " against " + lostWithoutGossip);
  }

  @Test
  void liarsHardlyReduceService() {
    for (Lie lie : Lie.values()) {
      Map<String, Object> one = play(1, 1, false, lie, LOADED_RATE);
      assertTrue(figure(one, "service") >= figure(one, "service_alone") - 0.02, lie + " " + one);
      Map<String, Object> three = play(1, 3, true, lie, LOADED_RATE);
      assertTrue(
          figure(three, "service") >= figure(three, "service_alone") - 0.05, lie + " " + three);
      assertTrue(
          figure(three, "bytes_per_s_max") <= CAP,
          "honest instances stay within the cap: " + three);
    }
  }

  @Test
  void sameSeedGivesSameFigures() {
    Plan plan = new Plan(10, 8, 1, 1, 1, false, Lie.FLAP, 0.05, 0.1, 5, 20, 4, CAP, SECOND, 20);
    assertEquals(
        List.copyOf(new VirtualRun(plan).play().entrySet()),
        List.copyOf(new VirtualRun(plan).play().entrySet()));
  }
}
