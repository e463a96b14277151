package reachloom.gateway.state;

import java.util.TreeSet;

/**
 * The deadlines and timers of a gateway, ordered by time and, for equal times, by insertion.
 * Confined to the event loop's thread. All times are nanoseconds on the event loop's clock.
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

  /** Adds an action that is due at the given time; {@link #cancel} removes it by the result. */
  public Deadline add(long atNanos, Runnable action) {
    Deadline deadline = new Deadline(atNanos, count++, action);
    order.add(deadline);
    return deadline;
  }

  /** Removes a deadline; ignores null and deadlines that have been removed. */
  public void cancel(Deadline deadline) {
    if (deadline != null) {
      order.remove(deadline);
    }
  }

  /** Returns when the first deadline is due; {@link Long#MAX_VALUE} if there is none. */
  public long next() {
    return order.isEmpty() ? Long.MAX_VALUE : order.first().atNanos;
  }

  /** Removes the first deadline if it is due and returns its action; otherwise returns null. */
  public Runnable poll(long nowNanos) {
    boolean due = !order.isEmpty() && order.first().atNanos <= nowNanos;
    return due ? order.pollFirst().action : null;
  }

  /** Returns the number of deadlines. */
  public int size() {
    return order.size();
  }
}
