package reachloom.standin.model;

import java.util.PriorityQueue;

/**
 * A scheduler in simulated time. Tasks run in the order of their due times; tasks due at the same
 * time run in the order in which they were scheduled.
 */
public final class SimulatedScheduler implements TaskScheduler {
  private record Task(long dueNanos, long sequence, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(dueNanos, other.dueNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long now;
  private long nextSequence;

  /** Creates a scheduler whose clock starts at a time in nanoseconds. */
  public SimulatedScheduler(long startNanos) {
    now = startNanos;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void at(long time, Runnable action) {
    tasks.add(new Task(Math.max(now, time), nextSequence++, action));
  }

  /** Runs all tasks that are due up to a time, and advances the clock to it. */
  public void runUntil(long time) {
    while (!tasks.isEmpty() && tasks.peek().dueNanos <= time) {
      Task task = tasks.poll();
      now = task.dueNanos;
      task.action.run();
    }
    now = Math.max(now, time);
  }
}
