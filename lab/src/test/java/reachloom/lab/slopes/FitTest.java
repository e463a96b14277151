package reachloom.lab.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import reachloom.lab.slopes.Fit.Point;

/** Lines through figures: what lies on one, what is off it, and where it ends. */
class FitTest {
  private static final double SMALL = 1e-9;

  @Test
  void figuresOnALineGiveIt() {
    Fit fit = Fit.of(List.of(new Point(1, 5, false), new Point(2, 7, false), new Point(4, 11, false),
        new Point(8, 19, false)));
    assertEquals(3, fit.a(), SMALL);
    assertEquals(2, fit.b(), SMALL);
    assertEquals(0, fit.residual(), SMALL);
    assertEquals(0, fit.knee(), SMALL);
    assertEquals(4, fit.sizes());
  }

  @Test
  void theMostThatIsOffIsAShareOfTheLine() {
    Fit fit = Fit.of(List.of(new Point(0, 9, false), new Point(1, 12, false), new Point(2, 9, false)));
    assertEquals(10, fit.a(), SMALL);
    assertEquals(0, fit.b(), SMALL);
    assertEquals(0.2, fit.residual(), SMALL);
  }

  @Test
  void aFigureFarAboveTheLineIsTheKneeAndNotInIt() {
    Fit fit = Fit.of(List.of(new Point(1, 1, false), new Point(2, 2, false), new Point(3, 3, false),
        new Point(4, 6, false), new Point(5, 5, false)));
    assertEquals(4, fit.knee(), SMALL);
    assertEquals(3, fit.sizes());
    assertEquals(1, fit.b(), SMALL);
  }

  @Test
  void whatCouldNotKeepUpIsTheKneeThoughItCostsNoMore() {
    Fit fit = Fit.of(List.of(new Point(1, 1, false), new Point(2, 2, false), new Point(3, 2.5, true)));
    assertEquals(3, fit.knee(), SMALL);
    assertEquals(2, fit.sizes());
  }
}
