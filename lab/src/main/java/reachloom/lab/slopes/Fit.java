package reachloom.lab.slopes;

import java.util.ArrayList;
import java.util.List;

/**
 * A straight line a + b n fitted by least squares to values measured at several sizes n. {@code
 * residual} is the largest deviation of a value from the line, as a share of the line's value at
 * that size, {@code rms} the root mean square of the deviations, {@code r2} the share of the
 * variance that the line explains. {@code knee} is the first size that was saturated or whose value
 * is too far above the line, or 0 if there is none; that size and all larger ones are excluded from
 * the fit. {@code sizes} is the number of values in the fit.
 */
record Fit(double a, double b, double residual, double rms, double r2, double knee, int sizes) {
  /** A value is a knee if it exceeds the line through the smaller sizes by more than this share. */
  private static final double KNEE_DEVIATION = 0.25;

  /** The fewest points whose line can show a knee: a line through fewer proves nothing. */
  private static final int MIN_POINTS = 3;

  private static final double MIN_DIVISOR = 1e-12;

  /** The least ratio of the slopes on both sides of a bend, or of its inverse. */
  private static final double BEND_RATIO = 2;

  /**
   * The value measured at one size; {@code saturated} if the process was at its limit, so that the
   * line does not hold there.
   */
  record Point(double size, double value, boolean saturated) {
    Point(double size, double value) {
      this(size, value, false);
    }
  }

  /**
   * Returns the line through the points up to the knee. The points are in order of size and have at
   * least two different sizes.
   */
  static Fit of(List<Point> points) {
    if (points.stream().mapToDouble(Point::size).distinct().count() < 2) {
      throw new IllegalArgumentException("a line needs points at two or more different sizes");
    }
    List<Point> fitted = new ArrayList<>();
    for (Point p : points) {
      Fit before = fitted.size() >= MIN_POINTS ? line(fitted, 0) : null;
      if (p.saturated || before != null && p.value > (1 + KNEE_DEVIATION) * before.at(p.size)) {
        return line(fitted, p.size);
      }
      fitted.add(p);
    }
    return line(fitted, 0);
  }

  private static Fit line(List<Point> points, double knee) {
    int n = points.size();
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double mean = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covarianceSum = 0;
    double sizeVarianceSum = 0;
    for (Point p : points) {
      covarianceSum += (p.size - meanSize) * (p.value - mean);
      sizeVarianceSum += (p.size - meanSize) * (p.size - meanSize);
    }
    double b = sizeVarianceSum > 0 ? covarianceSum / sizeVarianceSum : 0;
    Fit fit = new Fit(mean - b * meanSize, b, 0, 0, 0, knee, n);
    double residual =
        points.stream()
            .mapToDouble(
                p ->
                    Math.abs(p.value - fit.at(p.size))
                        / Math.max(MIN_DIVISOR, Math.abs(fit.at(p.size))))
            .max()
            .orElse(0);
    double squaredDeviations =
        points.stream().mapToDouble(p -> square(p.value - fit.at(p.size))).sum();
    double variance = points.stream().mapToDouble(p -> square(p.value - mean)).sum();
    double r2 = variance == 0 ? 1 : 1 - squaredDeviations / variance;
    return new Fit(fit.a, fit.b, residual, Math.sqrt(squaredDeviations / n), r2, knee, n);
  }

  /**
   * Returns the size at which the curve through the points bends most, whether or not it is a knee:
   * where the slope after the size is at least twice, or at most half, the slope before it, or
   * where the slope changes its sign or to or from 0, which counts as the strongest bend. Returns
   * NaN if there is no such size. The points are in order of size, each size once.
   */
  static double bend(List<Point> points) {
    double at = Double.NaN;
    double strongest = Math.log(BEND_RATIO);
    for (int i = 1; i + 1 < points.size(); i++) {
      double before = slope(points.get(i - 1), points.get(i));
      double after = slope(points.get(i), points.get(i + 1));
      double bend =
          before * after > 0
              ? Math.abs(Math.log(after / before))
              : before == after ? 0 : Double.POSITIVE_INFINITY;
      if (bend >= strongest) {
        strongest = bend;
        at = points.get(i).size;
      }
    }
    return at;
  }

  private static double slope(Point from, Point to) {
    return (to.value - from.value) / (to.size - from.size);
  }

  private static double square(double x) {
    return x * x;
  }

  /** Returns the line's value at a size. */
  double at(double size) {
    return a + b * size;
  }

  @Override
  public String toString() {
    return String.format(
        "%.5g + %.5g n, largest deviation %.1f%%, %d sizes, %s",
        a, b, residual * 100, sizes, knee > 0 ? "knee at " + Math.round(knee) : "no knee");
  }
}
