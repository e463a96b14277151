package reachloom.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Detection of stalls by late ticks. */
class TickClockTest {
  private static final long START = 1_000_000_000L;
  private static final long INTERVAL = TickClock.INTERVAL_NANOS;

  private final TickClock clock = new TickClock(START);

  @Test
  void tickOneIntervalLateIsNoStall() {
    assertEquals(0, clock.takeStall(START + 2 * INTERVAL));
    assertEquals(0, clock.stalledUntilNanos());
  }

  @Test
  void returnsStallOnceAndKeepsItsEnd() {
    long end = START + 10 * INTERVAL;
    assertEquals(8 * INTERVAL, clock.takeStall(end));
    assertEquals(0, clock.takeStall(end), "returned once");
    assertEquals(end, clock.stalledUntilNanos());
  }

  @Test
  void measuresStallFromLatestTick() {
    clock.tick(START + 10 * INTERVAL);
    assertEquals(0, clock.takeStall(START + 12 * INTERVAL));
    assertEquals(1, clock.takeStall(START + 12 * INTERVAL + 1));
  }
}
