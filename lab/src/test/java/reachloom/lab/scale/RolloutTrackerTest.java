package reachloom.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests when a change counts as in force, and since when. */
class RolloutTrackerTest {
  private final RolloutTracker tracker = new RolloutTracker();

  private Map<String, Object> figures() {
    Map<String, Object> f = new LinkedHashMap<>();
    tracker.figures(f);
    return f;
  }

  @Test
  void reportsNoTimeWithoutChanges() {
    assertEquals(0, figures().get("changes"));
    assertNull(figures().get("config_in_force_s_max"));
  }

  @Test
  void changeIsInForceOnceLastGatewayApplied() {
    tracker.issued(1, 1_000, List.of(1, 2));
    tracker.applied(1, 1, 1_500);
    assertTrue(tracker.hasPending());
    assertEquals(List.of(2), tracker.lackingGateways());
    assertEquals(1L, figures().get("config_never"));
    assertNull(figures().get("config_in_force_s_max"), "a change that is not in force has no time");
    tracker.applied(2, 1, 4_000);
    assertFalse(tracker.hasPending());
    assertEquals(3.0, figures().get("config_in_force_s_max"));
    assertEquals(0L, figures().get("config_never"));
  }

  @Test
  void laterChangeImpliesEarlierOnesAndReloadImpliesOne() {
    tracker.issued(1, 0, List.of(1, 2));
    tracker.issued(2, 1_000, List.of(1, 2));
    tracker.applied(1, 2, 1_200);
    tracker.appliedNext(2, 500);
    assertEquals(List.of(2), tracker.lackingGateways());
    assertEquals(1.2, figures().get("config_in_force_s_max"));
    tracker.appliedNext(2, 3_000);
    assertEquals(2.0, figures().get("config_in_force_s_max"));
  }

  @Test
  void endedOrRestartedGatewayHasNoPendingChanges() {
    tracker.issued(1, 0, List.of(1, 2));
    tracker.applied(2, 1, 300);
    tracker.started(1, 0);
    assertEquals(0.3, figures().get("config_in_force_s_max"));
  }
}
