package reachloom.lab.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the number of gateways that have an engine in their subset, at the planned size and with
 * fewer engines than the size of a subset.
 */
class SubsetAnalysisTest {
  @Test
  void spreadsGatewaysEvenlyOverEnginesAndZonesAtPlannedSize() {
    Map<String, Object> row = SubsetAnalysis.of(580, 630);
    assertEquals(7.37, row.get("keepers_mean"));
    assertTrue(
        (int) row.get("keepers_min") >= 5 && (int) row.get("keepers_max") <= 10, row.toString());
    int dials = (int) row.get("zone_back_dials");
    assertTrue(dials > 580 * 8 / 10 * 0.9 && dials < 580 * 8 / 10 * 1.1, row.toString());
  }

  @Test
  void assignsAllGatewaysToFewEngines() {
    Map<String, Object> row = SubsetAnalysis.of(5, 6);
    assertEquals(5, row.get("keepers_min"));
    assertEquals(5, row.get("keepers_max"));
    assertEquals(5.0, row.get("keepers_mean"));
  }
}
