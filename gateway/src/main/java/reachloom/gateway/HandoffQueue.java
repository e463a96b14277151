package reachloom.gateway;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Hands things from any thread to one that takes them, in order. Whoever takes never depends on how
 * far a thread that adds has come. The timed waits of the library's conditions do: past their time
 * they spin until a thread that has marked the waiting one has queued it, too. Where that one is
 * stopped in between and only one of the two may run at once, they spin for good.
 *
 * @param <T> what is handed over
 */
final class HandoffQueue<T> {
  /** How the taking thread waits and is woken. */
  interface Waiting {
    /** Waits for that many nanoseconds at most; may return early, also for no reason. */
    void park(long nanos);

    /** Ends the wait of that thread, or its next one. */
    void unpark(Thread thread);

    /** Waits for as long, whatever happens. */
    void sleep() throws InterruptedException;
  }

  /**
   * A wake-up for nothing may have been meant for what was taken since; more tell of a wait that
   * fails.
   */
  private static final int MAX_EMPTY = 3;

  private final ConcurrentLinkedQueue<T> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final Waiting waiting;
  private volatile Thread waiter;

  HandoffQueue() {
    this(
        new Waiting() {
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
            Thread.sleep(1);
          }
        });
  }

  HandoffQueue(Waiting waiting) {
    this.waiting = waiting;
  }

  /** Adds something, from any thread; never waits. */
  void add(T thing) {
    size.incrementAndGet();
    queue.add(thing);
    Thread sleeper = waiter;
    if (sleeper != null) {
      waiting.unpark(sleeper);
    }
  }

  /** How many there are, some of which may be on their way in. */
  int size() {
    return size.get();
  }

  /** The oldest, or null. */
  T poll() {
    T thing = queue.poll();
    if (thing != null) {
      size.decrementAndGet();
    }
    return thing;
  }

  /** The oldest, waited for up to that many nanoseconds, or null; for one thread alone. */
  T poll(long nanos) throws InterruptedException {
    T thing = poll();
    if (thing != null || nanos <= 0) {
      return thing;
    }
    long end = System.nanoTime() + nanos;
    waiter = Thread.currentThread();
    try {
      for (int empty = 0; ; empty++) {
        thing = poll();
        long left = end - System.nanoTime();
        if (thing != null || left <= 0) {
          return thing;
        }
        if (empty < MAX_EMPTY) {
          waiting.park(left);
        } else {
          waiting.sleep(); // a wait of another kind, which lets any other thread run
        }
        if (Thread.interrupted()) {
          throw new InterruptedException();
        }
      }
    } finally {
      waiter = null;
    }
  }
}
