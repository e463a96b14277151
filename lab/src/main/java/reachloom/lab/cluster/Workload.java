package reachloom.lab.cluster;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * An open stream of queries: they come by their own clock, whatever becomes of those before. The
 * same seed gives the same queries, whoever serves them.
 */
public final class Workload {
  private static final long SECOND = ClusterPlan.SECOND;
  private static final int KEYS = 5_000;
  private static final double MAX_WORK = 6; // means

  /** A class of queries; times in nanoseconds, work in core-seconds. */
  public record Kind(
      String name,
      String effect,
      double share,
      double work,
      int threads,
      double memoryMb,
      long aim,
      double stretch,
      long deadline,
      double worth) {
    /** Within what time an answer is wanted. */
    long aimFor(double ofWork) {
      return aim + (long) (stretch * ofWork / threads * SECOND);
    }
  }

  /**
   * What a fleet is asked: many short queries, a few long ones, and loads that may not run twice.
   */
  public static final List<Kind> KINDS =
      List.of(
          new Kind("lookup", "repeatable", 0.82, 0.06, 1, 100, SECOND / 2, 1.5, 3 * SECOND, 1),
          new Kind("report", "repeatable", 0.11, 0.8, 2, 800, 3 * SECOND / 2, 2.5, 15 * SECOND, 8),
          new Kind("load", "by_key", 0.05, 1.2, 2, 500, 3 * SECOND, 2.5, 15 * SECOND, 12),
          new Kind("change", "once", 0.02, 0.3, 1, 200, SECOND, 2.5, 6 * SECOND, 6));

  /** One query; {@code key} is -1 in classes without one. */
  public record Arrival(long number, long at, int gateway, int kind, double work, int key) {
    /** What clients and engines call it. */
    public String id() {
      return String.format("%016x", number);
    }

    /** Its class. */
    public Kind of() {
      return KINDS.get(kind);
    }
  }

  private final ClusterPlan plan;
  private final SplittableRandom random;
  private final double[] upTo;
  private final double[] surge;
  private double times = 1;
  private double nextAt;
  private long count;

  /** Queries that begin at that time. */
  public Workload(ClusterPlan plan, long start) {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    nextAt = start;
    surge = new double[plan.zones()];
    Arrays.fill(surge, 1);
    upTo = new double[plan.gateways()];
    weigh();
  }

  public static double meanWork() {
    return KINDS.stream().mapToDouble(k -> k.share * k.work).sum();
  }

  /** From now on so many times as much comes, in one zone or, for -1, everywhere. */
  void surge(int zone, double factor) {
    if (zone < 0) {
      times = factor;
    } else {
      surge[zone] = factor;
    }
    weigh();
  }

  private void weigh() {
    double[] shares = plan.shares();
    double sum = 0;
    for (int g = 0; g < shares.length; g++) {
      sum += shares[g] * surge[plan.zoneOf(g)];
      upTo[g] = sum;
    }
  }

  /** The next query, later than all before. */
  public Arrival next() {
    double rate = plan.rate() * times * upTo[upTo.length - 1];
    nextAt += -Math.log(1 - random.nextDouble()) / rate * SECOND;
    double drawn = random.nextDouble() * upTo[upTo.length - 1];
    int place = Arrays.binarySearch(upTo, drawn);
    int gateway = Math.min(plan.gateways() - 1, place >= 0 ? place : -place - 1);
    int kind = 0;
    for (double left = random.nextDouble() - KINDS.get(0).share;
        left > 0 && kind < KINDS.size() - 1; ) {
      left -= KINDS.get(++kind).share;
    }
    Kind of = KINDS.get(kind);
    double work = Math.min(MAX_WORK, -Math.log(1 - random.nextDouble())) * of.work;
    int key = random.nextInt(KEYS);
    return new Arrival(
        ++count, (long) nextAt, gateway, kind, work, of.effect.equals("by_key") ? key : -1);
  }
}
