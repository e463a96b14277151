package reachloom.pause;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The earliest arrival of events that a process notices after it has not run for a while. */
class PauseDetectorTest {
  private static final long MILLIS = 1_000_000;
  private static final long INTERVAL = PauseDetector.REPORT_INTERVAL_NANOS;
  private static final long SLACK = PauseDetector.MIN_PAUSE_NANOS;
  private static final long PAUSE_BEGAN = 1_000 * MILLIS;
  private static final long PAUSE_ENDED = 2_800 * MILLIS;

  private final PauseDetector detector = new PauseDetector();

  @BeforeEach
  void runUntilPause() {
    runFrom(0, PAUSE_BEGAN);
  }

  private void runFrom(long from, long to) {
    for (long now = from; now <= to; now += INTERVAL) {
      detector.report(now);
    }
  }

  @Test
  void eventOfRunningProcessArrivesWhenNoticed() {
    assertEquals(PAUSE_BEGAN + INTERVAL, detector.earliestArrival(0, PAUSE_BEGAN + INTERVAL));
  }

  /** What came in a pause counted as new, and got the length of the pause as further time. */
  @Test
  void eventNoticedAfterPauseMayHaveArrivedAtItsStart() {
    assertEquals(PAUSE_BEGAN, detector.earliestArrival(PAUSE_BEGAN - MILLIS, PAUSE_ENDED));
  }

  @Test
  void pauseCountsWhicheverThreadNoticesItFirst() {
    detector.report(PAUSE_ENDED);
    assertEquals(
        PAUSE_BEGAN, detector.earliestArrival(PAUSE_BEGAN - MILLIS, PAUSE_ENDED + 2 * MILLIS));
  }

  @Test
  void pauseDoesNotCountOnceProcessLookedAfterIt() {
    runFrom(PAUSE_ENDED, PAUSE_ENDED + 10 * INTERVAL);
    long now = PAUSE_ENDED + 10 * INTERVAL;
    assertEquals(PAUSE_BEGAN, detector.earliestArrival(PAUSE_ENDED + SLACK - 1, now));
    assertEquals(now, detector.earliestArrival(PAUSE_ENDED + SLACK, now));
  }

  @Test
  void firstOfSeveralPausesCounts() {
    detector.report(PAUSE_ENDED);
    detector.report(PAUSE_ENDED + 1_500 * MILLIS);
    long now = PAUSE_ENDED + 1_501 * MILLIS;
    assertEquals(PAUSE_BEGAN, detector.earliestArrival(PAUSE_BEGAN, now));
    assertEquals(PAUSE_ENDED, detector.earliestArrival(PAUSE_ENDED + SLACK, now));
  }

  @Test
  void arrivalIsNeverAfterEventIsNoticed() {
    detector.report(PAUSE_ENDED);
    assertEquals(500 * MILLIS, detector.earliestArrival(0, 500 * MILLIS));
  }

  @Test
  void remembersBoundedNumberOfPauses() {
    long now = PAUSE_BEGAN;
    for (int i = 0; i < 1_000; i++) {
      now += SLACK + 1;
      detector.report(now);
    }
    long earliest = detector.earliestArrival(0, now);
    assertEquals(now - 8 * (SLACK + 1), earliest);
  }
}
