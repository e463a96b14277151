package reachloom.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static reachloom.scheduler.SchedulerHarness.LONG;
import static reachloom.scheduler.SchedulerHarness.MILLISECOND;
import static reachloom.scheduler.SchedulerHarness.SECOND;
import static reachloom.scheduler.SchedulerHarness.engine;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.Query;

/** The budget for retries where the gateway notices queries late. */
class RetryBudgetTest {
  private static final long WINDOW_NANOS = 10 * SECOND;
  private static final long PAUSE_NANOS = 1_800 * MILLISECOND;

  private final SchedulerHarness harness = new SchedulerHarness();

  @BeforeEach
  void startWithHalfRetryPerQuery() {
    harness.retryBudgetWindowNanos = WINDOW_NANOS;
    harness.retryBudgetBase = 0;
    harness.retryBudgetPerQuery = 0.5;
    harness.start(engine("a", EngineState.UP, 0, 0), engine("b", EngineState.UP, 0, 0));
    harness.arrive("now", LONG, 0.1);
    arriveNoticedAfterPause("first");
    arriveNoticedAfterPause("second");
    harness.takeActions();
  }

  private void arriveNoticedAfterPause(String id) {
    long remainingNanos = 18 * SECOND;
    harness.scheduler.onQuery(
        harness.nowNanos,
        new Query(id, LONG, 0, null, remainingNanos, SECOND / 10, 100, 3, false, PAUSE_NANOS));
  }

  private long retriesAfter(long nanos) {
    harness.advance(nanos);
    harness.takeActions();
    harness.end("now", 0, "a", AttemptOutcome.FULL, 0, false);
    return harness.takeActions().stream().filter(a -> a.startsWith("forward now")).count();
  }

  @Test
  void queriesOfPauseCountWithinWindow() {
    assertEquals(1, retriesAfter(WINDOW_NANOS - PAUSE_NANOS - SECOND));
  }

  /**
   * Queries of a pause counted from its end, so that retries exceeded the budget by their share.
   */
  @Test
  void queriesOfPauseLeaveWindowByTheirArrival() {
    assertEquals(0, retriesAfter(WINDOW_NANOS - PAUSE_NANOS / 2));
  }
}
