package reachloom.scheduler.state;

/** A mean that follows its newest values: plain over the first few, then weighted. */
public final class MovingAverage {
  public double value;
  public int count;

  /** A mean that stands at the given value until the first one is added. */
  public MovingAverage(double start) {
    value = start;
  }

  /** Adds a value, which weighs as much as any so far, and the given weight at least. */
  public void add(double newest, double leastWeight) {
    count++;
    value += Math.max(leastWeight, 1 / (double) count) * (newest - value);
  }
}
