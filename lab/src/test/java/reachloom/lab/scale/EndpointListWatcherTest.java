package reachloom.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when a change of the endpoint list counts as received by all gateways, and since when. */
class EndpointListWatcherTest {
  private static final int GATEWAYS = 2;
  private static final int PROCESS = 0;

  private final EndpointListWatcher watcher = new EndpointListWatcher();

  EndpointListWatcherTest() {
    watcher.started(1, 10);
    watcher.started(2, 10);
    watcher.announced(11, "e1 1 0", 1_000);
    watcher.announced(12, "e1 2 0", 2_000);
  }

  private Map<String, Object> figures() {
    Map<String, Object> f = new LinkedHashMap<>();
    watcher.figures(f, GATEWAYS);
    return f;
  }

  @Test
  void reloadedListContainsChangesThatWereNotReceived() {
    watcher.recordReceived(PROCESS, "e1 1 0", 1, 1_500);
    watcher.recordReceived(PROCESS, "e1 2 0", 1, 2_500);
    assertTrue(watcher.hasPending(GATEWAYS));
    assertEquals(2L, figures().get("list_never"));
    watcher.reloaded(2, 12, 6_000, Set.of());
    assertFalse(watcher.hasPending(GATEWAYS));
    assertEquals(0L, figures().get("list_never"));
    assertEquals(5.0, figures().get("list_in_force_s_max"), "from 1,000 ms to the reload");
  }

  @Test
  void reloadedListDoesNotCountForOtherGateways() {
    watcher.reloaded(2, 12, 6_000, Set.of());
    assertTrue(watcher.hasPending(GATEWAYS));
    assertEquals(2L, figures().get("list_never"));
  }

  @Test
  void reloadedListDoesNotContainLaterChanges() {
    watcher.reloaded(1, 11, 6_000, Set.of());
    watcher.reloaded(2, 11, 6_000, Set.of());
    assertTrue(watcher.hasPending(GATEWAYS));
    assertEquals(1L, figures().get("list_never"));
  }

  @Test
  void changeReceivedBeforeReloadKeepsItsTime() {
    watcher.recordReceived(PROCESS, "e1 1 0", 2, 1_500);
    watcher.recordReceived(PROCESS, "e1 2 0", 1, 2_500);
    watcher.recordReceived(PROCESS, "e1 1 0", 1, 1_500);
    watcher.reloaded(2, 12, 3_000, Set.of("e1 1 0"));
    assertEquals(0L, figures().get("list_never"));
    assertEquals(1.0, figures().get("list_in_force_s_max"), "the second change, by the reload");
  }

  @Test
  void reloadOfEndedGatewayDoesNotCount() {
    watcher.ended(2);
    watcher.reloaded(2, 12, 6_000, Set.of());
    assertTrue(watcher.hasPending(GATEWAYS));
  }
}
