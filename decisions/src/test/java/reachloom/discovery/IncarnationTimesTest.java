package reachloom.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Conversion of engine start times if the local clock differs from that of the change log. */
class IncarnationTimesTest {
  private static final long SECOND = 1_000_000_000;
  private static final long HOUR = 3_600 * SECOND;
  private static final long NOW = 1_700_000_000 * SECOND;

  private final IncarnationTimes times = new IncarnationTimes();

  @Test
  void keepsPlausibleStartTime() {
    assertEquals(NOW - 7 * SECOND, times.toLocalNanos(NOW, NOW - 7 * SECOND, true));
    assertEquals(
        NOW - HOUR,
        times.toLocalNanos(NOW, NOW - HOUR, false),
        "a complete list contains old engines as well");
  }

  @Test
  void newEngineHasJustStartedIfLocalClockIsAhead() {
    long localNow = NOW + HOUR;
    assertEquals(localNow, times.toLocalNanos(localNow, NOW - 2 * SECOND, true));
    assertEquals(
        localNow + 5 * SECOND, times.toLocalNanos(localNow + 6 * SECOND, NOW + 3 * SECOND, true));
  }

  @Test
  void startInFutureCountsAsNowIfLocalClockIsBehind() {
    long localNow = NOW - HOUR;
    assertEquals(localNow, times.toLocalNanos(localNow, NOW - 2 * SECOND, false));
    assertEquals(
        localNow + 5 * SECOND, times.toLocalNanos(localNow + 6 * SECOND, NOW + 3 * SECOND, true));
  }

  @Test
  void correctsOffsetAgainAfterDelayedEvent() {
    assertEquals(NOW, times.toLocalNanos(NOW, NOW - 30 * SECOND, true));
    assertEquals(
        NOW + SECOND,
        times.toLocalNanos(NOW + SECOND, NOW, true),
        "would be in the future with the previous offset");
    assertEquals(NOW + 2 * SECOND, times.toLocalNanos(NOW + 3 * SECOND, NOW + SECOND, true));
  }
}
