package reachloom.pause;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When events that a waiting thread finds have arrived at the earliest. */
class PollHistoryTest {
  private static final long DELAY = PauseDetector.MAX_WAKE_UP_DELAY_NANOS;

  private static final long MILLISECOND = 1_000_000;

  private final PollHistory history = new PollHistory(100);

  @Test
  void eventFoundAtOnceMayHaveComeSincePreviousWait() {
    history.waited(110, 120);
    assertEquals(100, history.arrivedAfterNanos());
    history.waited(500, 501);
    assertEquals(110, history.arrivedAfterNanos(), "the wait may have returned without the event");
  }

  /** Such an event counted as new if the thread went on 50 ms after others or later. */
  @Test
  void eventThatInterruptedWaitReturnedWithoutMayHaveComeInPause() {
    PauseDetector pauses = new PauseDetector();
    long suspendedAt = 1_000 * MILLISECOND;
    long resumedAt = 2_800 * MILLISECOND;
    long interruptedAt = resumedAt + 80 * MILLISECOND;
    pauses.report(suspendedAt);
    pauses.report(resumedAt);
    pauses.report(resumedAt + 40 * MILLISECOND);
    pauses.report(interruptedAt);
    history.waited(suspendedAt - 10 * MILLISECOND, interruptedAt);
    long foundAt = interruptedAt + MILLISECOND;
    history.waited(foundAt, foundAt);
    assertEquals(suspendedAt, pauses.earliestArrival(history.arrivedAfterNanos(), foundAt));
  }

  @Test
  void eventThatEndsLongWaitHasJustArrived() {
    history.waited(110, 110 + DELAY);
    assertEquals(100, history.arrivedAfterNanos(), "the wake-up may have been that late");
    history.waited(200 + DELAY, 300 + 4 * DELAY);
    assertEquals(300 + 3 * DELAY, history.arrivedAfterNanos());
  }
}
