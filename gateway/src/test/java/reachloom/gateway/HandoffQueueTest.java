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

@Timeout(30)
class HandoffQueueTest {
  private static final long MILLISECOND = 1_000_000;

  /** A thread that adds is stopped at its worst moment: the thing is in, the wake-up isn't out. */
  private static final class Stopped implements HandoffQueue.WaitStrategy {
    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch goOn = new CountDownLatch(1);
    final AtomicInteger parks = new AtomicInteger();
    final AtomicInteger sleeps = new AtomicInteger();
    final boolean waits;

    Stopped(boolean waits) {
      this.waits = waits;
    }

    @Override
    public void park(long nanos) {
      parks.incrementAndGet();
      if (waits) {
        java.util.concurrent.locks.LockSupport.parkNanos(nanos);
      }
    }

    @Override
    public void unpark(Thread thread) {
      reached.countDown();
      try {
        goOn.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void sleep() throws InterruptedException {
      sleeps.incrementAndGet();
      Thread.sleep(1);
    }
  }

  @Test
  void whatIsInIsTakenInOrderAndEmptyTakesItsTime() throws InterruptedException {
    HandoffQueue<Integer> h = new HandoffQueue<>();
    for (int i = 0; i < 3; i++) {
      h.add(i);
    }
    assertEquals(3, h.size());
    assertEquals(List.of(0, 1, 2), List.of(h.poll(), h.poll(MILLISECOND), h.poll(0)));
    long before = System.nanoTime();
    assertNull(h.poll(20 * MILLISECOND));
    assertTrue(System.nanoTime() - before >= 20 * MILLISECOND);
    assertNull(h.poll(-1));
    assertEquals(0, h.size());
  }

  @Test
  void aWaitEndsWhenSomethingComes() throws InterruptedException {
    HandoffQueue<Integer> h = new HandoffQueue<>();
    Thread adds = new Thread(() -> h.add(7));
    adds.start();
    assertEquals(7, h.poll(20_000 * MILLISECOND));
    adds.join();
  }

  @Test
  void aThreadStoppedWithinAddingHoldsUpNobody() throws InterruptedException {
    Stopped stopped = new Stopped(true);
    HandoffQueue<Integer> h = new HandoffQueue<>(stopped);
    Thread adds =
        new Thread(
            () -> {
              while (stopped.parks.get() == 0) {
                Thread.onSpinWait(); // until the other one waits
              }
              h.add(7);
            });
    adds.start();
    assertEquals(7, h.poll(200 * MILLISECOND), "taken when the wait is over, at the latest");
    assertTrue(stopped.reached.await(10, TimeUnit.SECONDS));
    assertNull(h.poll(100 * MILLISECOND), "and the next wait is a wait");
    assertEquals(2, stopped.parks.get(), "one for each wait");
    stopped.goOn.countDown();
    adds.join();
  }

  @Test
  void waitsThatReturnForNothingEndInSleepInsteadOfSpinning() throws InterruptedException {
    Stopped never = new Stopped(false);
    HandoffQueue<Integer> h = new HandoffQueue<>(never);
    assertNull(h.poll(30 * MILLISECOND));
    assertTrue(
        never.parks.get() <= 3 && never.sleeps.get() <= 31, never.parks + " and " + never.sleeps);
  }

  @Test
  void manyThreadsLoseNothing() throws InterruptedException {
    HandoffQueue<int[]> h = new HandoffQueue<>();
    int threads = 6;
    int each = 20_000;
    for (int t = 0; t < threads; t++) {
      int mine = t;
      new Thread(
              () -> {
                for (int i = 0; i < each; i++) {
                  h.add(new int[] {mine, i});
                }
              })
          .start();
    }
    int[] next = new int[threads];
    for (int i = 0; i < threads * each; i++) {
      int[] got = h.poll(10_000 * MILLISECOND);
      assertEquals(next[got[0]]++, got[1], "each thread's in its order");
    }
    assertNull(h.poll());
    assertEquals(0, h.size());
  }

  /**
   * The queues and conditions of the library that wait with a limit are not used where the loop
   * waits.
   */
  @Test
  void noTimedWaitOfTheLibrarysConditionsIsLeft() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java/reachloom/gateway"))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        assertTrue(
            !Files.readString(file)
                .matches(
                    "(?s).*(BlockingQueue|BlockingDeque|DelayQueue"
                        + "|\\bCondition\\b|Exchanger|\\bawaitNanos\\b).*"),
            file.toString());
      }
    }
  }
}
