package reachloom.peerreport;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when evidence is worth a message where each one has a price, and to whom it goes: trouble
 * only, to few drawn by chance, and no more often than the gap allows.
 */
public final class ReportScheduler {
  private static final long GAP = 500_000_000; // nanoseconds between two rounds of messages
  private static final int RECEIVERS = 2; // of one round

  /**
   * Of bytes, over 256 for each query: at 0.0088 and 0.026 the gain is within noise, so free ones
   * only.
   */
  private static final double MAX_PRICE = 0;

  private final int self;
  private final int instances;
  private final boolean worth;
  private final SplittableRandom random;
  private boolean urgent;
  private long next;

  /**
   * A courier of the instance of that number among so many; {@code price} is what the platform
   * asks.
   */
  public ReportScheduler(int self, int instances, double price, SplittableRandom random) {
    this.self = self;
    this.instances = instances;
    this.random = random;
    worth = price <= MAX_PRICE && instances > 1;
  }

  /** Something was seen of an engine. */
  public void onObservation(OutcomeWindow.Observation seen) {
    urgent |= seen != OutcomeWindow.Observation.SERVED;
  }

  /** Whom to tell now; mostly nobody. */
  public List<Integer> receivers(long now) {
    if (!worth || !urgent || now < next) {
      return List.of();
    }
    urgent = false;
    next = now + GAP;
    List<Integer> drawn = new ArrayList<>();
    for (int i = 0; i < RECEIVERS && drawn.size() < instances - 1; i++) {
      int other = random.nextInt(instances - 1);
      other += other >= self ? 1 : 0;
      if (!drawn.contains(other)) {
        drawn.add(other);
      }
    }
    return drawn;
  }
}
