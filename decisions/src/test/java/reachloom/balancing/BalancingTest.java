package reachloom.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A gateway's part of the work, and the engines that it keeps to. */
class BalancingTest {
  private static final long SECOND = 1_000_000_000L;

  private static List<EngineSubset.WeightedEngine> engines(int count) {
    List<EngineSubset.WeightedEngine> all = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      all.add(new EngineSubset.WeightedEngine(String.format("s-%08x", i), 8));
    }
    return all;
  }

  private static Set<String> first(int self, List<EngineSubset.WeightedEngine> engines, int kept) {
    Set<String> first = new HashSet<>();
    new EngineSubset(self)
        .order(engines)
        .forEach(
            (name, place) -> {
              if (place < kept) {
                first.add(name);
              }
            });
    return first;
  }

  private static Map<String, Integer> gatewaysOf(
      int gateways, List<EngineSubset.WeightedEngine> engines, int kept) {
    Map<String, Integer> count = new HashMap<>();
    for (int g = 0; g < gateways; g++) {
      first(g, engines, kept).forEach(e -> count.merge(e, 1, Integer::sum));
    }
    return count;
  }

  @Test
  void enginesGetSimilarNumbersOfGateways() {
    for (int gateways : new int[] {40, 97, 200, 1_000}) {
      Map<String, Integer> count = gatewaysOf(gateways, engines(60), 12);
      double fair = gateways * 12 / 60.0;
      assertEquals(60, count.size(), "none is left out");
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
    // The gateways of one zone are every third one: their own engines, too, have about as many
    // each.
    Map<String, Integer> count = new HashMap<>();
    for (int g = 1; g < 300; g += 3) {
      first(g, engines(40), 10).forEach(e -> count.merge(e, 1, Integer::sum));
    }
    assertEquals(40, count.size());
    count.values().forEach(c -> assertTrue(c >= 20 && c <= 30, c + " of 25"));
  }

  @Test
  void addedEngineChangesEachSubsetByOneAtMost() {
    List<EngineSubset.WeightedEngine> before = engines(60);
    List<EngineSubset.WeightedEngine> after = engines(61);
    int moved = 0;
    for (int g = 0; g < 200; g++) {
      Set<String> lost = first(g, before, 12);
      lost.removeAll(first(g, after, 12));
      assertTrue(lost.size() <= 1, "gateway " + g + " lost " + lost);
      moved += lost.size();
    }
    assertTrue(moved <= 200 * 12 / 60 * 3, moved + " connections moved");
  }

  @Test
  void gatewaysAreProportionalToEngineWeight() {
    List<EngineSubset.WeightedEngine> engines = engines(58);
    engines.add(new EngineSubset.WeightedEngine("s-0000aaaa", 16));
    engines.add(new EngineSubset.WeightedEngine("s-0000bbbb", 16));
    Map<String, Integer> starts = new HashMap<>();
    for (int g = 0; g < 1_000; g++) {
      first(g, engines, 1).forEach(e -> starts.merge(e, 1, Integer::sum));
    }
    double fair = 1_000 * 16 / (58 * 8 + 32.0);
    assertEquals(fair, starts.get("s-0000aaaa"), 3);
    assertEquals(fair, starts.get("s-0000bbbb"), 3);
  }

  @Test
  void ordersSingleEngineAndEmptyList() {
    assertEquals(Map.of("s-00000001", 0), new EngineSubset(7).order(engines(1)));
    assertEquals(Map.of(), new EngineSubset(7).order(List.of()));
  }

  /**
   * A gateway whose queries hold so much memory for 10 s, of engines that report that share of
   * theirs.
   */
  private static PoolShareEstimator share(int gateways, double memoryShare, double ownMb) {
    PoolShareEstimator s = new PoolShareEstimator(gateways);
    for (int i = 0; i < 400; i++) {
      s.recordOwnMemory(i * SECOND / 40, ownMb);
      s.recordReport(memoryShare);
    }
    return s;
  }

  @Test
  void estimatesLargerShareForGatewayWithMuchTraffic() {
    // 100,000 MB of which 30,000 are in use; 3,000 of them are its own: like it, ten would make up
    // the fleet.
    assertEquals(10, share(200, 0.3, 3_000).fleetSize(100_000), 1);
  }

  @Test
  void keepsEqualShareForGatewayWithLittleTraffic() {
    assertEquals(200, share(200, 0.3, 50).fleetSize(100_000));
  }

  @Test
  void correctsGatewayCountOfSettingsThatIsTooHigh() {
    // Really 200: each has 150 of the 30,000 MB; 600 are named.
    assertEquals(200, share(600, 0.3, 150).fleetSize(100_000), 20);
  }

  @Test
  void sharesAddUpToPoolAtAnyLoad() {
    // Three gateways that have 20, 30 and 50 hundredths of what runs: their parts are that, at any
    // load.
    for (double use : new double[] {0.1, 0.5, 1}) {
      double parts = 0;
      for (double own : new double[] {0.2, 0.3, 0.5}) {
        parts += 1 / share(100, use, own * use * 100_000).fleetSize(100_000);
      }
      assertEquals(1, parts, 0.1, "at a load of " + use);
    }
  }

  @Test
  void shareDecreasesWithOwnWork() {
    PoolShareEstimator s = share(200, 0.3, 3_000);
    for (int i = 0; i < 400; i++) {
      s.recordOwnMemory((10 + i / 40) * SECOND, 1_500);
    }
    assertEquals(20, s.fleetSize(100_000), 3);
  }

  @Test
  void usesGatewayCountOfSettingsWithoutEnoughData() {
    assertEquals(200, share(200, 0.01, 3_000).fleetSize(100_000), "a pool hardly in use");
    assertEquals(200, share(200, 0, 3_000).fleetSize(100_000), "engines that don't tell of memory");
    assertEquals(
        200, share(200, 0.3, 0).fleetSize(100_000), "nothing out, or its memory not known");
    PoolShareEstimator silent = new PoolShareEstimator(200);
    for (int i = 0; i < 500; i++) {
      silent.recordOwnMemory(i * SECOND / 40, 3_000);
    }
    assertEquals(200, silent.fleetSize(100_000), "no report");
  }

  @Test
  void eachGatewayOwnsOneSlotPerRound() {
    for (int gateways : new int[] {1, 2, 3, 4, 12, 60, 97, 100}) {
      for (long first : new long[] {-5, 0, 1_000_000_007}) {
        java.util.Set<Integer> owners = new java.util.TreeSet<>();
        int neighbours = 0;
        for (int i = 0; i < gateways; i++) {
          owners.add(SlotRotation.owner("s-00000001", first + i, gateways));
          int step =
              SlotRotation.owner("s-00000001", first + i + 1, gateways)
                  - SlotRotation.owner("s-00000001", first + i, gateways);
          neighbours += Math.abs(step) == 1 ? 1 : 0;
        }
        assertEquals(gateways, owners.size());
        assertTrue(gateways < 8 || neighbours == 0);
      }
    }
  }

  @Test
  void eachGatewayHasEachPlaceOncePerRound() {
    for (int gateways : new int[] {1, 2, 3, 5, 6, 12, 97, 100}) {
      int shared = Math.min(5, gateways);
      int[][] had = new int[gateways][shared];
      for (int turn = 0; turn < gateways; turn++) {
        int sharers = 0;
        for (int gateway = 0; gateway < gateways; gateway++) {
          int place = SlotRotation.place("s-00000001", turn, 5, gateways, gateway);
          if (place >= 0) {
            had[gateway][place]++;
            sharers++;
          }
        }
        assertEquals(shared, sharers);
        assertEquals(
            0,
            SlotRotation.place(
                "s-00000001", turn, 5, gateways, SlotRotation.owner("s-00000001", turn, gateways)));
      }
      for (int[] places : had) {
        for (int times : places) {
          assertEquals(1, times);
        }
      }
    }
  }
}
