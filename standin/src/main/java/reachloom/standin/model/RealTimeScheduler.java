package reachloom.standin.model;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A scheduler in real time that runs all tasks on one thread. Its clock starts at the wall clock's
 * time and is monotonic from then on.
 */
public final class RealTimeScheduler implements TaskScheduler, AutoCloseable {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  private final long startWallNanos = System.currentTimeMillis() * MILLISECOND;
  private final long startMonotonicNanos = System.nanoTime();
  private final ScheduledExecutorService thread;
  private final AtomicInteger defects = new AtomicInteger();

  /** Creates a scheduler whose thread has the given name. */
  public RealTimeScheduler(String name) {
    thread =
        Executors.newSingleThreadScheduledExecutor(
            r -> {
              Thread t = new Thread(r, name);
              t.setDaemon(true);
              return t;
            });
  }

  @Override
  public long now() {
    return startWallNanos + System.nanoTime() - startMonotonicNanos;
  }

  @Override
  public void at(long time, Runnable action) {
    try {
      thread.schedule(
          () -> {
            try {
              action.run();
            } catch (RuntimeException e) {
              defects.incrementAndGet();
              e.printStackTrace(); // a defect of the stand-in: counted; later tasks still run
            }
          },
          time - now(),
          TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // the scheduler is closed: the task is dropped
    }
  }

  /** Returns how many tasks have thrown an exception; each is a defect of the code under it. */
  public int defects() {
    return defects.get();
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
