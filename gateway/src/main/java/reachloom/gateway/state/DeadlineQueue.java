package reachloom.gateway.state;

import java.util.TreeSet;

/**
 * All deadlines and timers of a gateway in one order: by time, and in the order in which they were
 * added where times agree. Confined to the event loop's thread. All times are nanoseconds on its
 * clock.
 */
public final class DeadlineQueue {
  private final TreeSet<Deadline> order = new TreeSet<>();
  private long count;

  /** An action that is due at a time. */
  public static final class Deadline implements Comparable<Deadline> {
    private final long atNanos;
    private final long number;
    private final Runnable action;

    private Deadline(long atNanos, long number, Runnable action) {
      this.atNanos = atNanos;
      this.number = number;
      this.action = action;
    }

    @Override
    public int compareTo(Deadline other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** Adds an action that is due at that time; the result cancels it. */
  public Deadline add(long atNanos, Runnable action) {
    Deadline deadline = new Deadline(atNanos, count++, action);
    order.add(deadline);
    return deadline;
  }

  /** Removes a deadline; null, or one that has passed, is left alone. */
  public void cancel(Deadline deadline) {
    if (deadline != null) {
      order.remove(deadline);
    }
  }

  /** When the first deadline is due; {@link Long#MAX_VALUE} where there is none. */
  public long next() {
    return order.isEmpty() ? Long.MAX_VALUE : order.first().atNanos;
  }

  /** Removes the first deadline if it is due, and returns its action; else null. */
  public Runnable poll(long nowNanos) {
    boolean due = !order.isEmpty() && order.first().atNanos <= nowNanos;
    return due ? order.pollFirst().action : null;
  }

  /** The number of deadlines. */
  public int size() {
    return order.size();
  }
}
