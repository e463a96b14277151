package reachloom.revision;

import java.util.SplittableRandom;

/**
 * A member that starts with nothing, or has stood still, asks members at random for the newest
 * revision until it knows one: one of its zone, and an issuer. Pauses grow. Times are nanoseconds
 * of the clock handed in; confined to the thread of {@link RevisionDissemination}.
 */
final class NewestRevisionQuery {
  /** The first pause between two queries, on average; it doubles. */
  static final long INTERVAL_NANOS = 500_000_000;

  private static final int MAX_DOUBLINGS = 4;
  private static final int QUERIES_AFTER_STANDSTILL = 2;

  /** One of so many that start with nothing asks an issuer at once, the others their zone. */
  private static final int FIRST_QUERY_TO_ISSUER = 8;

  private final PeerTable peers;
  private final PeerMessenger messenger;
  private final AcknowledgementTracker tracker;
  private final SplittableRandom random;
  private int queries;
  private int queriesLeft = Integer.MAX_VALUE;
  private long nextQueryAtNanos;

  NewestRevisionQuery(
      PeerTable peers,
      PeerMessenger messenger,
      AcknowledgementTracker tracker,
      SplittableRandom random,
      long firstQueryAtNanos) {
    this.peers = peers;
    this.messenger = messenger;
    this.tracker = tracker;
    this.random = random;
    nextQueryAtNanos = firstQueryAtNanos;
  }

  /** A newer revision is known: there is nothing to look for. */
  void onNewRevision() {
    queriesLeft = 0;
  }

  /** This process has stood still: newer revisions may have been missed. */
  void onStandstill(long nowNanos) {
    queries = 1;
    queriesLeft = Math.max(queriesLeft, QUERIES_AFTER_STANDSTILL);
    nextQueryAtNanos = nowNanos;
  }

  /** Asks, where that is due. */
  void tick(long nowNanos) {
    if (queriesLeft <= 0 || nowNanos < nextQueryAtNanos) {
      return;
    }
    peers
        .sample(
            peers.zonePeers(),
            1,
            state -> !peers.backoff().isBackedOff(nowNanos, state.peer.name()))
        .forEach(state -> ask(nowNanos, state.peer));
    if (asksIssuer()) {
      peers.randomIssuer(nowNanos).ifPresent(issuer -> ask(nowNanos, issuer));
    }
    queriesLeft--;
    long meanNanos = INTERVAL_NANOS << Math.min(queries++, MAX_DOUBLINGS);
    nextQueryAtNanos = nowNanos + meanNanos / 2 + random.nextLong(meanNanos);
  }

  /** Where all start at once, a few ask the issuers at first, and the others their zone. */
  private boolean asksIssuer() {
    return queries > 0
        || tracker.isAggregator() && tracker.zoneSize() > 1
        || random.nextInt(FIRST_QUERY_TO_ISSUER) == 0;
  }

  private void ask(long nowNanos, Peer peer) {
    messenger.send(nowNanos, peer, RevisionAntiEntropy.WANT_NEWEST);
  }
}
