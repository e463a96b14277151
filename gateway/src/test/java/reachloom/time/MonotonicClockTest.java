package reachloom.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The clock under steps of the wall clock. */
class MonotonicClockTest {
  private static final long SECOND = 1_000_000_000;
  private static final long HOUR = 3_600 * SECOND;

  private final AtomicLong elapsed = new AtomicLong(17);
  private final AtomicLong wall = new AtomicLong(1_700_000_000 * SECOND);
  private final MonotonicClock clock = new MonotonicClock(elapsed::get, wall::get);

  private void advance(long nanos) {
    elapsed.addAndGet(nanos);
    wall.addAndGet(nanos);
  }

  @Test
  void ignoresStepsOfWallClock() {
    long start = clock.now();
    assertEquals(wall.get(), start);
    wall.addAndGet(-HOUR);
    advance(SECOND);
    assertEquals(start + SECOND, clock.now());
    wall.addAndGet(2 * HOUR);
    advance(SECOND);
    assertEquals(start + 2 * SECOND, clock.now());
  }

  @Test
  void reportsEachStepOnceAndIgnoresSmallDifferences() {
    advance(SECOND);
    wall.addAndGet(SECOND / 20);
    assertEquals(0, clock.wallClockStep());
    wall.addAndGet(-SECOND / 20 - HOUR);
    assertEquals(-HOUR, clock.wallClockStep());
    advance(SECOND);
    assertEquals(0, clock.wallClockStep());
    wall.addAndGet(HOUR + 3 * SECOND);
    assertEquals(HOUR + 3 * SECOND, clock.wallClockStep());
  }
}
