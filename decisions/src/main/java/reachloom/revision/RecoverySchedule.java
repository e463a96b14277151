package reachloom.revision;

import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Schedules when a proposer proposes a revision that this issuer has accepted but that is not
 * chosen yet: the issuer that proposed it may be down. The delay is random, so that not all issuers
 * start at once.
 */
final class RecoverySchedule {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Minimum delay; a random delay of up to the same length is added. */
  private static final long DELAY_NANOS = 2_000 * NANOS_PER_MILLI;

  private final SplittableRandom random;
  private Optional<Revision> unfinished = Optional.empty();
  private long dueAtNanos;

  RecoverySchedule(SplittableRandom random) {
    this.random = random;
  }

  /** Records the revision that this issuer has accepted; a different one restarts the delay. */
  void observe(long nowNanos, Optional<Revision> accepted) {
    boolean changed = !accepted.equals(unfinished);
    unfinished = accepted;
    if (changed && accepted.isPresent()) {
      restart(nowNanos);
    }
  }

  /** Restarts the delay. */
  void restart(long nowNanos) {
    dueAtNanos = nowNanos + DELAY_NANOS + random.nextLong(DELAY_NANOS);
  }

  /** Returns whether this issuer has accepted a revision that is not known to be chosen. */
  boolean hasUnfinished() {
    return unfinished.isPresent();
  }

  /** Returns whether the delay for such a revision has elapsed. */
  boolean isDue(long nowNanos) {
    return unfinished.isPresent() && nowNanos >= dueAtNanos;
  }
}
