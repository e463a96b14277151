package reachloom.lab.slopes;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests whether rows count as saturated gateways or as rigs starved by the machine. */
class MeasurementTest {
  private static Map<String, Object> row(Object... changes) {
    Map<String, Object> row =
        new HashMap<>(
            Map.of(
                "seconds",
                5.0,
                "sent_per_s",
                1_000.0,
                "answered_per_s",
                1_000.0,
                "refused",
                0L,
                "failed",
                0L,
                "unsent",
                0L));
    row.putAll(
        Map.of("cores_loop", 0.3, "loop_waited", 0.1, "cores_sockets", 0.2, "sockets_waited", 0.1));
    for (int i = 0; i < changes.length; i += 2) {
      row.put((String) changes[i], changes[i + 1]);
    }
    return row;
  }

  @Test
  void isNeitherSaturatedNorStarvedWhenAnswersKeepUp() {
    assertFalse(saturated());
    assertFalse(Measurement.starved(row()));
    assertFalse(saturated("answered_per_s", 960.0));
    assertFalse(saturated("refused", 200L));
  }

  @Test
  void isSaturatedWhenThreadIsBusyOrStatementsAreRejected() {
    assertTrue(saturated("cores_loop", 0.95));
    assertTrue(saturated("cores_sockets", 0.95));
    assertTrue(saturated("answered_per_s", 900.0, "refused", 500L));
    assertTrue(saturated("answered_per_s", 900.0, "failed", 500L));
    assertTrue(saturated("answered_per_s", 900.0, "unsent", 500L));
    assertTrue(saturated("answered_per_s", 700.0, "cores_loop", 0.6, "loop_waited", 0.35));
  }

  @Test
  void isStarvedWhenAnswersLagWithoutBusyThreads() {
    Map<String, Object> lagging = row("answered_per_s", 700.0);
    assertTrue(Measurement.starved(lagging));
    assertFalse(Measurement.saturated(lagging));
    assertFalse(Measurement.starved(row("answered_per_s", 700.0, "refused", 1_500L)));
  }

  private static boolean saturated(Object... changes) {
    return Measurement.saturated(row(changes));
  }
}
