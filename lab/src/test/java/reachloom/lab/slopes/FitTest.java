package reachloom.lab.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reachloom.lab.slopes.Fit.Point;

class FitTest {
  private static final double EXACT = 1e-9;

  private static List<Point> points(double... sizesAndValues) {
    List<Point> points = new ArrayList<>();
    for (int i = 0; i < sizesAndValues.length; i += 2) {
      points.add(new Point(sizesAndValues[i], sizesAndValues[i + 1]));
    }
    return points;
  }

  @Test
  void pointsOnALineGiveThatLineAndNoResidual() {
    Fit fit = Fit.of(points(60, 126, 150, 306, 300, 606, 630, 1_266));
    assertEquals(6, fit.a(), EXACT);
    assertEquals(2, fit.b(), EXACT);
    assertEquals(0, fit.residual(), EXACT);
    assertEquals(1, fit.r2(), EXACT);
    assertEquals(2_006, fit.at(1_000), EXACT);
  }

  @Test
  void theResidualIsTheRootOfTheMeanSquare() {
    // By hand: values 0.7, 0.9, 1.1, 1.3 on the line, so off by 0.3, -0.9, 0.9, -0.3; variance 2 in all.
    Fit fit = Fit.of(points(0, 1, 1, 0, 2, 2, 3, 1));
    assertEquals(0.7, fit.a(), EXACT);
    assertEquals(0.2, fit.b(), EXACT);
    assertEquals(Math.sqrt(1.8 / 4), fit.residual(), EXACT);
    assertEquals(0.1, fit.r2(), EXACT);
  }

  @Test
  void whatDoesNotGrowIsExplainedWhole() {
    Fit fit = Fit.of(points(1, 5, 2, 5, 3, 5));
    assertEquals(0, fit.b(), EXACT);
    assertEquals(1, fit.r2(), EXACT);
  }

  @Test
  void oneSizeGivesNoLine() {
    assertThrows(IllegalArgumentException.class, () -> Fit.of(points(5, 1)));
    assertThrows(IllegalArgumentException.class, () -> Fit.of(points(5, 1, 5, 2)));
    assertThrows(IllegalArgumentException.class, () -> Fit.of(List.of()));
  }

  @Test
  void aKneeIsWhereTheSlopeChangesMost() {
    assertTrue(Double.isNaN(Fit.knee(points(60, 60, 150, 150, 300, 300, 630, 630))));
    assertTrue(Double.isNaN(Fit.knee(points(60, 5, 150, 5, 300, 5))));
    assertEquals(300, Fit.knee(points(60, 60, 150, 150, 300, 300, 630, 1_290)), EXACT);
    assertEquals(150, Fit.knee(points(60, 1, 150, 2, 300, 2, 630, 2)), EXACT);
    assertTrue(Double.isNaN(Fit.knee(points(1, 1, 2, 2))));
  }
}
