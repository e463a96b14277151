package reachloom.lab.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Who keeps to an engine at the size planned for, and at sizes smaller than what a gateway keeps
 * to.
 */
class SubsetAnalysisTest {
  @Test
  void engineAndZoneAreKeptToEvenlyAtTheSizePlannedFor() {
    Map<String, Object> row = SubsetAnalysis.of(580, 630);
    assertEquals(7.37, row.get("keepers_mean"));
    assertTrue(
        (int) row.get("keepers_min") >= 5 && (int) row.get("keepers_max") <= 10, row.toString());
    int dials = (int) row.get("zone_back_dials");
    assertTrue(dials > 580 * 8 / 10 * 0.9 && dials < 580 * 8 / 10 * 1.1, row.toString());
  }

  @Test
  void fewEnginesAreKeptToByAll() {
    Map<String, Object> row = SubsetAnalysis.of(5, 6);
    assertEquals(5, row.get("keepers_min"));
    assertEquals(5, row.get("keepers_max"));
    assertEquals(5.0, row.get("keepers_mean"));
  }
}
