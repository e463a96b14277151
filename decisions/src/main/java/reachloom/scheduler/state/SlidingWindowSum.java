package reachloom.scheduler.state;

import java.util.ArrayDeque;
import java.util.Deque;

/** A sum over a sliding window of time; values that leave the window are dropped. */
public final class SlidingWindowSum {
  private record Entry(long addedAtNanos, double value) {}

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final long windowNanos;
  private double sum;

  /** Creates a sum over a window of the given length. */
  public SlidingWindowSum(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Adds a value at the given time, which must not go back. */
  public void add(long nowNanos, double value) {
    sum(nowNanos); // bounds the entries even if the sum is never read
    entries.addLast(new Entry(nowNanos, value));
    sum += value;
  }

  /**
   * Adds a value that was noticed late, with the time to which it belongs.
   *
   * @param addedAtNanos when it would have been added, at most {@code nowNanos}
   */
  public void addLate(long addedAtNanos, long nowNanos, double value) {
    sum(nowNanos);
    Deque<Entry> later = new ArrayDeque<>();
    while (!entries.isEmpty() && entries.peekLast().addedAtNanos() > addedAtNanos) {
      later.addFirst(entries.removeLast());
    }
    entries.addLast(new Entry(addedAtNanos, value));
    entries.addAll(later);
    sum += value;
  }

  /** The sum of the values that were added within the window that ends at the given time. */
  public double sum(long nowNanos) {
    while (!entries.isEmpty() && entries.peekFirst().addedAtNanos() < nowNanos - windowNanos) {
      sum -= entries.removeFirst().value();
    }
    if (entries.isEmpty()) {
      sum = 0; // drops rounding errors
    }
    return sum;
  }
}
