package reachloom.lab.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.balancing.EngineSubset;

/**
 * Which gateways keep to an engine, reckoned from the real order of each, without sockets:
 * connections at an engine while all have room, and dials when a zone of ten is back whose engines
 * had been replaced by others.
 */
final class SubsetAnalysis {
  private static final int KEPT = 8; // that a gateway keeps to, as the decisions have it
  private static final int ZONES = 10;
  private static final int CORES = 8;

  private SubsetAnalysis() {}

  /** The figures of so many gateways and engines. */
  static Map<String, Object> of(int gateways, int engines) {
    List<EngineSubset.WeightedEngine> places = new ArrayList<>();
    int[] keepers = new int[engines];
    for (int e = 0; e < engines; e++) {
      places.add(new EngineSubset.WeightedEngine(String.format("s-%08x", e + 1), CORES));
    }
    int dials = 0;
    int mostOfGateway = 0;
    for (int g = 0; g < gateways; g++) {
      Map<String, Integer> order = new EngineSubset(g).order(places);
      int mine = 0;
      for (int e = 0; e < engines; e++) {
        if (order.get(places.get(e).name()) < KEPT) {
          keepers[e]++;
          mine += e % ZONES == 0 ? 1 : 0;
        }
      }
      dials += mine;
      mostOfGateway = Math.max(mostOfGateway, mine);
    }
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("gateways", gateways);
    row.put("keepers_min", Arrays.stream(keepers).min().orElse(0));
    row.put(
        "keepers_mean",
        GatewayRig.rounded((double) gateways * Math.min(KEPT, engines) / engines, 2));
    row.put("keepers_max", Arrays.stream(keepers).max().orElse(0));
    row.put("zone_back_dials", dials);
    row.put("zone_back_dials_of_a_gateway_max", mostOfGateway);
    return row;
  }
}
