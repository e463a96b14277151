package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import reachloom.revision.PeerTable.PeerState;

/**
 * The eager part of epidemic dissemination (rumour mongering): who has got the document of the
 * newest revision announces it to a few random members that are not known to hold it, in a few
 * rounds. A member announces to its own zone, an issuer to one member of each place a round. Whom
 * this misses is left to {@link RevisionAntiEntropy} and {@link AcknowledgementReminder}.
 *
 * <p>Times are nanoseconds of the clock handed in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class EagerPush {
  /** Rounds of an issuer with a revision that it has issued itself. */
  static final int ISSUE_ROUNDS = 3;

  /** Rounds of an issuer with a revision that another one has issued. */
  static final int RELAY_ROUNDS = 1;

  /** Between two rounds: long enough to hear from some who have got it from others. */
  static final long ROUND_INTERVAL_NANOS = 100_000_000;

  /** Members of the own zone that are told in a round. */
  private static final int FANOUT = 3;

  /** With three members each, one of 400 is told by nobody. */
  private static final int ROUNDS = 2;

  private final boolean issuer;
  private final RevisionLog log;
  private final PeerTable peers;
  private final NoticeSender notices;
  private final Deque<PeerState> targets = new ArrayDeque<>(); // of the present round
  private int roundsLeft;
  private long nextRoundAtNanos;

  EagerPush(boolean issuer, RevisionLog log, PeerTable peers, NoticeSender notices) {
    this.issuer = issuer;
    this.log = log;
    this.peers = peers;
    this.notices = notices;
  }

  /** Pushes nothing any more: there is a newer revision, whose document is not held yet. */
  void stop() {
    targets.clear();
    roundsLeft = 0;
  }

  /** Pushes the newest, whose document is held, from now on; {@code issuerRounds} if an issuer. */
  void start(long nowNanos, int issuerRounds) {
    // A large document is announced to one member at a time, so that few wait for it here.
    int memberRounds = notices.isInline() ? ROUNDS : ROUNDS * FANOUT;
    roundsLeft = issuer ? issuerRounds : memberRounds;
    nextRoundAtNanos = nowNanos;
  }

  /** Draws the targets of the next round where it is due. */
  void tick(long nowNanos) {
    if (roundsLeft <= 0
        || nowNanos < nextRoundAtNanos
        || !targets.isEmpty()
        || notices.isCongested()) {
      return;
    }
    roundsLeft--;
    nextRoundAtNanos = nowNanos + ROUND_INTERVAL_NANOS;
    long newest = log.newestNumber();
    Predicate<PeerState> lacksIt =
        state -> state.knownNumber < newest && state.announcedNumber < newest;
    if (issuer) {
      peers
          .peersByPlace()
          .values()
          .forEach(ofPlace -> targets.addAll(peers.sample(ofPlace, 1, lacksIt)));
    } else {
      int fanout = notices.isInline() ? FANOUT : 1;
      targets.addAll(peers.sample(peers.zonePeers(), fanout, lacksIt));
    }
  }

  /** Announces the newest to the targets, as far as the budget allows. */
  void flush(long nowNanos) {
    while (!targets.isEmpty() && isServed(nowNanos, targets.peek())) {
      targets.poll();
    }
  }

  private boolean isServed(long nowNanos, PeerState target) {
    return target.knownNumber >= log.newestNumber() || notices.sendNewest(nowNanos, target.peer);
  }
}
