package reachloom.lab.slopes;

import java.util.List;

/**
 * A straight line through measured points by least squares: {@code a + b * n}. The residual is the root of
 * the mean square of what the line is off by, and {@code r2} the share of the variance that it explains.
 */
public record Fit(double a, double b, double residual, double r2) {
  private static final int LEAST = 2; // points that a line needs
  private static final double BEND = 2; // times the slope before, or less than its inverse

  /** One measured value and the size at which it was measured. */
  public record Point(double size, double value) {
  }

  /** The line through these points; they must be at two different sizes at least. */
  public static Fit of(List<Point> points) {
    double n = points.size();
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double spread = points.stream().mapToDouble(p -> square(p.size - meanSize)).sum();
    if (points.size() < LEAST || spread == 0) {
      throw new IllegalArgumentException("a line needs points at two different sizes");
    }
    double b = points.stream().mapToDouble(p -> (p.size - meanSize) * (p.value - meanValue)).sum() / spread;
    double a = meanValue - b * meanSize;
    double off = points.stream().mapToDouble(p -> square(p.value - a - b * p.size)).sum();
    double variance = points.stream().mapToDouble(p -> square(p.value - meanValue)).sum();
    return new Fit(a, b, Math.sqrt(off / n), variance == 0 ? 1 : 1 - off / variance);
  }

  /** What the line gives at a size. */
  public double at(double size) {
    return a + b * size;
  }

  /**
   * The size at which the measured values bend most: where the slope behind it is at least twice, or at most
   * half, of the one before it. NaN where none does. The points must stand in order of size, each once.
   */
  public static double knee(List<Point> points) {
    double knee = Double.NaN;
    double strongest = Math.log(BEND);
    for (int i = 1; i + 1 < points.size(); i++) {
      double before = slope(points.get(i - 1), points.get(i));
      double after = slope(points.get(i), points.get(i + 1));
      double bend = before * after > 0 ? Math.abs(Math.log(after / before))
          : before == after ? 0 : Double.POSITIVE_INFINITY;
      if (bend >= strongest) {
        strongest = bend;
        knee = points.get(i).size;
      }
    }
    return knee;
  }

  private static double slope(Point from, Point to) {
    return (to.value - from.value) / (to.size - from.size);
  }

  private static double square(double x) {
    return x * x;
  }
}
