package reachloom.lab.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs fleets of gateway processes under faults and checks the rules against what engines and
 * clients observed.
 */
class ProcessFleetTest {
  @TempDir Path folder;

  private Map<String, Object> play(ClusterPlan plan, String... faults) throws Exception {
    String text =
        "<script xmlns=\"urn:reachloom:lab:script:1\">"
            + List.of(faults).stream().collect(Collectors.joining())
            + "</script>";
    FaultSchedule script =
        FaultSchedule.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), "test");
    Map<String, Object> f;
    try (ProcessFleet fleet = new ProcessFleet(plan, folder, null, 24)) {
      f = fleet.play(script);
    }
    assertEquals(plan.gateways(), f.get("gateways_ready"), f.toString());
    assertEquals(0, f.get("crashed"), f.toString());
    assertEquals(0, f.get("rig_defects"), f.toString());
    assertEquals(0, f.get("rules_broken"), f.toString());
    assertEquals(0, f.get("unanswered"), f.toString());
    assertEquals(0, f.get("fell_over"), f.toString());
    return f;
  }

  private static double service(Map<String, Object> f) {
    return ((Number) f.get("service")).doubleValue();
  }

  @Test
  void keepsRulesDuringReleaseWithGatewayFaults() throws Exception {
    Map<String, Object> f =
        play(
            new ClusterPlan(12, 9, 3, 9, 0.2, 0.8, 0.3, 12, 1),
            "<engines at='1' do='replace' share='0.3' within='3'/>",
            "<gateways at='2' do='kill' share='0.3' for='0.5'/>",
            "<gateways at='3' do='terminate' share='0.25' within='2' for='4'/>",
            "<gateways at='4.5' do='halt' share='0.1' for='1.5'/>");
    assertTrue(
        ((Number) f.get("orphans")).intValue() + ((Number) f.get("unplaced")).intValue() > 0,
        "the kill affected some queries: " + f);
    assertTrue(service(f) > 0.6, f.toString());
  }

  @Test
  void keepsRulesUnderEngineLinkAndListFaults() throws Exception {
    Map<String, Object> f =
        play(
            new ClusterPlan(12, 12, 3, 10, 0.2, 0.8, 0, 12, 2),
            "<engines at='1' do='hang' share='0.1' for='4'/>",
            "<engines at='1' do='err' share='0.1' by='0.9' for='4'/>",
            "<engines at='1' do='slow' share='0.1' by='3' for='4'/>",
            "<link at='2' do='cut' zone='0' for='2'/>",
            "<link at='5' do='cut-in' zone='1' far='2' for='1'/>",
            "<link at='6' do='delay' by='60' for='2'/>",
            "<list at='1' do='late' zone='0' by='1000' for='6'/>",
            "<list at='1' do='stale' zone='1' for='3'/>",
            "<list at='1' do='down' zone='2' for='3'/>",
            "<engines at='2.5' do='crash' share='0.1' for='1'/>");
    assertTrue(service(f) > 0.6, f.toString());
    assertTrue(((Number) f.get("attempts")).doubleValue() > 1, "some queries were retried: " + f);
  }

  @Test
  void keepsRulesWhenWholeFleetRestarts() throws Exception {
    Map<String, Object> f =
        play(
            new ClusterPlan(16, 8, 2, 9, 0.2, 0.8, 0, 16, 3),
            "<gateways at='2' do='kill' share='1' for='0.2'/>",
            "<engines at='3' do='crash' share='0.2' for='1'/>");
    @SuppressWarnings("unchecked")
    List<Double> spans = (List<Double>) f.get("service_by_5s");
    assertTrue(
        ((Number) f.get("orphans")).intValue() + ((Number) f.get("unplaced")).intValue() > 0,
        f.toString());
    assertTrue(spans.get(0) > 0.2, f.toString());
  }
}
