package reachloom.lab.scale;

import java.util.Collection;
import java.util.List;

/** Statistics of measured samples. */
final class Samples {
  private Samples() {}

  /**
   * Returns the smallest sample that at least the given share of all samples does not exceed, or
   * null if there are no samples.
   */
  static Double percentile(Collection<Double> samples, double share) {
    List<Double> sorted = samples.stream().sorted().toList();
    return sorted.isEmpty()
        ? null
        : sorted.get(Math.max(0, (int) Math.ceil(share * sorted.size() - 1e-9) - 1));
  }

  /** Rounds the value to the given number of decimals; null stays null. */
  static Double round(Double value, int decimals) {
    double scale = Math.pow(10, decimals);
    return value == null ? null : Math.round(value * scale) / scale;
  }
}
