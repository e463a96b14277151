package reachloom.gateway.state;

import java.util.TreeSet;

/**
 * All deadlines and timers of a gateway in one order: by time, and in the order set where times
 * agree.
 */
public final class DeadlineQueue {
  private final TreeSet<Deadline> order = new TreeSet<>();
  private long count;

  /** Something that is due at a time. */
  public static final class Deadline implements Comparable<Deadline> {
    private final long at;
    private final long number;
    private final Runnable action;

    private Deadline(long at, long number, Runnable action) {
      this.at = at;
      this.number = number;
      this.action = action;
    }

    @Override
    public int compareTo(Deadline other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** Adds what is to be done at that time. */
  public Deadline add(long at, Runnable action) {
    Deadline d = new Deadline(at, count++, action);
    order.add(d);
    return d;
  }

  /** Takes a deadline out; null, or one that has passed, is left alone. */
  public void cancel(Deadline deadline) {
    if (deadline != null) {
      order.remove(deadline);
    }
  }

  /** When the first one is due, or the largest time where there is none. */
  public long next() {
    return order.isEmpty() ? Long.MAX_VALUE : order.first().at;
  }

  /** Takes out and gives the action of the first one that is due, or null. */
  public Runnable poll(long now) {
    return order.isEmpty() || order.first().at > now ? null : order.pollFirst().action;
  }

  /** How many are set. */
  public int size() {
    return order.size();
  }
}
