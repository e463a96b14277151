package reachloom.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.FaultSchedule;
import reachloom.scheduler.QueryScheduler;

/**
 * Runs fleets in simulated time with the real scheduler: load distribution, the rules, and
 * configurations in which each gateway sees only a small part of the load.
 */
class VirtualFleetTest {
  private static final VirtualFleet.Policy REACHLOOM =
      (actions, model, g) -> new QueryScheduler(actions);

  private static ClusterPlan plan(int gateways, int engines, double load) {
    return new ClusterPlan(gateways, engines, 3, 14, load, 0.8, 0, gateways, 5);
  }

  private static Map<String, Object> play(ClusterPlan plan, String script)
      throws FaultSchedule.InvalidScriptException {
    return new VirtualFleet(plan, REACHLOOM).play(FaultSchedule.of(script));
  }

  private static double number(Map<String, Object> figures, String name) {
    return ((Number) figures.get(name)).doubleValue();
  }

  private static void assertRulesKept(Map<String, Object> f) {
    assertEquals(0, number(f, "rules_broken"), f.toString());
    assertEquals(0, number(f, "unanswered"), f.toString());
    assertEquals(0, number(f, "fell_over"), f.toString());
  }

  @Test
  void givesSameFiguresForSameSeed() throws FaultSchedule.InvalidScriptException {
    ClusterPlan plan = plan(20, 10, 0.7);
    assertEquals(play(plan, "kill").toString(), play(plan, "kill").toString());
    ClusterPlan other = new ClusterPlan(20, 10, 3, 14, 0.7, 0.8, 0, 20, 6);
    assertNotEquals(play(plan, "kill").toString(), play(other, "kill").toString());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "calm",
        "kill",
        "release",
        "zone",
        "sick",
        "idle-report",
        "restart",
        "stall",
        "list",
        "cut",
        "surge",
        "crowd"
      })
  void keepsRulesAndServiceUnderEachFault(String script)
      throws FaultSchedule.InvalidScriptException {
    Map<String, Object> f = play(plan(60, 24, 0.6), script);
    assertRulesKept(f);
    boolean gatewaysDie = script.equals("kill") || script.equals("restart");
    assertTrue(number(f, "service") > (gatewaysDie ? 0.88 : 0.95), f.toString());
    assertEquals(0, number(f, "herds"), f.toString());
    // An engine that was avoided because of a fault is used again.
    assertTrue(number(f, "unused_longest_s") <= 3, f.toString());
  }

  @ParameterizedTest
  @ValueSource(strings = {"release", "restart", "zone"})
  void doesNotOverloadColdEngines(String script) throws FaultSchedule.InvalidScriptException {
    for (int gateways : new int[] {20, 30}) {
      Map<String, Object> f = play(plan(gateways, 12, 0.7), script);
      assertRulesKept(f);
      // The figure is a fraction of N + 3 sqrt(N) + 3; N + 2 sqrt(N) + 2 is at least two thirds of
      // that.
      assertTrue(number(f, "cold_most") <= 2 / 3.0, f.toString());
    }
  }

  @ParameterizedTest
  @CsvSource({
    "60, 24, 3, 0.8, 0, 20",
    "60, 24, 3, 0.8, 0, 180",
    "60, 24, 3, 0, 0, 60",
    "60, 24, 3, 1.5, 0, 60",
    "50, 5, 1, 0.8, 0, 50",
    "3, 40, 1, 0.8, 0, 3",
    "4, 16, 4, 0.8, 0, 4",
    "5, 1, 1, 0.8, 0, 5",
    "60, 60, 3, 0.8, 0.04, 60"
  })
  void keepsServiceForAllFleetShapes(
      int gateways, int engines, int zones, double skew, double large, int believed)
      throws FaultSchedule.InvalidScriptException {
    // Gateway counts in the settings that are wrong by a factor of three; no skew and high skew;
    // few engines; few gateways; each gateway alone in its zone; one engine; a share of 0.04 of
    // large engines, of which ClusterPlan.isLarge makes none among 20 engines in each zone.
    ClusterPlan plan = new ClusterPlan(gateways, engines, zones, 14, 0.6, skew, large, believed, 5);
    Map<String, Object> f = play(plan, "calm");
    assertRulesKept(f);
    assertTrue(number(f, "service") > 0.97, f.toString());
    assertTrue(number(f, "refused_while_idle") < 0.01, f.toString());
  }

  @Test
  void busyGatewaysUseCapacityThatOthersLeave() throws FaultSchedule.InvalidScriptException {
    // The script replaces half of the engines, which are cold at first, and traffic is uneven: an
    // equal limit for each gateway would refuse a twentieth of the queries although engines are
    // idle.
    Map<String, Object> f = play(new ClusterPlan(100, 30, 3, 14, 0.7, 0.8, 0, 100, 5), "release");
    assertRulesKept(f);
    assertTrue(number(f, "refused_while_idle") < 0.025, f.toString());
  }

  @ParameterizedTest
  @CsvSource({"500, 0", "0, 1000", "500, 1000"})
  void keepsRulesWithClockOffsetsAndOldReports(int clocksMs, int ageMs)
      throws FaultSchedule.InvalidScriptException {
    ClusterPlan plan =
        new ClusterPlan(
            60,
            24,
            3,
            14,
            0.6,
            0.8,
            0,
            60,
            5,
            clocksMs * ClusterPlan.MILLISECOND,
            ageMs * ClusterPlan.MILLISECOND);
    for (String script : new String[] {"release", "zone"}) {
      Map<String, Object> f = play(plan, script);
      assertRulesKept(f);
      assertTrue(number(f, "service") > 0.93, f.toString());
    }
  }

  @Test
  void boundsNumberOfConnections() throws FaultSchedule.InvalidScriptException {
    // Each gateway uses eight engines, except for those with a large share of the traffic.
    Map<String, Object> f = play(new ClusterPlan(100, 60, 3, 14, 0.6, 0.5, 0, 100, 5), "calm");
    assertTrue(number(f, "connections_max") < 0.4 * 100 * 60, f.toString());
  }

  @Test
  void servesMoreThanBaselinesUnderFaults() throws FaultSchedule.InvalidScriptException {
    ClusterPlan plan = plan(60, 24, 0.7);
    Map<String, Object> f = play(plan, "sick");
    for (String name : new String[] {"random", "two", "reported"}) {
      Map<String, Object> plain =
          new VirtualFleet(plan, Baseline.named(name)).play(FaultSchedule.of("sick"));
      assertTrue(
          number(plain, "service") < number(f, "service"), name + ": " + plain + " against " + f);
    }
  }
}
