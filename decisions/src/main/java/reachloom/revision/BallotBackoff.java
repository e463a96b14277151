package reachloom.revision;

import java.util.SplittableRandom;

/**
 * How long a proposer rests after it has met a higher ballot: a random time whose mean doubles with
 * each rest in a row, so that two proposers do not keep overtaking each other.
 */
final class BallotBackoff {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** The mean of the first rest: two round trips to another region. */
  private static final long INITIAL_MEAN_NANOS = 150 * MILLISECOND;

  private static final int MAX_DOUBLINGS = 4;

  private final SplittableRandom random;
  private int doublings;

  BallotBackoff(SplittableRandom random) {
    this.random = random;
  }

  /** The next rest in nanoseconds: from half to one and a half times the mean. */
  long nextDelayNanos() {
    long meanNanos = INITIAL_MEAN_NANOS << doublings;
    doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
    return meanNanos / 2 + random.nextLong(meanNanos);
  }

  /** Begins anew after a revision was chosen. */
  void reset() {
    doublings = 0;
  }
}
