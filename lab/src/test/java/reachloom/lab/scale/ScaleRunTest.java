package reachloom.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.lab.cluster.FaultSchedule;

/**
 * Runs small installations on real sockets: real and synthetic gateways, control machines, changes
 * and faults.
 */
class ScaleRunTest {
  private static final double MAX_RELATIVE_DIFFERENCE = 0.1;
  private static final long PERIOD_NANOS = 250_000_000; // many periods in a short run
  private static final int MAX_BYTES_PER_S = 16_384;

  @TempDir Path folder;

  private static FaultSchedule script(String... troubles) throws Exception {
    String text =
        "<script xmlns=\"urn:reachloom:lab:script:1\">" + String.join("", troubles) + "</script>";
    return FaultSchedule.read(
        new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), "test");
  }

  private static void assertRunSound(Map<String, Object> f, int gateways) {
    assertEquals(gateways, f.get("gateways_ready"), f.toString());
    assertEquals(0, f.get("rig_defects"), f.toString());
    assertEquals(0, f.get("crashed"), f.toString());
    assertEquals(0, f.get("rules_broken"), f.toString());
    assertEquals(0, f.get("unanswered"), f.toString());
  }

  private static void assertRatesAgree(
      String what, double[] real, double[] synthetic, Map<String, Object> f) {
    for (int i = 0; i < real.length; i++) {
      assertTrue(
          Math.abs(real[i] - synthetic[i]) <= MAX_RELATIVE_DIFFERENCE * real[i],
          what
              + (i == 0 ? " messages: " : " bytes: ")
              + real[i]
              + " and "
              + synthetic[i]
              + " a second; "
              + f);
    }
  }

  private static double[] mean(double[] a, double[] b) {
    return new double[] {(a[0] + b[0]) / 2, (a[1] + b[1]) / 2};
  }

  /** Each gateway has a zone of its own, so the control machine's counts by zone are by gateway. */
  @Test
  void syntheticGatewayCausesControlTrafficOfRealGateway() throws Exception {
    ScaleRun.Size size =
        new ScaleRun.Size(
            4, 2, 8, 1, 4, 1, 16, 20, 3, 4, 24, true, PERIOD_NANOS, MAX_BYTES_PER_S, 1);
    try (ScaleRun run = new ScaleRun(size, folder, null)) {
      Map<String, Object> f =
          run.play(
              script(
                  "<engines at='3' do='replace' share='0.5' within='4'/>",
                  "<configuration at='5' do='issue' by='2' within='4'/>"));
      assertRunSound(f, 4);
      assertRatesAgree(
          "change log",
          mean(run.changeLog(0, 0), run.changeLog(0, 1)),
          mean(run.changeLog(0, 2), run.changeLog(0, 3)),
          f);
      assertRatesAgree(
          "gossip", mean(run.gossip(0), run.gossip(1)), mean(run.gossip(2), run.gossip(3)), f);
      assertEquals(2, f.get("changes"), f.toString());
      assertEquals(0L, f.get("config_never"), f.toString());
      assertEquals(0L, f.get("list_never"), f.toString());
      assertEquals(
          12, f.get("list_changes"), "four engines drain, four start, four are removed: " + f);
    }
  }

  @Test
  void recoversFromRestartsLostControlMachinesAndPartition() throws Exception {
    ScaleRun.Size size =
        new ScaleRun.Size(
            14, 2, 12, 3, 6, 3, 12, 10, 1, 5, 24, true, PERIOD_NANOS, MAX_BYTES_PER_S, 2);
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
      assertRunSound(f, 14);
      assertEquals(0L, f.get("config_never"), f.toString());
      assertEquals(0L, f.get("list_never"), f.toString());
      double behind = ((Number) f.get("behind_after_heal_s_max")).doubleValue();
      assertTrue(behind > 0 && behind < 20, f.toString());
    }
  }

  /** The partitioned gateways miss the replacement and get its result with the configuration. */
  @Test
  void countsListChangesThatReloadedConfigurationContains() throws Exception {
    ScaleRun.Size size =
        new ScaleRun.Size(
            7, 1, 12, 3, 6, 3, 12, 10, 1, 6, 24, false, PERIOD_NANOS, MAX_BYTES_PER_S, 3);
    try (ScaleRun run = new ScaleRun(size, folder, null)) {
      Map<String, Object> f =
          run.play(
              script(
                  "<regions at='1' do='part' for='8'/>",
                  "<engines at='1.5' do='replace' share='0.1'/>",
                  "<configuration at='8' do='issue'/>"));
      assertRunSound(f, 7);
      assertTrue(((Number) f.get("list_changes")).intValue() > 0, f.toString());
      assertEquals(0L, f.get("config_never"), f.toString());
      assertEquals(0L, f.get("list_never"), f.toString());
    }
  }

  @Test
  void gatewaysFollowControlMachinesOfRegionEvenly() {
    ScaleRun.Size size =
        new ScaleRun.Size(
            580, 40, 630, 3, 10, 5, 120, 10, 5, 100, 24, true, PERIOD_NANOS, MAX_BYTES_PER_S, 1);
    int[] followers = new int[5];
    for (int g = 0; g < 580; g++) {
      int m = size.machineOf(g);
      followers[m]++;
      assertEquals(size.regionOf(g % 10), m % 3, "gateway " + g);
    }
    for (int f : followers) {
      assertTrue(f >= 70 && f <= 180, "followers by machine: " + Arrays.toString(followers));
    }
  }
}
