package reachloom.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reachloom.lab.scale.VirtualControl.Trouble;

/**
 * Simulates the control part as a whole, with real gossip, codec and consensus, at a size that a
 * build has time for.
 */
class VirtualControlTest {
  private static final int MAX_BYTES_PER_S = 17_000;
  private static final double MAX_ROLLOUT_S = 10;

  private static Map<String, Object> run(Trouble trouble, long seed) {
    return new VirtualControl(
            new VirtualControl.Plan(
                40, 3, 10, 5, 24, 12, seed, 0.02, MAX_BYTES_PER_S, 400_000, 4_096, trouble))
        .play();
  }

  private static double figure(Map<String, Object> figures, String name) {
    return ((Number) figures.get(name)).doubleValue();
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void changesAreInForceWithinLimits(Trouble trouble) {
    Map<String, Object> f = run(trouble, 1);
    assertEquals(0, figure(f, "config_never"), f.toString());
    assertEquals(0, figure(f, "alarms"), f.toString());
    assertTrue(figure(f, "config_in_force_s_max") <= MAX_ROLLOUT_S, f.toString());
    assertTrue(figure(f, "behind_after_heal_s_max") <= MAX_ROLLOUT_S, f.toString());
    assertTrue(figure(f, "restarted_in_force_s_max") <= MAX_ROLLOUT_S, f.toString());
    assertTrue(
        figure(f, "newest_known_s") >= 0 && figure(f, "newest_known_s") <= MAX_ROLLOUT_S,
        f.toString());
    assertTrue(figure(f, "control_bytes_per_s_max") <= MAX_BYTES_PER_S, f.toString());
    assertTrue(
        figure(f, "changes_issued") >= (trouble == Trouble.CONTROL_LOST ? 7 : 12), f.toString());
  }

  @Test
  void sameSeedGivesSameRun() {
    Map<String, Object> first = run(Trouble.ORDINARY_DAY, 2);
    assertEquals(first, run(Trouble.ORDINARY_DAY, 2));
    assertNotEquals(first, run(Trouble.ORDINARY_DAY, 3));
  }
}
