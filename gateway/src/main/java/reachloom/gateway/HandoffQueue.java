package reachloom.gateway;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * An unbounded queue from any number of producers to one consumer, in order. The consumer never
 * depends on how far a producer has come. The timed waits of {@code java.util.concurrent}'s
 * conditions do: past their time they spin until the thread that has marked the waiting one has
 * queued it, too. Where that thread is suspended in between and only one of the two may run at
 * once, they spin for good.
 *
 * <p>{@link #add} and {@link #size} are for any thread, {@link #poll()} and {@link #poll(long)} for
 * the consumer alone.
 *
 * @param <T> the elements
 */
final class HandoffQueue<T> {
  /** How the consumer waits and is woken. */
  interface Waiting {
    /** Waits for that many nanoseconds at most; may return early, also for no reason. */
    void park(long nanos);

    /** Ends the wait of that thread, or its next one. */
    void unpark(Thread thread);

    /** Waits for a short time, whatever happens. */
    void sleep() throws InterruptedException;
  }

  /** Parks and wakes by {@link LockSupport}. */
  private static final class ThreadWaiting implements Waiting {
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
   * A wait that ends with nothing to take may have been ended for an element taken since; more of
   * them in a row are a sign that parking fails.
   */
  private static final int MAX_EMPTY_WAITS = 3;

  private final ConcurrentLinkedQueue<T> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final Waiting waiting;

  /** The consumer while it waits; else null. */
  private volatile Thread consumer;

  /** An empty queue. */
  HandoffQueue() {
    this(new ThreadWaiting());
  }

  /** An empty queue whose consumer waits in that way. */
  HandoffQueue(Waiting waiting) {
    this.waiting = waiting;
  }

  /** Adds an element; never waits. */
  void add(T element) {
    size.incrementAndGet();
    queue.add(element);
    Thread waitingConsumer = consumer;
    if (waitingConsumer != null) {
      waiting.unpark(waitingConsumer);
    }
  }

  /** The number of elements, some of which may still be on their way in. */
  int size() {
    return size.get();
  }

  /** Takes the oldest element; null where there is none. */
  T poll() {
    T element = queue.poll();
    if (element != null) {
      size.decrementAndGet();
    }
    return element;
  }

  /** Takes the oldest element, waiting up to that many nanoseconds; null where none comes. */
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
        waiting.park(left);
      } else {
        waiting.sleep(); // a wait of another kind, which lets any other thread run
      }
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
    }
  }
}
