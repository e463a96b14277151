package reachloom.lab.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.balancing.EngineSubset;

/**
 * Computes how many gateways have each engine in their subset, from the real preference order of
 * each gateway and without sockets. This gives the connections at an engine while all engines have
 * capacity, and the connections that are opened when one of ten zones returns after its engines had
 * been replaced by others.
 */
final class SubsetAnalysis {
  private static final int SUBSET_SIZE = 8; // engines of a gateway, as in the scheduler
  private static final int ZONES = 10;
  private static final int CORES = 8;

  private SubsetAnalysis() {}

  /** Returns the figures for the given numbers of gateways and engines. */
  static Map<String, Object> of(int gateways, int engines) {
    List<EngineSubset.WeightedEngine> weightedEngines = new ArrayList<>();
    int[] gatewaysOfEngine = new int[engines];
    for (int e = 0; e < engines; e++) {
      weightedEngines.add(new EngineSubset.WeightedEngine(String.format("s-%08x", e + 1), CORES));
    }
    int dials = 0;
    int maxDialsOfGateway = 0;
    for (int g = 0; g < gateways; g++) {
      Map<String, Integer> order = new EngineSubset(g).order(weightedEngines);
      int zoneEngines = 0;
      for (int e = 0; e < engines; e++) {
        if (order.get(weightedEngines.get(e).name()) < SUBSET_SIZE) {
          gatewaysOfEngine[e]++;
          zoneEngines += e % ZONES == 0 ? 1 : 0;
        }
      }
      dials += zoneEngines;
      maxDialsOfGateway = Math.max(maxDialsOfGateway, zoneEngines);
    }
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("gateways", gateways);
    row.put("keepers_min", Arrays.stream(gatewaysOfEngine).min().orElse(0));
    row.put(
        "keepers_mean",
        GatewayRig.rounded((double) gateways * Math.min(SUBSET_SIZE, engines) / engines, 2));
    row.put("keepers_max", Arrays.stream(gatewaysOfEngine).max().orElse(0));
    row.put("zone_back_dials", dials);
    row.put("zone_back_dials_of_a_gateway_max", maxDialsOfGateway);
    return row;
  }
}
