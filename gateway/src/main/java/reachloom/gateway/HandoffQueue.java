package reachloom.gateway;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * An unbounded FIFO queue from any number of producers to one consumer. The consumer's progress
 * never depends on that of a producer. In the timed waits of {@code java.util.concurrent}'s
 * condition objects it can: after its timeout, the waiting thread spins until the signalling
 * thread, which has already marked it, has also enqueued it. If the signalling thread is suspended
 * in between and only one of the two can run at a time, the waiting thread spins forever.
 *
 * <p>{@link #add} and {@link #size} may be called from any thread, {@link #poll()} and {@link
 * #poll(long)} from the consumer only.
 *
 * @param <T> the type of the elements
 */
final class HandoffQueue<T> {
  /** How the consumer waits and is woken up. */
  interface WaitStrategy {
    /** Waits for at most the given nanoseconds; may return early, also spuriously. */
    void park(long nanos);

    /** Ends the current or the next wait of a thread. */
    void unpark(Thread thread);

    /** Waits for a short fixed time, which no wake-up ends. */
    void sleep() throws InterruptedException;
  }

  /** Parks and unparks by {@link LockSupport}. */
  private static final class ParkingWaitStrategy implements WaitStrategy {
    private static final long SLEEP_MS = 1;

    @Override
    public void park(long nanos) {
      LockSupport.parkNanos(nanos);
    }

    @Override
    public void unpark(Thread thread) {
      LockSupport.unpark(thread);
    }

    @Override
    public void sleep() throws InterruptedException {
      Thread.sleep(SLEEP_MS);
    }
  }

  /**
   * Consecutive waits without an element after which the consumer sleeps instead of parking. A
   * single one may have been ended for an element that was already taken; several in a row mean
   * that parking returns at once.
   */
  private static final int MAX_EMPTY_WAITS = 3;

  private final ConcurrentLinkedQueue<T> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final WaitStrategy waitStrategy;

  /** The consumer while it waits, otherwise null. */
  private volatile Thread consumer;

  /** Creates an empty queue whose consumer parks. */
  HandoffQueue() {
    this(new ParkingWaitStrategy());
  }

  /** Creates an empty queue with the given wait strategy. */
  HandoffQueue(WaitStrategy waitStrategy) {
    this.waitStrategy = waitStrategy;
  }

  /** Adds an element; never blocks. */
  void add(T element) {
    size.incrementAndGet();
    queue.add(element);
    Thread waitingConsumer = consumer;
    if (waitingConsumer != null) {
      waitStrategy.unpark(waitingConsumer);
    }
  }

  /** Returns the number of elements, including those that a producer is about to add. */
  int size() {
    return size.get();
  }

  /** Removes and returns the oldest element; null if the queue is empty. */
  T poll() {
    T element = queue.poll();
    if (element != null) {
      size.decrementAndGet();
    }
    return element;
  }

  /** Removes the oldest element, waiting up to the given nanoseconds; null if none is added. */
  T poll(long nanos) throws InterruptedException {
    T element = poll();
    if (element != null || nanos <= 0) {
      return element;
    }
    long end = System.nanoTime() + nanos;
    consumer = Thread.currentThread();
    try {
      return awaitElement(end);
    } finally {
      consumer = null;
    }
  }

  private T awaitElement(long end) throws InterruptedException {
    for (int emptyWaits = 0; ; emptyWaits++) {
      T element = poll();
      long left = end - System.nanoTime();
      if (element != null || left <= 0) {
        return element;
      }
      if (emptyWaits < MAX_EMPTY_WAITS) {
        waitStrategy.park(left);
      } else {
        waitStrategy.sleep(); // unlike a park that returns at once, this lets other threads run
      }
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
    }
  }
}
