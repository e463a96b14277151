package reachloom.spread;

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
class SpreadTest {
  private static final long SECOND = 1_000_000_000L;

  private static List<Subset.Place> engines(int count) {
    List<Subset.Place> all = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      all.add(new Subset.Place(String.format("s-%08x", i), 8));
    }
    return all;
  }

  private static Set<String> first(int self, List<Subset.Place> engines, int kept) {
    Set<String> first = new HashSet<>();
    new Subset(self).order(engines).forEach((name, place) -> {
      if (place < kept) {
        first.add(name);
      }
    });
    return first;
  }

  private static Map<String, Integer> gatewaysOf(int gateways, List<Subset.Place> engines, int kept) {
    Map<String, Integer> count = new HashMap<>();
    for (int g = 0; g < gateways; g++) {
      first(g, engines, kept).forEach(e -> count.merge(e, 1, Integer::sum));
    }
    return count;
  }

  @Test
  void everyEngineHasAboutAsManyGateways() {
    for (int gateways : new int[] {40, 97, 200, 1_000}) {
      Map<String, Integer> count = gatewaysOf(gateways, engines(60), 12);
      double fair = gateways * 12 / 60.0;
      assertEquals(60, count.size(), "none is left out");
      count.values().forEach(c -> assertTrue(Math.abs(c - fair) <= Math.max(2, 0.15 * fair),
          c + " of " + fair + " with " + gateways + " gateways"));
    }
  }

  @Test
  void everyThirdGatewayAloneIsSpreadAsWell() {
    // The gateways of one zone are every third one: their own engines, too, have about as many each.
    Map<String, Integer> count = new HashMap<>();
    for (int g = 1; g < 300; g += 3) {
      first(g, engines(40), 10).forEach(e -> count.merge(e, 1, Integer::sum));
    }
    assertEquals(40, count.size());
    count.values().forEach(c -> assertTrue(c >= 20 && c <= 30, c + " of 25"));
  }

  @Test
  void oneEngineMoreMovesEachGatewayByOneAtMost() {
    List<Subset.Place> before = engines(60);
    List<Subset.Place> after = engines(61);
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
  void aLargerEngineHasMoreGateways() {
    List<Subset.Place> engines = engines(58);
    engines.add(new Subset.Place("s-0000aaaa", 16));
    engines.add(new Subset.Place("s-0000bbbb", 16));
    Map<String, Integer> starts = new HashMap<>();
    for (int g = 0; g < 1_000; g++) {
      first(g, engines, 1).forEach(e -> starts.merge(e, 1, Integer::sum));
    }
    double fair = 1_000 * 16 / (58 * 8 + 32.0);
    assertEquals(fair, starts.get("s-0000aaaa"), 3);
    assertEquals(fair, starts.get("s-0000bbbb"), 3);
  }

  @Test
  void oneEngineAndNoneAreOrdersToo() {
    assertEquals(Map.of("s-00000001", 0), new Subset(7).order(engines(1)));
    assertEquals(Map.of(), new Subset(7).order(List.of()));
  }

  private static Share share(int gateways, double util, double queriesPerSecond, double work) {
    Share s = new Share(gateways);
    for (int i = 0; i < 50; i++) {
      s.reported(util);
    }
    for (int i = 0; i < 10 * queriesPerSecond; i++) {
      s.asked((long) (i / queriesPerSecond * SECOND), work);
    }
    return s;
  }

  @Test
  void aGatewayWithMuchTrafficKnowsThatItsPartIsLarger() {
    // 400 cores of which 280 are in use; 28 of them are its own: like it, ten would make up the fleet.
    assertEquals(10, share(200, 0.7, 140, 0.2).fleet(10 * SECOND, 400), 0.5);
  }

  @Test
  void oneWithLittleTrafficKeepsTheEqualPart() {
    assertEquals(200, share(200, 0.7, 3, 0.2).fleet(10 * SECOND, 400));
  }

  @Test
  void settingsThatNameTooManyGatewaysAreSeenThrough() {
    // Really 200: each needs 1.4 of the 280 cores; 600 are named.
    assertEquals(200, share(600, 0.7, 7, 0.2).fleet(10 * SECOND, 400), 10);
  }

  @Test
  void withTooLittleToGoByTheSettingsHold() {
    assertEquals(200, share(200, 0.1, 140, 0.2).fleet(10 * SECOND, 400), "a pool hardly in use");
    assertEquals(200, share(200, 0.7, 1, 5).fleet(10 * SECOND, 400), "ten queries");
    Share silent = new Share(200);
    for (int i = 0; i < 500; i++) {
      silent.asked(i * SECOND / 50, 0.2);
    }
    assertEquals(200, silent.fleet(10 * SECOND, 400), "no report");
  }
}
