package reachloom.peerreport;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when to send reports, and to which receivers, on a platform that charges for each
 * message: only after failures, to a few random receivers, and at most once per minimum interval.
 * Not thread-safe.
 */
public final class ReportScheduler {
  private static final long MIN_INTERVAL_NANOS = 500_000_000; // between two rounds of reports
  private static final int RECEIVERS = 2; // per round

  /**
   * The maximum price of a message of 256 bytes, relative to a query. At prices of 0.0088 and 0.026
   * the gain from reports is within noise, so only free messages are sent.
   */
  private static final double MAX_MESSAGE_PRICE = 0;

  private final int selfIndex;
  private final int instanceCount;
  private final boolean affordable;
  private final SplittableRandom random;
  private boolean failureSeen;
  private long nextRoundAtNanos;

  /**
   * Creates the scheduler of one instance.
   *
   * @param selfIndex the index of this instance, from 0
   * @param instanceCount the number of instances
   * @param price the platform's price for a message
   * @param random the random source for the choice of receivers
   */
  public ReportScheduler(int selfIndex, int instanceCount, double price, SplittableRandom random) {
    this.selfIndex = selfIndex;
    this.instanceCount = instanceCount;
    this.random = random;
    affordable = price <= MAX_MESSAGE_PRICE && instanceCount > 1;
  }

  /** Records an observation of an engine; one other than SERVED makes the next round due. */
  public void onObservation(OutcomeWindow.Observation observation) {
    failureSeen |= observation != OutcomeWindow.Observation.SERVED;
  }

  /** Returns the indexes of the instances to report to now; usually none. */
  public List<Integer> receivers(long nowNanos) {
    if (!affordable || !failureSeen || nowNanos < nextRoundAtNanos) {
      return List.of();
    }
    failureSeen = false;
    nextRoundAtNanos = nowNanos + MIN_INTERVAL_NANOS;
    List<Integer> drawn = new ArrayList<>();
    for (int i = 0; i < RECEIVERS && drawn.size() < instanceCount - 1; i++) {
      int other = random.nextInt(instanceCount - 1);
      other += other >= selfIndex ? 1 : 0;
      if (!drawn.contains(other)) {
        drawn.add(other);
      }
    }
    return drawn;
  }
}
