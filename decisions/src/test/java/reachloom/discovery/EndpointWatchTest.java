package reachloom.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reachloom.discovery.EndpointWatch.FrameAction;

/** Handling of change log frames, gaps and reconnects. */
class EndpointWatchTest {
  private final EndpointWatch watch = new EndpointWatch(5, 1);

  private FrameAction event(long number) {
    return watch.onFrame(number, false, false);
  }

  private FrameAction heartbeat(long number) {
    return watch.onFrame(number, false, true);
  }

  @Test
  void appliesEventsInOrderAndIgnoresOlderOnes() {
    assertEquals(FrameAction.APPLY, event(6));
    assertEquals(FrameAction.IGNORE, event(6));
    assertEquals(FrameAction.IGNORE, event(2));
    assertEquals(
        FrameAction.IGNORE,
        watch.onFrame(1, true, false),
        "an older complete list is ignored as well");
    assertEquals(
        FrameAction.IGNORE, heartbeat(3), "a heartbeat with an older number changes nothing");
    assertEquals(6, watch.lastEventNumber());
    assertEquals(FrameAction.APPLY, watch.onFrame(9, true, false), "a complete list has no gap");
    assertEquals(9, watch.requestAfter());
  }

  @Test
  void requestsCompleteListAfterGapAndAppliesItOnceComplete() {
    assertEquals(FrameAction.REQUEST_COMPLETE_LIST, event(8));
    assertEquals(0, watch.requestAfter());
    watch.onRequestSent();
    for (int i = 1; i < 8; i++) {
      assertEquals(FrameAction.BUFFER, event(i));
      assertEquals(5, watch.lastEventNumber());
    }
    assertEquals(FrameAction.APPLY_BUFFERED, event(8));
    assertEquals(8, watch.lastEventNumber());
    assertEquals(FrameAction.APPLY, event(9));
    assertEquals(FrameAction.REQUEST_COMPLETE_LIST, event(11), "the next gap is detected as well");
  }

  @Test
  void buffersAnswerFromItsBeginningAfterReconnect() {
    event(8);
    watch.onRequestSent();
    event(1);
    event(2);
    watch.onRequestSent(); // the connection broke
    assertEquals(FrameAction.BUFFER, event(1));
  }

  @Test
  void toleratesGapsOfLogThatSkipsNumbers() {
    event(8);
    watch.onRequestSent();
    assertEquals(FrameAction.BUFFER, event(1));
    assertEquals(FrameAction.BUFFER, event(5));
    assertEquals(FrameAction.APPLY_BUFFERED, event(8));
    assertEquals(FrameAction.APPLY, event(12));
  }

  @Test
  void resumesFromLastAppliedEventIfLogLostEvents() {
    event(8);
    watch.onRequestSent();
    event(1);
    assertEquals(
        FrameAction.IGNORE, heartbeat(1), "a heartbeat may precede the rest of the answer");
    assertEquals(FrameAction.IGNORE, heartbeat(1));
    assertEquals(5, watch.lastEventNumber(), "the current list stays in use");
    assertEquals(5, watch.requestAfter());
    assertEquals(FrameAction.APPLY, event(8));
  }

  @Test
  void backoffIsBoundedAndDiffersBetweenGateways() {
    EndpointWatch other = new EndpointWatch(5, 2);
    boolean differs = false;
    for (int i = 0; i < 20; i++) {
      long backoffNanos = watch.nextBackoffNanos();
      differs |= backoffNanos != other.nextBackoffNanos();
      assertTrue(backoffNanos >= 50_000_000L && backoffNanos <= 400_000_000L);
    }
    assertTrue(differs);
    heartbeat(5);
    assertTrue(watch.nextBackoffNanos() <= 100_000_000L, "a frame resets the backoff");
  }

  @Test
  void acceptsCompleteListFromOtherSourceOnlyIfNewer() {
    assertTrue(watch.onCompleteList(7));
    assertFalse(watch.onCompleteList(6));
    assertEquals(FrameAction.APPLY, event(8));
  }

  @Test
  void newerCompleteListFromOtherSourceClosesGap() {
    assertEquals(FrameAction.REQUEST_COMPLETE_LIST, event(8));
    assertTrue(watch.onCompleteList(10));
    watch.onRequestSent();
    assertEquals(10, watch.requestAfter());
    assertEquals(FrameAction.IGNORE, event(8), "the current list does not go back");
    assertEquals(10, watch.lastEventNumber());
    assertEquals(FrameAction.APPLY, event(11));
  }

  @Test
  void olderCompleteListFromOtherSourceLeavesGapOpen() {
    assertEquals(FrameAction.REQUEST_COMPLETE_LIST, event(9));
    assertTrue(watch.onCompleteList(7));
    watch.onRequestSent();
    assertEquals(0, watch.requestAfter());
    assertEquals(FrameAction.BUFFER, event(8));
    assertEquals(FrameAction.APPLY_BUFFERED, event(9));
  }

  @Test
  void backoffStartsOverAfterEachFrame() {
    for (int second = 0; second < 60; second++) {
      heartbeat(5);
      assertTrue(watch.nextBackoffNanos() <= 100_000_000L, "backoff after " + second + " s");
    }
  }

  @Test
  void timeoutsLeaveTimeForThreeFailedConnects() {
    long heartbeatNanos = 1_000_000_000L;
    long listDeadlineNanos = 7 * heartbeatNanos;
    assertTrue(EndpointWatch.MAX_SILENCE_NANOS > 2 * heartbeatNanos, "two heartbeats may be late");
    assertTrue(
        EndpointWatch.MAX_SILENCE_NANOS + 3 * (EndpointWatch.CONNECT_TIMEOUT_NANOS + 400_000_000L)
            < listDeadlineNanos,
        "three connects may fail");
  }
}
