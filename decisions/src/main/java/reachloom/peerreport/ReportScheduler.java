package reachloom.peerreport;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when reports are worth a message where each message has a price, and who receives it:
 * failures only, to few receivers drawn by chance, and no more often than the minimum interval
 * allows. Not thread-safe.
 */
public final class ReportScheduler {
  private static final long MIN_INTERVAL_NANOS = 500_000_000; // between two rounds of messages
  private static final int RECEIVERS = 2; // of one round

  /**
   * Of 256 bytes, relative to a query: at 0.0088 and 0.026 the gain is within noise, so that only
   * free messages are sent.
   */
  private static final double MAX_PRICE = 0;

  private final int selfIndex;
  private final int instanceCount;
  private final boolean affordable;
  private final SplittableRandom random;
  private boolean failureSeen;
  private long nextRoundAtNanos;

  /**
   * A scheduler for one of several instances.
   *
   * @param selfIndex the number of this instance, from 0
   * @param instanceCount how many instances there are
   * @param price what the platform asks for a message
   * @param random the source of the choice of receivers
   */
  public ReportScheduler(int selfIndex, int instanceCount, double price, SplittableRandom random) {
    this.selfIndex = selfIndex;
    this.instanceCount = instanceCount;
    this.random = random;
    affordable = price <= MAX_PRICE && instanceCount > 1;
  }

  /** Something was seen of an engine. */
  public void onObservation(OutcomeWindow.Observation observation) {
    failureSeen |= observation != OutcomeWindow.Observation.SERVED;
  }

  /** The numbers of the instances to report to now; mostly none. */
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
