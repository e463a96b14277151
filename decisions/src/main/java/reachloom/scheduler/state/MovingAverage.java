package reachloom.scheduler.state;

/** A moving average: the plain mean of its first values, then one that favours the newest value. */
public final class MovingAverage {
  private double value;
  private int count;

  /** Creates an average that has the given value until the first one is added. */
  public MovingAverage(double initialValue) {
    value = initialValue;
  }

  /**
   * Adds a value with the same weight as each value before.
   *
   * @param minWeight the least weight of the value, from 0 to 1
   */
  public void add(double newest, double minWeight) {
    count++;
    value += Math.max(minWeight, 1 / (double) count) * (newest - value);
  }

  /** The average. */
  public double value() {
    return value;
  }

  /** How many values were added. */
  public int count() {
    return count;
  }
}
