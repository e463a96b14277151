package reachloom.revision;

import java.util.Optional;
import java.util.SplittableRandom;

/**
 * When a proposer takes up a revision that this issuer has accepted and that nobody finishes: its
 * own proposer may be down. The time is random, so that not all issuers begin at once.
 */
final class RecoverySchedule {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** The wait; a random part of up to as much is added. */
  private static final long DELAY_NANOS = 2_000 * MILLISECOND;

  private final SplittableRandom random;
  private Optional<Revision> unfinished = Optional.empty();
  private long dueAtNanos;

  RecoverySchedule(SplittableRandom random) {
    this.random = random;
  }

  /** Notes what this issuer has accepted; the wait begins with each other revision. */
  void observe(long nowNanos, Optional<Revision> accepted) {
    boolean other = !accepted.equals(unfinished);
    unfinished = accepted;
    if (other && accepted.isPresent()) {
      restart(nowNanos);
    }
  }

  /** Begins the wait anew. */
  void restart(long nowNanos) {
    dueAtNanos = nowNanos + DELAY_NANOS + random.nextLong(DELAY_NANOS);
  }

  /** Whether a revision is accepted here and not known to be chosen. */
  boolean hasUnfinished() {
    return unfinished.isPresent();
  }

  /** Whether such a revision has waited for long enough. */
  boolean isDue(long nowNanos) {
    return unfinished.isPresent() && nowNanos >= dueAtNanos;
  }
}
