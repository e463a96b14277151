package reachloom.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class IncarnationTimesTest {
  private static final long SECOND = 1_000_000_000;
  private static final long HOUR = 3_600 * SECOND;
  private static final long NOW = 1_700_000_000 * SECOND;

  private final IncarnationTimes times = new IncarnationTimes();

  @Test
  void keepsPlausibleStartTime() {
    assertEquals(NOW - 7 * SECOND, times.toLocalNanos(NOW, NOW - 7 * SECOND, true));
    assertEquals(
        NOW - HOUR, times.toLocalNanos(NOW, NOW - HOUR, false), "a whole list tells of old ones, too");
  }

  @Test
  void newEngineHasJustStartedIfLocalClockIsAhead() {
    long own = NOW + HOUR;
    assertEquals(own, times.toLocalNanos(own, NOW - 2 * SECOND, true));
    assertEquals(own + 5 * SECOND, times.toLocalNanos(own + 6 * SECOND, NOW + 3 * SECOND, true));
  }

  @Test
  void startInFutureCountsAsNowIfLocalClockIsBehind() {
    long own = NOW - HOUR;
    assertEquals(own, times.toLocalNanos(own, NOW - 2 * SECOND, false));
    assertEquals(own + 5 * SECOND, times.toLocalNanos(own + 6 * SECOND, NOW + 3 * SECOND, true));
  }

  @Test
  void correctsOffsetAgainAfterDelayedEvent() {
    assertEquals(NOW, times.toLocalNanos(NOW, NOW - 30 * SECOND, true));
    assertEquals(
        NOW + SECOND, times.toLocalNanos(NOW + SECOND, NOW, true), "would lie in the future now");
    assertEquals(NOW + 2 * SECOND, times.toLocalNanos(NOW + 3 * SECOND, NOW + SECOND, true));
  }
}
