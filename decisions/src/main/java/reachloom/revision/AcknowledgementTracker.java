package reachloom.revision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import reachloom.revision.PeerTable.PeerState;
import reachloom.scheduler.state.TokenBucket;

/**
 * Tracks which members have a revision in force. Each member sends an acknowledgement to the
 * aggregators of its zone; these send the counts to the issuers after a change and at regular
 * intervals; an issuer keeps the counts. Times are nanoseconds of the clock that the caller passes
 * in; confined to the thread of {@link RevisionDissemination}.
 */
final class AcknowledgementTracker {
  /** Interval of reports without a change. */
  static final long REPORT_INTERVAL_NANOS = 2_000_000_000;

  /** Minimum interval of reports after changes. */
  private static final long CHANGE_INTERVAL_NANOS = 250_000_000;

  /** Limit for acknowledgements in response to reminders. */
  private static final int ACKNOWLEDGEMENTS_PER_SECOND = 4;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final DisseminationMember self;
  private final RevisionLog log;
  private final PeerTable peers;
  private final RevisionActivation activation;
  private final PeerMessenger messenger;
  private final AcknowledgementAggregator aggregator = new AcknowledgementAggregator();
  private final AcknowledgementSummary summary = new AcknowledgementSummary();
  private final TokenBucket repeats =
      new TokenBucket(ACKNOWLEDGEMENTS_PER_SECOND, ACKNOWLEDGEMENTS_PER_SECOND);

  /** Aggregators to which an acknowledgement is still to be sent. */
  private final Set<String> pendingAcknowledgements = new TreeSet<>();

  /** Issuers to which the counts of the zone are still to be sent, if this is an aggregator. */
  private final Set<String> pendingReports = new TreeSet<>();

  private List<String> aggregators = List.of();
  private List<String> zoneMembers = List.of(); // sorted; includes this one unless it is an issuer
  private boolean countsChanged;
  private long nextChangeReportAtNanos;
  private long nextReportAtNanos;

  AcknowledgementTracker(
      RevisionLog log,
      PeerTable peers,
      RevisionActivation activation,
      PeerMessenger messenger,
      long firstReportAtNanos) {
    self = peers.self();
    this.log = log;
    this.peers = peers;
    this.activation = activation;
    this.messenger = messenger;
    nextReportAtNanos = firstReportAtNanos;
  }

  /** Repeats the election of aggregators if the members of the zone have changed. */
  void onPeersChanged() {
    Set<String> present = new TreeSet<>();
    peers.zonePeers().forEach(state -> present.add(state.peer.name()));
    if (!self.isIssuer()) {
      present.add(self.name());
    }
    List<String> members = List.copyOf(present);
    if (members.equals(zoneMembers)) {
      return;
    }
    zoneMembers = members;
    aggregator.retainOnly(present);
    List<String> before = aggregators;
    aggregators = AggregatorElection.elect(self.place(), members);
    aggregators.stream()
        .filter(name -> !before.contains(name))
        .forEach(pendingAcknowledgements::add);
    pendingAcknowledgements.retainAll(aggregators);
    if (isAggregator() && !before.contains(self.name())) {
      pendingReports.clear();
      recordSelf();
    }
    countsChanged = true;
  }

  /** Returns whether this member aggregates for its zone. */
  boolean isAggregator() {
    return !self.isIssuer() && aggregators.contains(self.name());
  }

  /** Returns the number of members of the own zone, including this one unless it is an issuer. */
  int zoneSize() {
    return zoneMembers.size();
  }

  /** Handles a newer revision, which changes the counts. */
  void onNewRevision() {
    countsChanged = true;
  }

  /** Records the outcome of a revision at this member, and schedules its acknowledgement. */
  void onActivationEnded() {
    recordSelf();
    pendingAcknowledgements.addAll(aggregators);
    pendingAcknowledgements.remove(self.name());
  }

  private void recordSelf() {
    RevisionMessage.Acknowledgement own = activation.acknowledgement();
    countsChanged |= aggregator.record(self.name(), own.number(), own.fingerprint(), own.refusal());
  }

