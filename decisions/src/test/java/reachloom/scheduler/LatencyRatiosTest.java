package reachloom.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/** The ratio of actual to predicted latency of each engine, alone and on average. */
class LatencyRatiosTest {
  private static final double EXACT = 1e-12;

  private final LatencyRatios ratios = new LatencyRatios();
  private final EngineRecord first = engine("first");
  private final EngineRecord second = engine("second");

  private static EngineRecord engine(String name) {
    EngineEndpoint endpoint = new EngineEndpoint(name, EngineState.UP, 0, 0, 0, 1, 0);
    return new EngineRecord(endpoint, 0, 8, 0);
  }

  @Test
  void meanIsOneWithoutEnginesOrAnswers() {
    assertEquals(1, ratios.mean(), EXACT);
    ratios.onListUpdated(List.of(first, second));
    assertEquals(1, ratios.mean(), EXACT);
  }

  @Test
  void engineWithoutAnswersCountsAsAverage() {
    ratios.onListUpdated(List.of(first, second));
    ratios.onAnswer(first, 0.5, 1); // a fifth of the way from 1 to a half
    assertEquals(0.9, ratios.of(first), EXACT);
    assertEquals(0.9, ratios.of(second), EXACT);
    assertEquals(0.9, ratios.mean(), EXACT);
    assertTrue(ratios.hasAnswered(first));
    assertFalse(ratios.hasAnswered(second));
  }

  @Test
  void engineWithoutAnswersNeverCountsAsSlow() {
    ratios.onListUpdated(List.of(first, second));
    ratios.onAnswer(first, 6, 1); // a fifth of the way from 1 to 6
    assertEquals(2, ratios.of(first), EXACT);
    assertEquals(1, ratios.of(second), EXACT);
    assertEquals(1.5, ratios.mean(), EXACT);
  }

  @Test
  void removedEngineIsExcludedFromMean() {
    ratios.onListUpdated(List.of(first, second));
    ratios.onAnswer(first, 6, 1);
    ratios.onListUpdated(List.of(second));
    assertEquals(1, ratios.mean(), EXACT);
    assertEquals(2, ratios.of(first), EXACT);
  }

  @Test
  void ratioIsBounded() {
    ratios.onListUpdated(List.of(first));
    ratios.onAnswer(first, 1_000_000, 1);
    assertEquals(20, ratios.of(first), EXACT);
    for (int i = 0; i < 100; i++) {
      ratios.onAnswer(first, 0, 1);
    }
    assertEquals(0.25, ratios.of(first), EXACT);
  }
}
