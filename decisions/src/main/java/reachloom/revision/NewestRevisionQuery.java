package reachloom.revision;

import java.util.SplittableRandom;

/**
 * Queries for the newest revision when a member starts without state or resumes after a process
 * pause: requests go to a random member of its zone and to a random issuer, at growing intervals,
 * until a newer revision is known. A member that knew a revision before a pause sends two queries
 * at most. Times are nanoseconds of the clock that the caller passes in; confined to the thread of
 * {@link RevisionDissemination}.
 */
final class NewestRevisionQuery {
  /** Mean interval after the first query; it doubles with each query. */
  static final long INTERVAL_NANOS = 500_000_000;

  private static final int MAX_DOUBLINGS = 4;
  private static final int QUERIES_AFTER_PAUSE = 2;

  /** One in this many starting members queries an issuer first, the others only their zone. */
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

  /** Stops the queries: a newer revision is known. */
  void onNewRevision() {
    queriesLeft = 0;
  }

  /** Restarts the queries after a process pause: newer revisions may have been missed. */
  void onPause(long nowNanos) {
    queries = 1;
    queriesLeft = Math.max(queriesLeft, QUERIES_AFTER_PAUSE);
    nextQueryAtNanos = nowNanos;
  }

  /** Sends the queries that are due. */
  void tick(long nowNanos) {
    if (queriesLeft <= 0 || nowNanos < nextQueryAtNanos) {
      return;
    }
    peers
        .sample(
            peers.zonePeers(),
            1,
            state -> !peers.backoff().isBackedOff(nowNanos, state.peer.name()))
        .forEach(state -> query(nowNanos, state.peer));
    if (shouldQueryIssuer()) {
      peers.randomIssuer(nowNanos).ifPresent(issuer -> query(nowNanos, issuer));
    }
    queriesLeft--;
    long meanNanos = INTERVAL_NANOS << Math.min(queries++, MAX_DOUBLINGS);
    nextQueryAtNanos = nowNanos + meanNanos / 2 + random.nextLong(meanNanos);
  }

  /** Limits the load of issuers if all members start at once: few of them query issuers first. */
  private boolean shouldQueryIssuer() {
    return queries > 0
        || tracker.isAggregator() && tracker.zoneSize() > 1
        || random.nextInt(FIRST_QUERY_TO_ISSUER) == 0;
  }

  private void query(long nowNanos, Peer peer) {
    messenger.send(nowNanos, peer, RevisionAntiEntropy.WANT_NEWEST);
  }
}
