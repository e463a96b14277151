package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import reachloom.standin.model.EngineModel;

/**
 * What is played: how many of everything, for how long, and how the load falls on the gateways.
 * Load is the share of all cores that the queries need; {@code skew} is the exponent of Zipf's law
 * over the gateways; {@code believed} is how many gateways the settings name. In simulated time the
 * gateways' clocks are up to {@code clocksApart} off either way; reports are older by {@code
 * reportAge}; both in nanoseconds.
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
  /** Units of time. */
  public static final long SECOND = 1_000_000_000L; // nanoseconds

  public static final long MILLISECOND = 1_000_000L;
  static final int SMALL_CORES = 8;
  static final int LARGE_CORES = 16;
  static final double COLD_FROM = 0.35;
  static final long COLD_TIME = 10 * SECOND;
  static final double FALL_MULTIPLE = 2.5;
  static final long FALL_TIME = 3 * SECOND / 2;
  private static final double SMALL_MEMORY = 16_384;
  private static final int SESSIONS_PER_CORE = 6;
  private static final double SPEED_SPREAD = 0.1;

  /** A plan whose clocks agree and whose reports are as old as usual. */
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

  /** Where a gateway is. */
  public int zoneOf(int gateway) {
    return gateway % zones;
  }

  /** Where an engine is; replaced ones are numbered on, in the same zones. */
  public int zoneOfEngine(int engine) {
    return (engine - 1) % zones;
  }

  /** Whether an engine is of the larger kind: spread evenly over the zones. */
  public boolean isLarge(int engine) {
    int place = (engine - 1) % engines / zones;
    return Math.floor((place + 1) * large) > Math.floor(place * large);
  }

  int cores(int engine) {
    return isLarge(engine) ? LARGE_CORES : SMALL_CORES;
  }

  /** All cores of the first engines. */
  public int allCores() {
    int all = 0;
    for (int e = 1; e <= engines; e++) {
      all += cores(e);
    }
    return all;
  }

  /** Queries a second that make up the load. */
  double rate() {
    return load * allCores() / Workload.meanWork();
  }

  /** What engine of that number is; its speed and the time of its reports are drawn. */
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

  /** The share of all queries that each gateway gets; who gets most is drawn. */
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
