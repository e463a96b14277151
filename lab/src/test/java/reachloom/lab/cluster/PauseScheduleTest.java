package reachloom.lab.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the bounds of drawn scripts, and that a seed determines its script. */
class PauseScheduleTest {
  private static final int SECONDS = 40;
  private static final int ZONES = 3;

  @Test
  void seedDeterminesScript() {
    assertEquals(PauseSchedule.draw(1, SECONDS, ZONES), PauseSchedule.draw(1, SECONDS, ZONES));
    assertNotEquals(
        PauseSchedule.draw(1, SECONDS, ZONES).faults(),
        PauseSchedule.draw(2, SECONDS, ZONES).faults());
  }

  @Test
  void pausesHaveLengthsAndIntervalsWithinBounds() {
    for (int seed = 0; seed < 50; seed++) {
      List<Fault> pauses =
          PauseSchedule.draw(seed, SECONDS, ZONES).faults().stream()
              .filter(f -> f.kind() == Fault.Kind.HALT)
              .toList();
      assertTrue(pauses.size() >= SECONDS / 3.5 - 1, "seed " + seed + ": " + pauses.size());
      double before = Double.NEGATIVE_INFINITY;
      for (Fault pause : pauses) {
        assertTrue(pause.lasts() >= 1.4 && pause.lasts() <= 2, pause.toString());
        assertTrue(pause.share() >= 0.3 && pause.share() <= 0.9, pause.toString());
        assertTrue(pause.at() - before >= 2.2, pause.toString());
        assertTrue(pause.at() < SECONDS, pause.toString());
        before = pause.at();
      }
    }
  }

  @Test
  void everyKindOfFaultIsDrawnBesidePauses() {
    List<Fault.Kind> drawn =
        java.util.stream.IntStream.range(0, 50)
            .boxed()
            .flatMap(seed -> PauseSchedule.draw(seed, SECONDS, ZONES).faults().stream())
            .map(Fault::kind)
            .distinct()
            .toList();
    assertTrue(
        drawn.containsAll(
            List.of(
                Fault.Kind.HALT,
                Fault.Kind.HANG,
                Fault.Kind.ERR,
                Fault.Kind.SLOW,
                Fault.Kind.REPLACE,
                Fault.Kind.KILL,
                Fault.Kind.TERMINATE,
                Fault.Kind.LATE)),
        drawn.toString());
  }
}
