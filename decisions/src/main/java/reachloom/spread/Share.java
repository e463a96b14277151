package reachloom.spread;

import reachloom.state.SlidingSum;

/**
 * The part of the pool's work that is this gateway's, told by its own queries and the engines' reports: how
 * many gateways like this one would make up the fleet. One of many with several times the mean traffic is not
 * bound by an equal part while others leave theirs; one with less keeps the equal part and does not use it.
 * Where reports or queries are too few to tell, the number of the settings holds. Times are nanoseconds.
 */
public final class Share {
  private static final double SECOND = 1e9; // nanoseconds
  /** Own work is summed over so long: some tens of queries where a gateway has a few a second. */
  private static final long SPAN = 10_000_000_000L;
  /** Of the newest report: engines differ, and a report is of one. */
  private static final double REPORT_WEIGHT = 0.02;
  /** Reports before what they tell is taken for the pool's: fewer are of too few engines. */
  private static final int LEAST_REPORTS = 20;
  /** A pool that is hardly in use tells nothing of shares, and nothing there needs a bound. */
  private static final double LEAST_USE = 0.2;
  /** Queries that the sum has to hold: with fewer it is chance. */
  private static final double LEAST_QUERIES = 20;

  private final int gateways;
  private final SlidingSum work = new SlidingSum(SPAN);
  private final SlidingSum queries = new SlidingSum(SPAN);
  private double use;
  private long reports;
  private long began = -1;

  /** The share of one of so many gateways, about which nothing else is known yet. */
  public Share(int gateways) {
    this.gateways = Math.max(1, gateways);
  }

  /** A query has come; its work in core-seconds, as far as that is known. */
  public void asked(long now, double coreSeconds) {
    began = began < 0 ? now : began;
    work.add(now, coreSeconds);
    queries.add(now, 1);
  }

  /** An engine has reported what share of its cores is in use. */
  public void reported(double util) {
    reports++;
    use += Math.max(REPORT_WEIGHT, 1.0 / reports) * (Math.min(1, util) - use);
  }

  /** How many gateways like this one make up the fleet: as many as the settings name, or fewer. */
  public double fleet(long now, double poolCores) {
    if (reports < LEAST_REPORTS || use < LEAST_USE || queries.sum(now) < LEAST_QUERIES) {
      return gateways;
    }
    double span = Math.max(1, Math.min(SPAN, now - began) / SECOND);
    double own = work.sum(now) / span; // cores that its queries need
    return own <= 0 ? gateways : Math.max(1, Math.min(gateways, use * poolCores / own));
  }
}