  /** Records the revision in force at the sender of a packet. */
  void onHave(Peer sender, RevisionMessage.Have have) {
    if (peers.isInZone(sender)) {
      countsChanged |= aggregator.recordInForce(sender.name(), have.inForce(), have.fingerprint());
    }
  }

  void onAcknowledgement(Peer sender, RevisionMessage.Acknowledgement acknowledgement) {
    if (peers.isInZone(sender)) {
      countsChanged |=
          aggregator.record(
              sender.name(),
              acknowledgement.number(),
              acknowledgement.fingerprint(),
              acknowledgement.refusal());
    }
  }

  /** Repeats the acknowledgement for a member of the zone that has announced a revision again. */
  void acknowledgeAgain(long nowNanos, Peer sender) {
    if (peers.isInZone(sender) && repeats.take(nowNanos)) {
      messenger.send(nowNanos, sender, activation.acknowledgement());
    }
  }

  /** Returns whether that member has acknowledged a revision as in force or rejected. */
  boolean hasAcknowledged(String member, RevisionLog.Entry revision) {
    return aggregator.isInForceAt(member, revision) || aggregator.isRejectedAt(member, revision);
  }

  /**
   * Records, at an issuer, the counts of an aggregator if their revision is known.
   *
   * @return whether the sender may aggregate for the place of the counts
   */
  boolean onCensus(long nowNanos, Peer sender, RevisionMessage.Census census) {
    if (!isAuthorized(sender, census)) {
      return false;
    }
    if (census.number() <= log.newestNumber()) {
      summary.record(nowNanos, sender.name(), census);
    }
    return true;
  }

  private boolean isAuthorized(Peer sender, RevisionMessage.Census census) {
    if (!self.isIssuer() || sender.place() != census.place() || peers.isIssuer(sender.name())) {
      return false;
    }
    Set<String> present = new TreeSet<>(Set.of(sender.name()));
    peers
        .peersByPlace()
        .getOrDefault(census.place(), List.of())
        .forEach(state -> present.add(state.peer.name()));
    return AggregatorElection.isCandidate(census.place(), present, sender.name());
  }

  /** Schedules a report to the issuers after a change or at the regular interval. */
  void tick(long nowNanos) {
    boolean due =
        countsChanged && nowNanos >= nextChangeReportAtNanos || nowNanos >= nextReportAtNanos;
    if (isAggregator() && due) {
      countsChanged = false;
      nextChangeReportAtNanos = nowNanos + CHANGE_INTERVAL_NANOS;
      nextReportAtNanos = nowNanos + REPORT_INTERVAL_NANOS;
      self.issuers().forEach(issuer -> pendingReports.add(issuer.name()));
    }
  }

  /** Sends the pending acknowledgements that the byte budget allows. */
  void flushAcknowledgements(long nowNanos) {
    for (String name : List.copyOf(pendingAcknowledgements)) {
      Optional<PeerState> state = peers.find(name);
      if (state.isEmpty()
          || activation.isInitial()
          || messenger.send(nowNanos, state.get().peer, activation.acknowledgement())) {
        pendingAcknowledgements.remove(name);
      }
    }
  }

  /** Sends the pending reports to the issuers, as far as the byte budget allows. */
  void flushReports(long nowNanos) {
    if (pendingReports.isEmpty()) {
      return;
    }
    RevisionMessage.Census census = census(nowNanos);
    self.issuers().stream()
        .filter(issuer -> pendingReports.contains(issuer.name()))
        .filter(issuer -> messenger.send(nowNanos, issuer, census))
        .forEach(issuer -> pendingReports.remove(issuer.name()));
  }

  private RevisionMessage.Census census(long nowNanos) {
    return log.newest()
        .map(
            newest ->
                aggregator.summarize(
                    self.place(),
                    newest,
                    zoneMembers,
                    (nowNanos - log.newestSinceNanos()) / NANOS_PER_MILLI))
        .orElseGet(
            () ->
                new RevisionMessage.Census(
                    self.place(), 0, zoneMembers.size(), 0, 0, List.of(), 0));
  }

  /** Returns, at an issuer, the counts that the aggregators have sent. */
  AcknowledgementSummary summary() {
    return summary;
  }
}
