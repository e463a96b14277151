package reachloom.revision;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import reachloom.revision.PeerBackoff.Misbehaviour;

/**
 * The anti-entropy part of epidemic dissemination. Each packet carries the number of the newest
 * revision that its sender holds; a receiver that is behind requests the newest notice, and a
 * receiver that is ahead sends it. Issuers exchange their state at regular intervals. A member that
 * may have missed several revisions does not wait for such a packet, but uses {@link
 * NewestRevisionQuery}.
 *
 * <p>Times are nanoseconds of the clock that the caller passes in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class RevisionAntiEntropy {
  /** Time for a zone to notify its own members, before an issuer notifies those behind. */
  private static final long ZONE_GRACE_NANOS = 1_000_000_000;

  /** Time before an issuer notifies an aggregator that is behind. */
  private static final long AGGREGATOR_GRACE_NANOS =
      EagerPush.ISSUE_ROUNDS * EagerPush.ROUND_INTERVAL_NANOS;

  private static final int MAX_PENDING_QUERIES = 8;

  /** Time limit for the answer to a query for the newest revision. */
  private static final long ANSWER_TIMEOUT_NANOS = 1_500_000_000;

  /** Requests the newest notice. */
  static final RevisionMessage.Want WANT_NEWEST = new RevisionMessage.Want(0, 0, 0, 0);

  /** A query to a peer that claims to know that revision number. */
  private record PendingQuery(long claimedNumber, long answerDueAtNanos) {}

  private final DisseminationMember self;
  private final RevisionLog log;
  private final PeerTable peers;
  private final PeerMessenger messenger;
  private final NoticeSender notices;

  /** By name of the peer. */
  private final TreeMap<String, PendingQuery> pendingQueries = new TreeMap<>();

  private long nextExchangeAtNanos;

  RevisionAntiEntropy(
      RevisionLog log,
      PeerTable peers,
      PeerMessenger messenger,
      NoticeSender notices,
      long firstExchangeAtNanos) {
    self = peers.self();
    this.log = log;
    this.peers = peers;
    this.messenger = messenger;
    this.notices = notices;
    nextExchangeAtNanos = firstExchangeAtNanos;
  }

  /** Compares the newest number at a packet's sender: notifies the sender, or sends a query. */
  void onHave(long nowNanos, Peer sender, RevisionMessage.Have have) {
    if (have.known() > log.newestNumber()) {
      queryNewest(nowNanos, sender, have.known());
    } else if (have.known() < log.newestNumber()
        && !notices.isCongested()
        && (peers.isInZone(sender) || mayNotifyOtherZones(nowNanos))) {
      notices.enqueue(nowNanos, sender);
    }
  }

  private boolean mayNotifyOtherZones(long nowNanos) {
    return self.isIssuer() && nowNanos - log.newestSinceNanos() > ZONE_GRACE_NANOS;
  }

  /** Compares, at an issuer, the number of an aggregator's counts with the newest revision. */
  void onCensus(long nowNanos, Peer sender, RevisionMessage.Census census) {
    if (census.number() > log.newestNumber()) {
      queryNewest(nowNanos, sender, census.number());
    } else if (census.number() < log.newestNumber()
        && nowNanos - log.newestSinceNanos() > AGGREGATOR_GRACE_NANOS) {
      notices.enqueue(nowNanos, sender);
    }
  }

  /** Requests the proof of a newer revision that a peer claims to know; one query per peer. */
  private void queryNewest(long nowNanos, Peer peer, long claimedNumber) {
    if (!pendingQueries.containsKey(peer.name())
        && pendingQueries.size() < MAX_PENDING_QUERIES
        && !peers.backoff().isBackedOff(nowNanos, peer.name())
        && messenger.send(nowNanos, peer, WANT_NEWEST)) {
      pendingQueries.put(
          peer.name(), new PendingQuery(claimedNumber, nowNanos + ANSWER_TIMEOUT_NANOS));
    }
  }

  /** Handles a notice of a peer; returns the number that its pending query was for, if any. */
  OptionalLong onAnswer(Peer sender) {
    PendingQuery pendingQuery = pendingQueries.remove(sender.name());
    return pendingQuery == null
        ? OptionalLong.empty()
        : OptionalLong.of(pendingQuery.claimedNumber);
  }

  /** Drops the pending queries after a process pause: their peers are not penalized. */
  void onPause() {
    pendingQueries.clear();
  }

  /** Drops overdue queries and penalizes their peers. */
  void tick(long nowNanos) {
    for (Map.Entry<String, PendingQuery> entry : List.copyOf(pendingQueries.entrySet())) {
      PendingQuery pendingQuery = entry.getValue();
      if (nowNanos >= pendingQuery.answerDueAtNanos) {
        pendingQueries.remove(entry.getKey());
        peers
            .backoff()
            .penalize(
                nowNanos, entry.getKey(), Misbehaviour.UNPROVEN_CLAIM, pendingQuery.claimedNumber);
      }
    }
  }

  /**
   * Sends this issuer's state at regular intervals: to the other issuers, so that one that was cut
   * off learns what it missed; and to aggregators that have sent nothing for long, as they may not
   * know that this issuer has restarted and can't authenticate them.
   */
  void exchange(long nowNanos) {
    if (!self.isIssuer() || nowNanos < nextExchangeAtNanos) {
      return;
    }
    nextExchangeAtNanos = nowNanos + AcknowledgementTracker.REPORT_INTERVAL_NANOS;
    self.otherIssuers().forEach(issuer -> messenger.send(nowNanos, issuer, log.have()));
    peers
        .peersByPlace()
        .forEach(
            (place, members) -> {
              List<String> names = members.stream().map(state -> state.peer.name()).toList();
              AggregatorElection.elect(place, names).stream()
                  .flatMap(name -> peers.find(name).stream())
                  .filter(state -> isInactive(nowNanos, state))
                  .forEach(state -> messenger.send(nowNanos, state.peer, log.have()));
            });
  }

  private static boolean isInactive(long nowNanos, PeerTable.PeerState state) {
    return nowNanos - state.lastMessageAtNanos > 2 * AcknowledgementTracker.REPORT_INTERVAL_NANOS;
  }
}
