package reachloom.balancing;

/**
 * Estimates this gateway's share of the pool from the memory of its own queries in flight and the
 * memory in use that engines report; {@link #inversePoolShare} returns its inverse. A gateway with
 * several times the mean traffic is thus not limited to an equal share while other gateways leave
 * theirs unused.
 *
 * <p>Memory is the measure since gateways and engines know it in the same unit, and since only
 * running queries count: shares by arrivals, or by work against busy cores, add up to several times
 * the pool when clients retry rejected queries or disks are the bottleneck, so that limits would
 * have no effect. Shares by running queries add up to the pool. With too few reports or queries, or
 * if memory is unknown, the number of gateways of the settings is used.
 */
public final class PoolShareEstimator {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Time constant of the average of own memory: longer than a query, shorter than a burst. */
  private static final double AVERAGING_SECONDS = 4;

  /** Weight of the newest report; small, since each report is of one engine. */
  private static final double REPORT_WEIGHT = 0.02;

  /** Number of reports below which they may be of too few engines. */
  private static final int MIN_REPORTS = 20;

  /** Memory utilization below which shares are unknown, and no limit is needed. */
  private static final double MIN_UTILIZATION = 0.02;

  private final int gateways;
  private double utilization;
  private long reports;
  private double ownMemoryMb;
  private long recordedAtNanos = -1;

  /** Creates the estimator of one of the given number of gateways, without observations. */
  public PoolShareEstimator(int gateways) {
    this.gateways = Math.max(1, gateways);
  }

  /** Records the memory of this gateway's queries in flight, in MB; called at each tick. */
  public void recordOwnMemory(long nowNanos, double memoryMb) {
    double passedSeconds =
        recordedAtNanos < 0 ? 0 : (nowNanos - recordedAtNanos) / NANOS_PER_SECOND;
    recordedAtNanos = nowNanos;
    ownMemoryMb += (1 - Math.exp(-passedSeconds / AVERAGING_SECONDS)) * (memoryMb - ownMemoryMb);
  }

  /** Records the share of its memory that an engine has in use, from 0 to 1. */
  public void recordReport(double memoryShare) {
    reports++;
    utilization +=
        Math.max(REPORT_WEIGHT, 1.0 / reports) * (Math.min(1, memoryShare) - utilization);
  }

  /**
   * One divided by this gateway's share of the pool: the number of gateways that would use the
   * whole pool if each had as much traffic as this one; at most the number of the settings.
   */
  public double inversePoolShare(double poolMemoryMb) {
    if (reports < MIN_REPORTS || utilization < MIN_UTILIZATION || ownMemoryMb <= 0) {
      return gateways;
    }
    return Math.max(1, Math.min(gateways, utilization * poolMemoryMb / ownMemoryMb));
  }
}
