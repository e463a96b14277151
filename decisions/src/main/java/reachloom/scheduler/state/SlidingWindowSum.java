package reachloom.scheduler.state;

import java.util.ArrayDeque;

/** A sum over the latest stretch of time. */
public final class SlidingWindowSum {
  private record Entry(long at, double value) {}

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final long span;
  private double sum;

  /** A sum over the given span of time. */
  public SlidingWindowSum(long span) {
    this.span = span;
  }

  /** Adds a value at the present time. */
  public void add(long now, double value) {
    sum(now); // drops what is past, also where the sum is never asked for
    entries.addLast(new Entry(now, value));
    sum += value;
  }

  /** The sum of what was added within the span up to now. */
  public double sum(long now) {
    while (!entries.isEmpty() && entries.peekFirst().at() < now - span) {
      sum -= entries.removeFirst().value();
    }
    if (entries.isEmpty()) {
      sum = 0; // forget the rounding
    }
    return sum;
  }
}
