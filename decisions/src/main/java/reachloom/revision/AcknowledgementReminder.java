package reachloom.revision;

import reachloom.revision.PeerTable.PeerState;

/**
 * Sends reminders at an aggregator: announces the newest revision again to the members of its zone
 * that have not acknowledged it. Times are nanoseconds of the clock that the caller passes in;
 * confined to the thread of {@link RevisionDissemination}.
 */
final class AcknowledgementReminder {
  /** Delay of the first reminder, by which the rounds of {@link EagerPush} have covered a zone. */
  private static final long FIRST_REMINDER_NANOS = 600_000_000;

  /** Interval between two reminders of one member; doubles up to {@link #MAX_DOUBLINGS} times. */
  private static final long REPEAT_NANOS = 1_000_000_000;

  private static final int MAX_DOUBLINGS = 1;

  /** Limits reminders to 10 KB/s with ticks of 100 ms and notices of 500 bytes. */
  private static final int REMINDERS_PER_TICK = 2;

  private final RevisionLog log;
  private final PeerTable peers;
  private final AcknowledgementTracker tracker;
  private final NoticeSender notices;

  AcknowledgementReminder(
      RevisionLog log, PeerTable peers, AcknowledgementTracker tracker, NoticeSender notices) {
    this.log = log;
    this.peers = peers;
    this.tracker = tracker;
    this.notices = notices;
  }

  /** Resets the number of reminders for a newer revision. */
  void onNewRevision() {
    peers.zonePeers().forEach(state -> state.reminders = 0);
  }

  /** Sends the reminders that are due, as far as the byte budget allows. */
  void tick(long nowNanos) {
    RevisionLog.Entry newest = log.newest().filter(RevisionLog.Entry::hasDocument).orElse(null);
    if (!tracker.isAggregator()
        || newest == null
        || nowNanos - log.newestSinceNanos() < FIRST_REMINDER_NANOS
        || notices.isCongested()) {
      return;
    }
    int left = REMINDERS_PER_TICK;
    for (PeerState state : peers.zonePeers()) {
      if (!isDue(nowNanos, state) || tracker.hasAcknowledged(state.peer.name(), newest)) {
        continue;
      }
      if (left-- == 0 || !notices.sendNewest(nowNanos, state.peer)) {
        return;
      }
      state.reminders++;
    }
  }

  private static boolean isDue(long nowNanos, PeerState state) {
    long pauseNanos = REPEAT_NANOS << Math.min(state.reminders, MAX_DOUBLINGS);
    return nowNanos - state.announcedAtNanos >= pauseNanos;
  }
}
