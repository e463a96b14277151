package reachloom.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.lab.cluster.FaultSchedule;

/**
 * Small installations on real sockets: real and hollow gateways, control machines, changes,
 * troubles.
 */
class ScaleRunTest {
  private static final double AGREE = 0.1;
  private static final long PERIOD = 250_000_000; // nanoseconds: many in a short run
  private static final int CAP = 16_384;

  @TempDir Path folder;

  private static FaultSchedule script(String... troubles) throws Exception {
    String text =
        "<script xmlns=\"urn:reachloom:lab:script:1\">" + String.join("", troubles) + "</script>";
    return FaultSchedule.read(
        new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), "test");
  }

  private static void whole(Map<String, Object> f, int gateways) {
    assertEquals(gateways, f.get("gateways_ready"), f.toString());
    assertEquals(0, f.get("rig_defects"), f.toString());
    assertEquals(0, f.get("crashed"), f.toString());
    assertEquals(0, f.get("rules_broken"), f.toString());
    assertEquals(0, f.get("unanswered"), f.toString());
  }

  private static void agree(String what, double[] real, double[] hollow, Map<String, Object> f) {
    for (int i = 0; i < real.length; i++) {
      assertTrue(
          Math.abs(real[i] - hollow[i]) <= AGREE * real[i],
          what
              + (i == 0 ? " messages: " : " bytes: ")
              + real[i]
              + " and "
              + hollow[i]
              + " a second; "
              + f);
    }
  }

  private static double[] mean(double[] a, double[] b) {
    return new double[] {(a[0] + b[0]) / 2, (a[1] + b[1]) / 2};
  }

  /**
   * Each gateway has a zone of its own, so that the control machine's counts by zone are by
   * gateway.
   */
  @Test
  void aHollowGatewayCausesTheControlTrafficOfARealOne() throws Exception {
    ScaleRun.Size size =
        new ScaleRun.Size(4, 2, 8, 1, 4, 1, 16, 20, 3, 4, 24, true, PERIOD, CAP, 1);
    try (ScaleRun run = new ScaleRun(size, folder, null)) {
      Map<String, Object> f =
          run.play(
              script(
                  "<engines at='3' do='replace' share='0.5' within='4'/>",
                  "<configuration at='5' do='issue' by='2' within='4'/>"));
      whole(f, 4);
      agree(
          "change log",
          mean(run.changeLog(0, 0), run.changeLog(0, 1)),
          mean(run.changeLog(0, 2), run.changeLog(0, 3)),
          f);
      agree("gossip", mean(run.gossip(0), run.gossip(1)), mean(run.gossip(2), run.gossip(3)), f);
      assertEquals(2, f.get("changes"), f.toString());
      assertEquals(0L, f.get("config_never"), f.toString());
      assertEquals(0L, f.get("list_never"), f.toString());
      assertEquals(12, f.get("list_changes"), "four drain, four begin, four are gone: " + f);
    }
  }

  @Test
  void restartsLostControlMachinesAndRegionsApartAreBorneAndMadeUpFor() throws Exception {
    ScaleRun.Size size =
        new ScaleRun.Size(14, 2, 12, 3, 6, 3, 12, 10, 1, 5, 24, true, PERIOD, CAP, 2);
    try (ScaleRun run = new ScaleRun(size, folder, null)) {
      Map<String, Object> f =
          run.play(
              script(
                  "<control at='1' do='lose' by='3' for='2'/>",
                  "<gateways at='1' do='kill' share='0.2' for='1'/>",
                  "<gateways at='1.5' do='terminate' share='0.2' for='4'/>",
                  "<engines at='1.5' do='replace' share='0.1'/>",
                  "<regions at='6' do='part' for='2'/>",
                  "<engines at='6.5' do='replace' share='0.1'/>",
                  "<configuration at='6.2' do='issue'/>"));
      whole(f, 14);
      assertEquals(0L, f.get("config_never"), f.toString());
      assertEquals(0L, f.get("list_never"), f.toString());
      double behind = ((Number) f.get("behind_after_heal_s_max")).doubleValue();
      assertTrue(behind > 0 && behind < 20, f.toString());
    }
  }

  @Test
  void gatewaysFollowControlMachinesOfTheirRegionEvenly() {
    ScaleRun.Size size =
        new ScaleRun.Size(580, 40, 630, 3, 10, 5, 120, 10, 5, 100, 24, true, PERIOD, CAP, 1);
    int[] followers = new int[5];
    for (int g = 0; g < 580; g++) {
      int m = size.machineOf(g);
      followers[m]++;
      assertEquals(size.regionOf(g % 10), m % 3, "gateway " + g);
    }
    for (int f : followers) {
      assertTrue(f >= 70 && f <= 180, List.of(followers[0], followers[1], followers[2]).toString());
    }
  }
}
