package reachloom.pause;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When events that a waiting thread finds have arrived at the earliest. */
class PollHistoryTest {
  private static final long DELAY = PauseDetector.MAX_WAKE_UP_DELAY_NANOS;

  private final PollHistory history = new PollHistory(100);

  @Test
  void eventFoundAtOnceMayHaveComeSincePreviousWait() {
    history.waited(110, 120);
    assertEquals(100, history.arrivedAfterNanos());
    history.waited(500, 501);
    assertEquals(120, history.arrivedAfterNanos());
  }

  @Test
  void eventThatEndsLongWaitHasJustArrived() {
    history.waited(110, 110 + DELAY);
    assertEquals(100, history.arrivedAfterNanos(), "the wake-up may have been that late");
    history.waited(200 + DELAY, 300 + 4 * DELAY);
    assertEquals(300 + 3 * DELAY, history.arrivedAfterNanos());
  }
}
