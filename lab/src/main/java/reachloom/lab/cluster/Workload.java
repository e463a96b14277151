package reachloom.lab.cluster;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * An open-loop workload: queries arrive by their own clock, regardless of the outcome of earlier
 * ones. The same seed gives the same queries, independent of how they are served.
 */
public final class Workload {
  private static final long SECOND = ClusterPlan.SECOND;
  private static final int KEYS = 5_000;
  private static final double MAX_WORK_MEANS = 6; // the longest query, in multiples of the mean

  /** A class of queries; times in nanoseconds, work in core-seconds. */
  public record Kind(
      String name,
      String effect,
      double share,
      double work,
      int threads,
      double memoryMb,
      long goalTime,
      double stretch,
      long deadline,
      double worth) {
    /** Returns the goal time of a query of the class with the given work, in nanoseconds. */
    long goalTimeFor(double ofWork) {
      return goalTime + (long) (stretch * ofWork / threads * SECOND);
    }
  }

  /**
   * The query classes: many short queries, a few long ones, loads that are idempotent by their key,
   * and changes that must not run twice.
   */
  public static final List<Kind> KINDS =
      List.of(
          new Kind("lookup", "repeatable", 0.82, 0.06, 1, 100, SECOND / 2, 1.5, 3 * SECOND, 1),
          new Kind("report", "repeatable", 0.11, 0.8, 2, 800, 3 * SECOND / 2, 2.5, 15 * SECOND, 8),
          new Kind("load", "by_key", 0.05, 1.2, 2, 500, 3 * SECOND, 2.5, 15 * SECOND, 12),
          new Kind("change", "once", 0.02, 0.3, 1, 200, SECOND, 2.5, 6 * SECOND, 6));

  /** One query; {@code key} is -1 in classes without one. */
  public record Arrival(long number, long at, int gateway, int kind, double work, int key) {
    /** Returns the query's id in the protocols of clients and engines. */
    public String id() {
      return String.format("%016x", number);
    }

    /** Returns the query's class. */
    public Kind of() {
      return KINDS.get(kind);
    }
  }

  private final ClusterPlan plan;
  private final SplittableRandom random;
  private final double[] cumulativeShares;
  private final double[] surgeFactors;
  private double rateFactor = 1;
  private double nextAt;
  private long count;

  /** Creates a workload whose first query arrives after a start time. */
  public Workload(ClusterPlan plan, long start) {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    nextAt = start;
    surgeFactors = new double[plan.zones()];
    Arrays.fill(surgeFactors, 1);
    cumulativeShares = new double[plan.gateways()];
    updateShares();
  }

  public static double meanWork() {
    return KINDS.stream().mapToDouble(k -> k.share * k.work).sum();
  }

  /** Sets the factor on the rate of queries of one zone or, for -1, on the total rate. */
  void surge(int zone, double factor) {
    if (zone < 0) {
      rateFactor = factor;
    } else {
      surgeFactors[zone] = factor;
    }
    updateShares();
  }

  private void updateShares() {
    double[] shares = plan.shares();
    double sum = 0;
    for (int g = 0; g < shares.length; g++) {
      sum += shares[g] * surgeFactors[plan.zoneOf(g)];
      cumulativeShares[g] = sum;
    }
  }

  /** Returns the next query in order of time. */
  public Arrival next() {
    double rate = plan.rate() * rateFactor * cumulativeShares[cumulativeShares.length - 1];
    nextAt += -Math.log(1 - random.nextDouble()) / rate * SECOND;
    double drawn = random.nextDouble() * cumulativeShares[cumulativeShares.length - 1];
    int place = Arrays.binarySearch(cumulativeShares, drawn);
    int gateway = Math.min(plan.gateways() - 1, place >= 0 ? place : -place - 1);
    int kind = 0;
    for (double left = random.nextDouble() - KINDS.get(0).share;
        left > 0 && kind < KINDS.size() - 1; ) {
      left -= KINDS.get(++kind).share;
    }
    Kind of = KINDS.get(kind);
    double work = Math.min(MAX_WORK_MEANS, -Math.log(1 - random.nextDouble())) * of.work;
    int key = random.nextInt(KEYS);
    return new Arrival(
        ++count, (long) nextAt, gateway, kind, work, of.effect.equals("by_key") ? key : -1);
  }
}
