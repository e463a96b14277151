package reachloom.lab.slopes;

import java.util.ArrayList;
import java.util.List;

/**
 * A straight line a + b n through figures taken at several sizes, by least squares. {@code residual} is the
 * most that a figure lies off it, as a share of the line's value there; {@code knee} is the first size past
 * the line, or 0: sizes from there on are left out of it.
 */
record Fit(double a, double b, double residual, double knee, int sizes) {
  /** A figure this far above the line through the sizes before it has left it. */
  private static final double OFF = 0.25;
  /** A line through fewer proves nothing. */
  private static final int LEAST = 3;
  private static final double LITTLE = 1e-12;

  /** One figure at one size; {@code full} where the process could no more, so that no line holds there. */
  record Point(double size, double value, boolean full) {
  }

  /** The line through the figures, in order of size, up to the first that leaves it. */
  static Fit of(List<Point> points) {
    List<Point> on = new ArrayList<>();
    for (Point p : points) {
      Fit before = on.size() >= LEAST ? line(on, 0) : null;
      if (p.full || before != null && p.value > (1 + OFF) * before.at(p.size)) {
        return line(on, p.size);
      }
      on.add(p);
    }
    return line(on, 0);
  }

  private static Fit line(List<Point> points, double knee) {
    int n = points.size();
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double mean = points.stream().mapToDouble(Point::value).average().orElse(0);
    double across = 0;
    double along = 0;
    for (Point p : points) {
      across += (p.size - meanSize) * (p.value - mean);
      along += (p.size - meanSize) * (p.size - meanSize);
    }
    double b = along > 0 ? across / along : 0;
    Fit fit = new Fit(mean - b * meanSize, b, 0, knee, n);
    double residual = points.stream()
        .mapToDouble(p -> Math.abs(p.value - fit.at(p.size)) / Math.max(LITTLE, Math.abs(fit.at(p.size))))
        .max().orElse(0);
    return new Fit(fit.a, fit.b, residual, knee, n);
  }

  double at(double size) {
    return a + b * size;
  }

  @Override
  public String toString() {
    return String.format("%.5g + %.5g n, most off %.1f%% of %d sizes, %s", a, b, residual * 100, sizes,
        knee > 0 ? "knee at " + Math.round(knee) : "no knee");
  }
}
