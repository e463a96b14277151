package reachloom.revision;

import java.util.SplittableRandom;

/**
 * Exponential backoff of a proposer whose ballot was preempted by a higher one. Delays are random,
 * and their mean doubles with each consecutive one, so that two proposers do not keep preempting
 * each other.
 */
final class BallotBackoff {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Mean of the first delay: two round trips to another region. */
  private static final long INITIAL_MEAN_NANOS = 150 * NANOS_PER_MILLI;

  private static final int MAX_DOUBLINGS = 4;

  private final SplittableRandom random;
  private int doublings;

  BallotBackoff(SplittableRandom random) {
    this.random = random;
  }

  /** Returns the next delay in nanoseconds: from 0.5 to 1.5 times the mean. */
  long nextDelayNanos() {
    long meanNanos = INITIAL_MEAN_NANOS << doublings;
    doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
    return meanNanos / 2 + random.nextLong(meanNanos);
  }

  /** Resets the mean delay after a revision was chosen. */
  void reset() {
    doublings = 0;
  }
}
