package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Order, waits and wake-ups of the queue, also with a producer that is suspended. */
@Timeout(30)
class HandoffQueueTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Suspends a producer at the critical point, after it has added its element and before it wakes
   * the consumer up.
   */
  private static final class SuspendingWaitStrategy implements HandoffQueue.WaitStrategy {
    final CountDownLatch suspended = new CountDownLatch(1);
    final CountDownLatch resume = new CountDownLatch(1);
    final AtomicInteger parkCount = new AtomicInteger();
    final AtomicInteger sleepCount = new AtomicInteger();
    final boolean parks;

    SuspendingWaitStrategy(boolean parks) {
      this.parks = parks;
    }

    @Override
    public void park(long nanos) {
      parkCount.incrementAndGet();
      if (parks) {
        java.util.concurrent.locks.LockSupport.parkNanos(nanos);
      }
    }

    @Override
    public void unpark(Thread thread) {
      suspended.countDown();
      try {
        resume.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void sleep() throws InterruptedException {
      sleepCount.incrementAndGet();
      Thread.sleep(1);
    }
  }

  @Test
  void pollsInOrderAndWaitsWhenEmpty() throws InterruptedException {
    HandoffQueue<Integer> queue = new HandoffQueue<>();
    for (int i = 0; i < 3; i++) {
      queue.add(i);
    }
    assertEquals(3, queue.size());
    assertEquals(
        List.of(0, 1, 2), List.of(queue.poll(), queue.poll(NANOS_PER_MILLI), queue.poll(0)));
    long before = System.nanoTime();
    assertNull(queue.poll(20 * NANOS_PER_MILLI));
    assertTrue(System.nanoTime() - before >= 20 * NANOS_PER_MILLI);
    assertNull(queue.poll(-1));
    assertEquals(0, queue.size());
  }

  @Test
  void addEndsWait() throws InterruptedException {
    HandoffQueue<Integer> queue = new HandoffQueue<>();
    Thread producer = new Thread(() -> queue.add(7));
    producer.start();
    assertEquals(7, queue.poll(20_000 * NANOS_PER_MILLI));
    producer.join();
  }

  @Test
  void suspendedProducerDoesNotBlockConsumer() throws InterruptedException {
    SuspendingWaitStrategy strategy = new SuspendingWaitStrategy(true);
    HandoffQueue<Integer> queue = new HandoffQueue<>(strategy);
    Thread producer =
        new Thread(
            () -> {
              while (strategy.parkCount.get() == 0) {
                Thread.onSpinWait(); // until the consumer waits
              }
              queue.add(7);
            });
    producer.start();
    assertEquals(
        7, queue.poll(200 * NANOS_PER_MILLI), "received when the wait is over, at the latest");
    assertTrue(strategy.suspended.await(10, TimeUnit.SECONDS));
    assertNull(queue.poll(100 * NANOS_PER_MILLI), "the next poll waits without an element");
    assertEquals(2, strategy.parkCount.get(), "one park per wait");
    strategy.resume.countDown();
    producer.join();
  }

  @Test
  void sleepsAfterSpuriousWakeupsInsteadOfSpinning() throws InterruptedException {
    SuspendingWaitStrategy spurious = new SuspendingWaitStrategy(false);
    HandoffQueue<Integer> queue = new HandoffQueue<>(spurious);
    assertNull(queue.poll(30 * NANOS_PER_MILLI));
    assertTrue(
        spurious.parkCount.get() <= 3 && spurious.sleepCount.get() <= 31,
        spurious.parkCount + " parks and " + spurious.sleepCount + " sleeps");
  }

  @Test
  void concurrentProducersLoseNoElements() throws InterruptedException {
    HandoffQueue<int[]> queue = new HandoffQueue<>();
    int threads = 6;
    int elementsPerThread = 20_000;
    for (int thread = 0; thread < threads; thread++) {
      int producer = thread;
      new Thread(
              () -> {
                for (int i = 0; i < elementsPerThread; i++) {
                  queue.add(new int[] {producer, i});
                }
              })
          .start();
    }
    int[] next = new int[threads];
    for (int i = 0; i < threads * elementsPerThread; i++) {
      int[] element = queue.poll(10_000 * NANOS_PER_MILLI);
      assertEquals(next[element[0]]++, element[1], "elements of each producer in order");
    }
    assertNull(queue.poll());
    assertEquals(0, queue.size());
  }

  /**
   * The gateway uses none of the library's timed waits on condition objects, which can spin forever
   * behind a suspended thread; see {@link HandoffQueue}.
   */
  @Test
  void gatewayUsesNoTimedConditionWaits() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java/reachloom/gateway"))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        assertTrue(
            !Files.readString(file)
                .matches(
                    "(?s).*(BlockingQueue|BlockingDeque|DelayQueue"
                        + "|\\bCondition\\b|Exchanger|\\bawaitNanos\\b).*"),
            file + " uses a timed wait on a condition object");
      }
    }
  }
}
