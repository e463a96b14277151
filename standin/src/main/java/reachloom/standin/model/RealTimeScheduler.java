package reachloom.standin.model;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Real time: one thread does what is due. Its clock starts at the wall clock's time and runs on
 * steadily.
 */
public final class RealTimeScheduler implements TaskScheduler, AutoCloseable {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  private final long start = System.currentTimeMillis() * MILLISECOND;
  private final long from = System.nanoTime();
  private final ScheduledExecutorService thread;
  private final AtomicInteger defects = new AtomicInteger();

  /** Time whose thread has that name. */
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
    return start + System.nanoTime() - from;
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
              e.printStackTrace(); // a defect of the stand-in: counted, and the rest goes on
            }
          },
          time - now(),
          TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // closed: nothing is due any more
    }
  }

  /** How many actions have failed by an exception: defects of whoever planned them. */
  public int defects() {
    return defects.get();
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
