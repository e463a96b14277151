package reachloom.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.lab.cluster.Fault;
import reachloom.standin.HostileClient.Behavior;

/** Short runs of the soak; long ones are started by hand, as docs/operators/soak.md tells. */
class SoakTest {
  private static final int GATEWAYS = 4;
  private static final int SECONDS = 12;
  private static final int HEAP_MB = 64;
  private static final int DRAWN_PLANS = 50;

  @TempDir Path folder;

  /** Hostile clients made others late or ended the process, beside restarts and a crowd. */
  @ParameterizedTest
  @ValueSource(longs = {2, 7})
  @Timeout(150)
  void keepsAllRulesBesideHostileClientsAndSignals(long seed) throws Exception {
    SoakCommand.Result result = SoakCommand.play(seed, SECONDS, folder, null, HEAP_MB);
    assertTrue(result.passed(), result.toString());
  }

  @Test
  void drawsEveryBehaviorSignalsInSeriesAndSomeCrowds() {
    Set<Behavior> behaviors = EnumSet.noneOf(Behavior.class);
    Set<Fault.Kind> kinds = EnumSet.noneOf(Fault.Kind.class);
    int crowds = 0;
    for (long seed = 1; seed <= DRAWN_PLANS; seed++) {
      SoakPlan plan = SoakPlan.draw(seed, GATEWAYS, SECONDS);
      assertEquals(plan, SoakPlan.draw(seed, GATEWAYS, SECONDS), "the seed decides all");
      plan.episodes().forEach(episode -> behaviors.add(episode.behavior()));
      plan.faults().faults().forEach(fault -> kinds.add(fault.kind()));
      crowds += plan.idleClients() > 0 ? 1 : 0;
    }
    assertEquals(EnumSet.allOf(Behavior.class), behaviors);
    assertTrue(
        kinds.containsAll(
            Set.of(Fault.Kind.HALT, Fault.Kind.TERMINATE_IN_USE, Fault.Kind.HANG_UP)));
    assertTrue(crowds > 0 && crowds < DRAWN_PLANS, crowds + " crowds");
  }
}
