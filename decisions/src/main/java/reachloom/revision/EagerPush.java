package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import reachloom.revision.PeerTable.PeerState;

/**
 * The push part of epidemic dissemination (rumor mongering): a member that has received the
 * document of the newest revision announces it in a few rounds to random members that are not known
 * to hold it. A member announces to its own zone, an issuer to one member of each place per round.
 * {@link RevisionAntiEntropy} and {@link AcknowledgementReminder} cover the members that this
 * misses.
 *
 * <p>Times are nanoseconds of the clock that the caller passes in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class EagerPush {
  /** Number of rounds of an issuer for a revision that its consensus node has added. */
  static final int ISSUE_ROUNDS = 3;

  /** Number of rounds of an issuer for a revision that it has received from another member. */
  static final int RELAY_ROUNDS = 1;

  /** Interval of rounds: long enough to learn of some members that received it from others. */
  static final long ROUND_INTERVAL_NANOS = 100_000_000;

  /** Number of members of the own zone that are notified per round. */
  private static final int FANOUT = 3;

  /** Number of rounds of a member; with a fanout of 3 they miss one member in 400. */
  private static final int ROUNDS = 2;

  private final boolean issuer;
  private final RevisionLog log;
  private final PeerTable peers;
  private final NoticeSender notices;
  private final Deque<PeerState> targets = new ArrayDeque<>(); // of the current round
  private int roundsLeft;
  private long nextRoundAtNanos;

  EagerPush(boolean issuer, RevisionLog log, PeerTable peers, NoticeSender notices) {
    this.issuer = issuer;
    this.log = log;
    this.peers = peers;
    this.notices = notices;
  }

  /** Stops the push: there is a newer revision, whose document is not held yet. */
  void stop() {
    targets.clear();
    roundsLeft = 0;
  }

  /** Starts to push the newest revision; an issuer runs {@code issuerRounds} rounds. */
  void start(long nowNanos, int issuerRounds) {
    // A large document is announced to one member at a time, to limit the pending transfers.
    int memberRounds = notices.isInline() ? ROUNDS : ROUNDS * FANOUT;
    roundsLeft = issuer ? issuerRounds : memberRounds;
    nextRoundAtNanos = nowNanos;
  }

  /** Selects random targets if the next round is due. */
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

  /** Announces the newest revision to the targets, as far as the byte budget allows. */
  void flush(long nowNanos) {
    while (!targets.isEmpty() && announceTo(nowNanos, targets.peek())) {
      targets.poll();
    }
  }

  private boolean announceTo(long nowNanos, PeerState target) {
    return target.knownNumber >= log.newestNumber() || notices.sendNewest(nowNanos, target.peer);
  }
}
