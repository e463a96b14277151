package reachloom.pause;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Since when connections may have waited to be accepted. */
class AcceptQueueTest {
  private static final int CAPACITY = 3;

  private final AcceptQueue queue = new AcceptQueue(CAPACITY, 100);

  @Test
  void connectionsAreEstablishedAfterQueueWasLastEmpty() {
    assertEquals(100, queue.establishedAfterNanos());
    queue.accepted(150);
    queue.accepted(160);
    assertEquals(100, queue.establishedAfterNanos());
    queue.empty(170);
    assertEquals(170, queue.establishedAfterNanos());
  }

  @Test
  void connectionThatEndsLongWaitHasJustBeenEstablished() {
    long delay = PauseDetector.MAX_WAKE_UP_DELAY_NANOS;
    queue.waited(200, 200 + delay / 2);
    assertEquals(200, queue.establishedAfterNanos());
    queue.waited(200 + delay, 200 + 5 * delay);
    assertEquals(200 + 4 * delay, queue.establishedAfterNanos());
  }

  @Test
  void queueThatIsNeverEmptyIsRenewedByItsCapacity() {
    for (int i = 0; i <= CAPACITY; i++) {
      queue.accepted(200 + i);
    }
    assertEquals(100, queue.establishedAfterNanos());
    for (int i = 0; i <= CAPACITY; i++) {
      queue.accepted(300 + i);
    }
    assertEquals(203, queue.establishedAfterNanos(), "all that waited at 203 are accepted");
  }
}
