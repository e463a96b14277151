package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import reachloom.standin.model.EngineModel;

/**
 * The size of a run and its load.
 *
 * @param seconds how long queries arrive
 * @param load the share of all cores that the queries need
 * @param skew the exponent of Zipf's law by which queries are spread over the gateways
 * @param large the share of engines that have twice the cores
 * @param believed how many gateways the gateways' settings name
 * @param clocksApart the most by which a gateway's clock is off either way in simulated time, in
 *     nanoseconds
 * @param reportAge the additional age of load reports, in nanoseconds
 */
public record ClusterPlan(
    int gateways,
    int engines,
    int zones,
    int seconds,
    double load,
    double skew,
    double large,
    int believed,
    long seed,
    long clocksApart,
    long reportAge) {
  public static final long SECOND = 1_000_000_000L; // nanoseconds
  public static final long MILLISECOND = 1_000_000L; // nanoseconds
  static final int SMALL_CORES = 8;
  static final int LARGE_CORES = 16;
  static final double COLD_FROM = 0.35;
  static final long COLD_TIME = 10 * SECOND;
  static final double FALL_MULTIPLE = 2.5;
  static final long FALL_TIME = 3 * SECOND / 2;
  private static final double SMALL_MEMORY = 16_384;
  private static final int SESSIONS_PER_CORE = 6;
  private static final double SPEED_SPREAD = 0.1;

  /** Creates a plan with synchronized clocks and no additional age of load reports. */
  public ClusterPlan(
      int gateways,
      int engines,
      int zones,
      int seconds,
      double load,
      double skew,
      double large,
      int believed,
      long seed) {
    this(gateways, engines, zones, seconds, load, skew, large, believed, seed, 0, 0);
  }

  /** Returns the zone of a gateway. */
  public int zoneOf(int gateway) {
    return gateway % zones;
  }

  /** Returns the zone of an engine; the numbers of new engines continue those of the first ones. */
  public int zoneOfEngine(int engine) {
    return (engine - 1) % zones;
  }

  /**
   * Returns whether an engine is of the large kind; these are spread evenly over the zones. Their
   * number in each zone is the share of the zone's engines, rounded down.
   */
  public boolean isLarge(int engine) {
    int place = (engine - 1) % engines / zones;
    return Math.floor((place + 1) * large) > Math.floor(place * large);
  }

  int cores(int engine) {
    return isLarge(engine) ? LARGE_CORES : SMALL_CORES;
  }

  /** Returns the total number of cores of the first engines. */
  public int allCores() {
    int all = 0;
    for (int e = 1; e <= engines; e++) {
      all += cores(e);
    }
    return all;
  }

  /** Returns the queries per second that make up the load. */
  double rate() {
    return load * allCores() / Workload.meanWork();
  }

  /** Returns the parameters of an engine; its speed and the timing of its reports are random. */
  EngineModel.Spec spec(int engine) {
    SplittableRandom random = new SplittableRandom(seed * 7_919 + engine);
    int cores = cores(engine);
    double speed = 1 - SPEED_SPREAD + 2 * SPEED_SPREAD * random.nextDouble();
    return new EngineModel.Spec(
        cores,
        speed,
        cores * SESSIONS_PER_CORE,
        SMALL_MEMORY * cores / SMALL_CORES,
        COLD_FROM + 0.1 * random.nextDouble(),
        COLD_TIME,
        FALL_MULTIPLE,
        FALL_TIME,
        (130 + random.nextInt(480)) * MILLISECOND,
        (23 + random.nextInt(277)) * MILLISECOND + reportAge,
        Workload.meanWork(),
        SECOND / 2);
  }

  /** Returns the share of all queries that each gateway receives, in a random order of gateways. */
  double[] shares() {
    List<Integer> order = new ArrayList<>();
    for (int g = 0; g < gateways; g++) {
      order.add(g);
    }
    SplittableRandom random = new SplittableRandom(seed * 104_729 + 1);
    for (int i = gateways - 1; i > 0; i--) {
      order.set(i, order.set(random.nextInt(i + 1), order.get(i)));
    }
    double[] shares = new double[gateways];
    double sum = 0;
    for (int rank = 0; rank < gateways; rank++) {
      shares[order.get(rank)] = Math.pow(rank + 1, -skew);
      sum += shares[order.get(rank)];
    }
    for (int g = 0; g < gateways; g++) {
      shares[g] /= sum;
    }
    return shares;
  }
}
