package reachloom.standin.model;

import java.util.PriorityQueue;

/**
 * Simulated time: what is due happens in order of time, and of being asked for where times agree.
 */
public final class SimulatedScheduler implements TaskScheduler {
  private record Due(long at, long number, Runnable action) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long now;
  private long count;

  /** A clock that starts at that time, in nanoseconds. */
  public SimulatedScheduler(long start) {
    now = start;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void at(long time, Runnable action) {
    due.add(new Due(Math.max(now, time), count++, action));
  }

  /** Plays all that is due up to that time. */
  public void runUntil(long time) {
    while (!due.isEmpty() && due.peek().at <= time) {
      Due d = due.poll();
      now = d.at;
      d.action.run();
    }
    now = Math.max(now, time);
  }
}
