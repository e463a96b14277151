package reachloom.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reachloom.discovery.EndpointWatch.FrameAction;

class EndpointWatchTest {
  private final EndpointWatch watch = new EndpointWatch(5, 1);

  private FrameAction event(long number) {
    return watch.onFrame(number, false, false);
  }

  private FrameAction nothing(long number) {
    return watch.onFrame(number, false, true);
  }

  @Test
  void appliesEventsInOrderAndIgnoresOlderOnes() {
    assertEquals(FrameAction.APPLY, event(6));
    assertEquals(FrameAction.IGNORE, event(6));
    assertEquals(FrameAction.IGNORE, event(2));
    assertEquals(FrameAction.IGNORE, watch.onFrame(1, true, false), "also where an older list is whole");
    assertEquals(FrameAction.IGNORE, nothing(3), "nor does a log that says less than before");
    assertEquals(6, watch.lastEventNumber());
    assertEquals(FrameAction.APPLY, watch.onFrame(9, true, false), "a whole list leaves nothing out");
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
    assertEquals(FrameAction.REQUEST_COMPLETE_LIST, event(11), "the next time again");
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
    assertEquals(FrameAction.IGNORE, nothing(1), "it may say so before it goes on");
    assertEquals(FrameAction.IGNORE, nothing(1));
    assertEquals(5, watch.lastEventNumber(), "the list held stays");
    assertEquals(5, watch.requestAfter());
    assertEquals(FrameAction.APPLY, event(8));
  }

  @Test
  void backoffIsBoundedAndDiffersBetweenGateways() {
    EndpointWatch other = new EndpointWatch(5, 2);
    boolean apart = false;
    for (int i = 0; i < 20; i++) {
      long mine = watch.nextBackoffNanos();
      apart |= mine != other.nextBackoffNanos();
      assertTrue(mine >= 50_000_000L && mine <= 400_000_000L);
    }
    assertTrue(apart);
    nothing(5);
    assertTrue(watch.nextBackoffNanos() <= 100_000_000L, "a frame has come since");
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
    assertEquals(FrameAction.IGNORE, event(8), "the list held does not go back");
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
      nothing(5);
      assertTrue(watch.nextBackoffNanos() <= 100_000_000L, "silent after " + second + " s");
    }
  }

  @Test
  void timeoutsLeaveTimeForThreeFailedConnects() {
    long frame = 1_000_000_000L;
    long told = 7 * frame;
    assertTrue(EndpointWatch.MAX_SILENCE_NANOS > 2 * frame, "frames may be late");
    assertTrue(
        EndpointWatch.MAX_SILENCE_NANOS + 3 * (EndpointWatch.CONNECT_TIMEOUT_NANOS + 400_000_000L) < told,
        "three dials may fail");
  }
}
