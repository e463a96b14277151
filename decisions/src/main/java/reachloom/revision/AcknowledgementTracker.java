package reachloom.revision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import reachloom.revision.PeerTable.PeerState;
import reachloom.scheduler.state.TokenBucket;

/**
 * Tells where revisions are in force. Each member acknowledges to the aggregators of its zone;
 * these send the sum to the issuers after a change and at regular intervals; an issuer keeps the
 * sums. Times are nanoseconds of the clock handed in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class AcknowledgementTracker {
  /** Between two sums that tell nothing new. */
  static final long REPORT_INTERVAL_NANOS = 2_000_000_000;

  /** Between two sums after a change. */
  private static final long CHANGE_INTERVAL_NANOS = 250_000_000;

  /** To those that ask for an acknowledgement by a reminder. */
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

  /** Aggregators that this member owes an acknowledgement. */
  private final Set<String> unacknowledged = new TreeSet<>();

  /** Issuers that are owed the sum of the zone, if this member is an aggregator. */
  private final Set<String> unreported = new TreeSet<>();

  private List<String> aggregators = List.of();
  private List<String> zoneMembers = List.of(); // in order, this one included unless an issuer
  private boolean changed;
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

  /** Elects the aggregators anew where the members of the zone have changed. */
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
    aggregators.stream().filter(name -> !before.contains(name)).forEach(unacknowledged::add);
    unacknowledged.retainAll(aggregators);
    if (isAggregator() && !before.contains(self.name())) {
      unreported.clear();
      recordSelf();
    }
    changed = true;
  }

  /** Whether this member aggregates for its zone. */
  boolean isAggregator() {
    return !self.isIssuer() && aggregators.contains(self.name());
  }

  /** The members of the own zone, this one included unless it is an issuer. */
  int zoneSize() {
    return zoneMembers.size();
  }

  /** There is a newer revision: the sums change with it. */
  void onNewRevision() {
    changed = true;
  }

  /** This member has put a revision in force, or rejected it. */
  void onActivationEnded() {
    recordSelf();
    unacknowledged.addAll(aggregators);
    unacknowledged.remove(self.name());
  }

  private void recordSelf() {
    RevisionMessage.Acknowledgement own = activation.acknowledgement();
    changed |= aggregator.record(self.name(), own.number(), own.fingerprint(), own.refusal());
  }

  /** A packet tells what its sender has in force. */
  void onHave(Peer sender, RevisionMessage.Have have) {
    if (peers.isInZone(sender)) {
      changed |= aggregator.recordInForce(sender.name(), have.inForce(), have.fingerprint());
    }
  }

  void onAcknowledgement(Peer sender, RevisionMessage.Acknowledgement told) {
    if (peers.isInZone(sender)) {
      changed |= aggregator.record(sender.name(), told.number(), told.fingerprint(), told.refusal());
    }
  }

  /**
   * A member of the zone has announced a revision that is in force here: it wants to be told so.
   */
  void acknowledgeAgain(long nowNanos, Peer sender) {
    if (peers.isInZone(sender) && repeats.take(nowNanos)) {
      messenger.send(nowNanos, sender, activation.acknowledgement());
    }
  }

  /** Whether that member of the zone has acknowledged a revision, in force or rejected. */
  boolean hasAcknowledged(String member, RevisionLog.Entry revision) {
    return aggregator.isInForceAt(member, revision) || aggregator.isRejectedAt(member, revision);
  }

  /**
   * At an issuer: takes in the sum that an aggregator sent, if the revision is known here.
   *
   * @return whether the sender may aggregate for the place of the sum
   */
  boolean onSum(long nowNanos, Peer sender, RevisionMessage.Census sum) {
    if (!isAccepted(sender, sum)) {
      return false;
    }
    if (sum.number() <= log.newestNumber()) {
      summary.record(nowNanos, sender.name(), sum);
    }
    return true;
  }

  private boolean isAccepted(Peer sender, RevisionMessage.Census sum) {
    if (!self.isIssuer() || sender.place() != sum.place() || peers.isIssuer(sender.name())) {
      return false;
    }
    Set<String> present = new TreeSet<>(Set.of(sender.name()));
    peers
        .peersByPlace()
        .getOrDefault(sum.place(), List.of())
        .forEach(state -> present.add(state.peer.name()));
    return AggregatorElection.isCandidate(sum.place(), present, sender.name());
  }

  /** Makes the sum due at the issuers, after a change or at the regular interval. */
  void tick(long nowNanos) {
    boolean due = changed && nowNanos >= nextChangeReportAtNanos || nowNanos >= nextReportAtNanos;
    if (isAggregator() && due) {
      changed = false;
      nextChangeReportAtNanos = nowNanos + CHANGE_INTERVAL_NANOS;
      nextReportAtNanos = nowNanos + REPORT_INTERVAL_NANOS;
      self.issuers().forEach(issuer -> unreported.add(issuer.name()));
    }
  }

  /** Sends the acknowledgements that are due, as far as the budget allows. */
  void flushAcknowledgements(long nowNanos) {
    for (String name : List.copyOf(unacknowledged)) {
      Optional<PeerState> state = peers.find(name);
      if (state.isEmpty()
          || activation.isUntouched()
          || messenger.send(nowNanos, state.get().peer, activation.acknowledgement())) {
        unacknowledged.remove(name);
      }
    }
  }

  /** Sends the sum to the issuers that are owed it, as far as the budget allows. */
  void flushReports(long nowNanos) {
    if (unreported.isEmpty()) {
      return;
    }
    RevisionMessage.Census sum = sum(nowNanos);
    self.issuers().stream()
        .filter(issuer -> unreported.contains(issuer.name()))
        .filter(issuer -> messenger.send(nowNanos, issuer, sum))
        .forEach(issuer -> unreported.remove(issuer.name()));
  }

  private RevisionMessage.Census sum(long nowNanos) {
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

  /** At an issuer: the sums that the aggregators sent. */
  AcknowledgementSummary summary() {
    return summary;
  }
}
