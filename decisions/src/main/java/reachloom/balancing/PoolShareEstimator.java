package reachloom.balancing;

/**
 * The part of the pool's work that is this gateway's, told by the memory that its own queries have
 * out and the memory in use that engines report: how many gateways like this one would make up the
 * fleet. One of many with several times the mean traffic is not bound by an equal part while others
 * leave theirs; one with less keeps the equal part and does not use it.
 *
 * <p>Memory is the measure since both sides tell it in one unit, and since only what runs counts:
 * parts by what is asked for, or by work against busy cores, add up to several times the pool once
 * clients repeat what was refused or disks are the bottleneck, and bounds then bind nobody. Parts
 * by what runs add up to the pool. Where reports or queries are too few to tell, or memory is not
 * told, the number of the settings holds. Times are nanoseconds, memory is in MB.
 */
public final class PoolShareEstimator {
  private static final double SECOND = 1e9; // nanoseconds

  /**
   * Own memory out is averaged over about so long, in seconds: longer than a query, shorter than a
   * burst.
   */
  private static final double SPAN = 4;

  /** Of the newest report: engines differ, and a report is of one. */
  private static final double REPORT_WEIGHT = 0.02;

  /** Reports before what they tell is taken for the pool's: fewer are of too few engines. */
  private static final int MIN_REPORTS = 20;

  /** A pool that is hardly in use tells nothing of shares, and nothing there needs a bound. */
  private static final double MIN_USE = 0.02;

  private final int gateways;
  private double use;
  private long reports;
  private double own;
  private long lookedAt = -1;

  /** The share of one of so many gateways, about which nothing else is known yet. */
  public PoolShareEstimator(int gateways) {
    this.gateways = Math.max(1, gateways);
  }

  /** So much memory is held by this gateway's queries now; told every tick. */
  public void running(long now, double memoryMb) {
    double passed = lookedAt < 0 ? 0 : (now - lookedAt) / SECOND;
    lookedAt = now;
    own += (1 - Math.exp(-passed / SPAN)) * (memoryMb - own);
  }

  /** An engine has reported what share of its memory is in use. */
  public void reported(double memoryShare) {
    reports++;
    use += Math.max(REPORT_WEIGHT, 1.0 / reports) * (Math.min(1, memoryShare) - use);
  }

  /** How many gateways like this one make up the fleet: as many as the settings name, or fewer. */
  public double fleet(double poolMemoryMb) {
    if (reports < MIN_REPORTS || use < MIN_USE || own <= 0) {
      return gateways;
    }
    return Math.max(1, Math.min(gateways, use * poolMemoryMb / own));
  }
}
