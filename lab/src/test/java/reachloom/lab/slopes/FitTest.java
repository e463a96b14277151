package reachloom.lab.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reachloom.lab.slopes.Fit.Point;

/** Tests fitted lines: coefficients, deviations, knee and bend. */
class FitTest {
  private static final double TOLERANCE = 1e-9;

  @Test
  void fitsPointsOnLine() {
    Fit fit =
        Fit.of(
            List.of(
                new Point(1, 5, false),
                new Point(2, 7, false),
                new Point(4, 11, false),
                new Point(8, 19, false)));
    assertEquals(3, fit.a(), TOLERANCE);
    assertEquals(2, fit.b(), TOLERANCE);
    assertEquals(0, fit.residual(), TOLERANCE);
    assertEquals(0, fit.knee(), TOLERANCE);
    assertEquals(4, fit.sizes());
  }

  @Test
  void residualIsLargestRelativeDeviation() {
    Fit fit =
        Fit.of(List.of(new Point(0, 9, false), new Point(1, 12, false), new Point(2, 9, false)));
    assertEquals(10, fit.a(), TOLERANCE);
    assertEquals(0, fit.b(), TOLERANCE);
    assertEquals(0.2, fit.residual(), TOLERANCE);
  }

  @Test
  void kneeIsExcludedFromLine() {
    Fit fit =
        Fit.of(
            List.of(
                new Point(1, 1, false),
                new Point(2, 2, false),
                new Point(3, 3, false),
                new Point(4, 6, false),
                new Point(5, 5, false)));
    assertEquals(4, fit.knee(), TOLERANCE);
    assertEquals(3, fit.sizes());
    assertEquals(1, fit.b(), TOLERANCE);
  }

  @Test
  void saturatedPointIsKnee() {
    Fit fit =
        Fit.of(List.of(new Point(1, 1, false), new Point(2, 2, false), new Point(3, 2.5, true)));
    assertEquals(3, fit.knee(), TOLERANCE);
    assertEquals(2, fit.sizes());
  }

  private static List<Point> points(double... sizesAndValues) {
    List<Point> points = new ArrayList<>();
    for (int i = 0; i < sizesAndValues.length; i += 2) {
      points.add(new Point(sizesAndValues[i], sizesAndValues[i + 1]));
    }
    return points;
  }

  @Test
  void pointsOnLineHaveNoDeviation() {
    Fit fit = Fit.of(points(60, 126, 150, 306, 300, 606, 630, 1_266));
    assertEquals(6, fit.a(), TOLERANCE);
    assertEquals(2, fit.b(), TOLERANCE);
    assertEquals(0, fit.rms(), TOLERANCE);
    assertEquals(1, fit.r2(), TOLERANCE);
    assertEquals(2_006, fit.at(1_000), TOLERANCE);
  }

  @Test
  void rmsIsRootMeanSquareDeviation() {
    // Values on the line are 0.7, 0.9, 1.1, 1.3, so deviations are 0.3, -0.9, 0.9, -0.3; the sum
    // of squared differences from the mean is 2.
    Fit fit = Fit.of(points(0, 1, 1, 0, 2, 2, 3, 1));
    assertEquals(0.7, fit.a(), TOLERANCE);
    assertEquals(0.2, fit.b(), TOLERANCE);
    assertEquals(Math.sqrt(1.8 / 4), fit.rms(), TOLERANCE);
    assertEquals(0.1, fit.r2(), TOLERANCE);
  }

  @Test
  void constantValuesAreFullyExplained() {
    Fit fit = Fit.of(points(1, 5, 2, 5, 3, 5));
    assertEquals(0, fit.b(), TOLERANCE);
    assertEquals(1, fit.r2(), TOLERANCE);
  }

  @Test
  void rejectsFewerThanTwoSizes() {
    assertThrows(IllegalArgumentException.class, () -> Fit.of(points(5, 1)));
    assertThrows(IllegalArgumentException.class, () -> Fit.of(points(5, 1, 5, 2)));
    assertThrows(IllegalArgumentException.class, () -> Fit.of(List.of()));
  }

  @Test
  void bendIsWhereSlopeChangesMost() {
    assertTrue(Double.isNaN(Fit.bend(points(60, 60, 150, 150, 300, 300, 630, 630))));
    assertTrue(Double.isNaN(Fit.bend(points(60, 5, 150, 5, 300, 5))));
    assertEquals(300, Fit.bend(points(60, 60, 150, 150, 300, 300, 630, 1_290)), TOLERANCE);
    assertEquals(150, Fit.bend(points(60, 1, 150, 2, 300, 2, 630, 2)), TOLERANCE);
    assertTrue(Double.isNaN(Fit.bend(points(1, 1, 2, 2))));
  }
}
