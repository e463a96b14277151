package reachloom.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Shares of the pool, subsets of engines and rotation of slots. */
class BalancingTest {
  private static final long SECOND = 1_000_000_000L;

  private static List<EngineSubset.WeightedEngine> engines(int count) {
    List<EngineSubset.WeightedEngine> all = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      all.add(new EngineSubset.WeightedEngine(String.format("s-%08x", i), 8));
    }
    return all;
  }

  private static Set<String> subset(
      int gateway, List<EngineSubset.WeightedEngine> engines, int size) {
    Set<String> subset = new HashSet<>();
    new EngineSubset(gateway)
        .order(engines)
        .forEach(
            (name, position) -> {
              if (position < size) {
                subset.add(name);
              }
            });
    return subset;
  }

  private static Map<String, Integer> gatewaysByEngine(
      int gateways, List<EngineSubset.WeightedEngine> engines, int subsetSize) {
    Map<String, Integer> count = new HashMap<>();
    for (int g = 0; g < gateways; g++) {
      subset(g, engines, subsetSize).forEach(e -> count.merge(e, 1, Integer::sum));
    }
    return count;
  }

  @Test
  void enginesGetSimilarNumbersOfGateways() {
    for (int gateways : new int[] {40, 97, 200, 1_000}) {
      Map<String, Integer> count = gatewaysByEngine(gateways, engines(60), 12);
      double fair = gateways * 12 / 60.0;
      assertEquals(60, count.size(), "each engine is in a subset");
      count
          .values()
          .forEach(
              c ->
                  assertTrue(
                      Math.abs(c - fair) <= Math.max(2, 0.15 * fair),
                      c + " of " + fair + " with " + gateways + " gateways"));
    }
  }

  @Test
  void everyThirdGatewaySpreadsOverEnginesEvenly() {
    // The gateways of one zone have every third number; the engines of that zone must get similar
    // numbers of them.
    Map<String, Integer> count = new HashMap<>();
    for (int g = 1; g < 300; g += 3) {
      subset(g, engines(40), 10).forEach(e -> count.merge(e, 1, Integer::sum));
    }
    assertEquals(40, count.size());
    count.values().forEach(c -> assertTrue(c >= 20 && c <= 30, c + " of 25"));
  }

  @Test
  void addedEngineChangesEachSubsetByOneAtMost() {
    List<EngineSubset.WeightedEngine> before = engines(60);
    List<EngineSubset.WeightedEngine> after = engines(61);
    int changes = 0;
    for (int g = 0; g < 200; g++) {
      Set<String> lost = subset(g, before, 12);
      lost.removeAll(subset(g, after, 12));
      assertTrue(lost.size() <= 1, "gateway " + g + " lost " + lost);
      changes += lost.size();
    }
    assertTrue(changes <= 200 * 12 / 60 * 3, changes + " changes");
  }

  @Test
  void gatewaysAreProportionalToEngineWeight() {
    List<EngineSubset.WeightedEngine> engines = engines(58);
    engines.add(new EngineSubset.WeightedEngine("s-0000aaaa", 16));
    engines.add(new EngineSubset.WeightedEngine("s-0000bbbb", 16));
    Map<String, Integer> gatewaysByFirst = new HashMap<>();
    for (int g = 0; g < 1_000; g++) {
      subset(g, engines, 1).forEach(e -> gatewaysByFirst.merge(e, 1, Integer::sum));
    }
    double fair = 1_000 * 16 / (58 * 8 + 32.0);
    assertEquals(fair, gatewaysByFirst.get("s-0000aaaa"), 3);
    assertEquals(fair, gatewaysByFirst.get("s-0000bbbb"), 3);
  }

  @Test
  void ordersSingleEngineAndEmptyList() {
    assertEquals(Map.of("s-00000001", 0), new EngineSubset(7).order(engines(1)));
    assertEquals(Map.of(), new EngineSubset(7).order(List.of()));
  }

  /**
   * Returns the estimator of a gateway whose queries have used the given memory for 10 s, while
   * engines reported the given share of their memory in use.
   */
  private static PoolShareEstimator estimator(int gateways, double memoryShare, double ownMb) {
    PoolShareEstimator estimator = new PoolShareEstimator(gateways);
    for (int i = 0; i < 400; i++) {
      estimator.recordOwnMemory(i * SECOND / 40, ownMb);
      estimator.recordReport(memoryShare);
    }
    return estimator;
  }

  @Test
  void estimatesLargerShareForGatewayWithMuchTraffic() {
    // 30,000 of 100,000 MB are in use, 3,000 of them by this gateway: ten such gateways would make
    // up
    // the fleet.
    assertEquals(10, estimator(200, 0.3, 3_000).inversePoolShare(100_000), 1);
  }

  @Test
  void keepsEqualShareForGatewayWithLittleTraffic() {
    assertEquals(200, estimator(200, 0.3, 50).inversePoolShare(100_000));
  }

  @Test
  void correctsGatewayCountOfSettingsThatIsTooHigh() {
    // There are 200 gateways, each with 150 of the 30,000 MB; the settings name 600.
    assertEquals(200, estimator(600, 0.3, 150).inversePoolShare(100_000), 20);
  }

  @Test
  void sharesAddUpToPoolAtAnyLoad() {
    // Three gateways with 20, 30 and 50 percent of the running work get these shares at any load.
    for (double utilization : new double[] {0.1, 0.5, 1}) {
      double shares = 0;
      for (double own : new double[] {0.2, 0.3, 0.5}) {
        shares +=
            1 / estimator(100, utilization, own * utilization * 100_000).inversePoolShare(100_000);
      }
      assertEquals(1, shares, 0.1, "at a utilization of " + utilization);
    }
  }

  @Test
  void shareDecreasesWithOwnWork() {
    PoolShareEstimator estimator = estimator(200, 0.3, 3_000);
    for (int i = 0; i < 400; i++) {
      estimator.recordOwnMemory((10 + i / 40) * SECOND, 1_500);
    }
    assertEquals(20, estimator.inversePoolShare(100_000), 3);
  }

  @Test
  void usesGatewayCountOfSettingsWithoutEnoughData() {
    assertEquals(
        200, estimator(200, 0.01, 3_000).inversePoolShare(100_000), "the pool is hardly used");
    assertEquals(
        200, estimator(200, 0, 3_000).inversePoolShare(100_000), "engines report no memory");
    assertEquals(
        200,
        estimator(200, 0.3, 0).inversePoolShare(100_000),
        "no query in flight, or unknown memory");
    PoolShareEstimator unreported = new PoolShareEstimator(200);
    for (int i = 0; i < 500; i++) {
      unreported.recordOwnMemory(i * SECOND / 40, 3_000);
    }
    assertEquals(200, unreported.inversePoolShare(100_000), "no reports");
  }

  @Test
  void eachGatewayOwnsOneSlotPerRound() {
    for (int gateways : new int[] {1, 2, 3, 4, 12, 60, 97, 100}) {
      for (long first : new long[] {-5, 0, 1_000_000_007}) {
        Set<Integer> owners = new TreeSet<>();
        int neighbouringOwners = 0;
        for (int i = 0; i < gateways; i++) {
          owners.add(SlotRotation.owner("s-00000001", first + i, gateways));
          int step =
              SlotRotation.owner("s-00000001", first + i + 1, gateways)
                  - SlotRotation.owner("s-00000001", first + i, gateways);
          neighbouringOwners += Math.abs(step) == 1 ? 1 : 0;
        }
        assertEquals(gateways, owners.size());
        assertTrue(gateways < 8 || neighbouringOwners == 0);
      }
    }
  }

  @Test
  void eachGatewayHasEachPlaceOncePerRound() {
    for (int gateways : new int[] {1, 2, 3, 5, 6, 12, 97, 100}) {
      int shared = Math.min(5, gateways);
      int[][] counts = new int[gateways][shared];
      for (int slot = 0; slot < gateways; slot++) {
        int sharers = 0;
        for (int gateway = 0; gateway < gateways; gateway++) {
          int place = SlotRotation.place("s-00000001", slot, 5, gateways, gateway);
          if (place >= 0) {
            counts[gateway][place]++;
            sharers++;
          }
        }
        assertEquals(shared, sharers);
        assertEquals(
            0,
            SlotRotation.place(
                "s-00000001", slot, 5, gateways, SlotRotation.owner("s-00000001", slot, gateways)));
      }
      for (int[] countByPlace : counts) {
        for (int count : countByPlace) {
          assertEquals(1, count);
        }
      }
    }
  }
}
