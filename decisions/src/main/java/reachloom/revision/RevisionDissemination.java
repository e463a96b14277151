package reachloom.revision;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import reachloom.revision.PeerBackoff.Misbehaviour;
import reachloom.revision.RevisionLog.Classification;

/**
 * Spreads revisions of the configuration to all members by epidemic dissemination: this member's
 * part of it. It hears of a revision, checks its proof, fetches its document, has the host put it
 * in force, announces it to others, and tells where it is in force. At an issuer, the consensus
 * node hands in what was decided. This class passes events on; the rules are in the parts:
 *
 * <ul>
 *   <li>{@link EagerPush} announces a revision when its document has come;
 *   <li>{@link RevisionAntiEntropy} finds out who is behind, and asks, or tells; {@link
 *       NewestRevisionQuery} asks where this member starts with nothing;
 *   <li>{@link RevisionFetcher} gets documents, and {@link ChunkServer} gives them;
 *   <li>{@link RevisionActivation} has the host put them in force;
 *   <li>{@link AcknowledgementTracker} counts where they are, and {@link AcknowledgementReminder}
 *       reminds the members that lack one.
 * </ul>
 *
 * <p>Pure: no I/O; times are nanoseconds of the clock handed in; the same events and the same seed
 * give the same messages. All calls come from one thread, which the parts are confined to.
 */
public final class RevisionDissemination implements RevisionRepository {
  /** What puts a revision in force at this member. */
  public interface Host {
    /**
     * Puts a revision in force, in its own time; {@link RevisionDissemination#onInForce} or {@link
     * RevisionDissemination#onRejected} tells how it ended, also from within this call. The next is
     * handed over only then.
     */
    void apply(long nowNanos, Revision revision, byte[] document);

    /** Something that an operator has to know, once each time that it comes up. */
    void alarm(long nowNanos, String message);
  }

  /** Between two ticks: more is a standstill of this process. */
  private static final long STANDSTILL_NANOS = 1_000_000_000;

  private final DisseminationMember self;
  private final Host host;
  private final RevisionMessageSender sender;
  private final RevisionLog log = new RevisionLog();
  private final TransferQueue transfers = new TransferQueue();
  private final ProposalCache proposals = new ProposalCache();
  private final PeerTable peers;
  private final RevisionVerifier verifier;
  private final RevisionActivation activation;
  private final RevisionFetcher fetcher;
  private final NoticeSender notices;
  private final ChunkServer chunkServer;
  private final EagerPush push;
  private final AcknowledgementTracker tracker;
  private final AcknowledgementReminder reminder;
  private final RevisionAntiEntropy antiEntropy;
  private final NewestRevisionQuery query;
  private final DisseminationStatus status;
  private long lastTickNanos;

  /** A member that starts with nothing. */
  public RevisionDissemination(
      DisseminationMember self,
      SplittableRandom random,
      RevisionMessageSender sender,
      Host host,
      long nowNanos) {
    this.self = self;
    this.host = host;
    this.sender = sender;
    lastTickNanos = nowNanos;
    // Members that start together do not all ask and report together. The order of draws is fixed.
    long firstQueryAtNanos = nowNanos + random.nextLong(NewestRevisionQuery.INTERVAL_NANOS);
    long firstReportAtNanos =
        nowNanos + random.nextLong(AcknowledgementTracker.REPORT_INTERVAL_NANOS);
    PeerMessenger messenger = new PeerMessenger(sender);
    peers = new PeerTable(self, random);
    verifier = new RevisionVerifier(self);
    activation = new RevisionActivation(log, host);
    fetcher = new RevisionFetcher(log, peers, proposals, sender, random);
    notices = new NoticeSender(log, peers, messenger, transfers);
    chunkServer = new ChunkServer(log, peers, proposals, transfers, notices);
    push = new EagerPush(self.isIssuer(), log, peers, notices);
    tracker = new AcknowledgementTracker(log, peers, activation, messenger, firstReportAtNanos);
    reminder = new AcknowledgementReminder(log, peers, tracker, notices);
    antiEntropy = new RevisionAntiEntropy(log, peers, messenger, notices, firstReportAtNanos);
    query = new NewestRevisionQuery(peers, messenger, tracker, random, firstQueryAtNanos);
    status = new DisseminationStatus(log, peers, activation, fetcher, tracker);
    setPeers(List.of());
  }

  /**
   * Replaces the members that are present, without this one; to be called when they have changed,
   * at most once a tick.
   */
  public void setPeers(Collection<Peer> present) {
    peers.setPresent(present);
    tracker.onPeersChanged();
  }

  /** What rides on each packet of this member. */
  public RevisionMessage.Have have() {
    return log.have();
  }

  // ---- Messages ----

  /**
   * Takes messages from a member whose identity is proved. Those of the consensus among issuers are
   * ignored here; they are for the consensus node.
   */
  public void receive(long nowNanos, Peer from, List<RevisionMessage> messages) {
    if (from.name().equals(self.name())) {
      return;
    }
    peers.onHeard(nowNanos, from);
    boolean distrusted = peers.backoff().isDistrusted(nowNanos, from.name());
    for (RevisionMessage message : messages) {
      dispatch(nowNanos, from, message, distrusted);
    }
    step(nowNanos);
  }

  private void dispatch(long nowNanos, Peer from, RevisionMessage message, boolean distrusted) {
    if (message instanceof RevisionMessage.Have have) {
      onHave(nowNanos, from, have);
    } else if (message instanceof RevisionMessage.Notice notice && !distrusted) {
      onNotice(nowNanos, from, notice);
    } else if (message instanceof RevisionMessage.Want request) {
      chunkServer.onRequest(nowNanos, from, request);
    } else if (message instanceof RevisionMessage.Chunk chunk && !distrusted) {
      onChunk(nowNanos, from, chunk);
    } else if (message instanceof RevisionMessage.Acknowledgement acknowledgement) {
      tracker.onAcknowledgement(from, acknowledgement);
    } else if (message instanceof RevisionMessage.Census sum) {
      onSum(nowNanos, from, sum);
    }
  }

  private void onHave(long nowNanos, Peer from, RevisionMessage.Have have) {
    peers.onHave(from, have);
    tracker.onHave(from, have);
    if (have.known() == log.newestNumber()) {
      fetcher.addSource(from);
    }
    antiEntropy.onHave(nowNanos, from, have);
  }

  private void onSum(long nowNanos, Peer from, RevisionMessage.Census sum) {
    if (tracker.onSum(nowNanos, from, sum)) {
      antiEntropy.onSum(nowNanos, from, sum);
    }
  }

  private void onNotice(long nowNanos, Peer from, RevisionMessage.Notice notice) {
    Revision revision = notice.revision();
    if (!RevisionVerifier.isWellFormed(revision, notice.votes())) {
      peers.backoff().penalize(nowNanos, from.name(), Misbehaviour.INVALID_DATA, 0);
      return;
    }
    OptionalLong claimed = antiEntropy.onAnswer(from);
    Classification classification = log.classify(revision);
    switch (classification) {
      case KNOWN -> onKnownAnnounced(nowNanos, from, revision);
      case OLDER -> notices.enqueue(nowNanos, from);
      case NEWER, FORK -> {
        if (!verifier.tryAcquire(nowNanos)) {
          return; // it will be announced again
        }
        if (!verifier.isProved(revision, notice.votes())) {
          peers.backoff().penalize(nowNanos, from.name(), Misbehaviour.INVALID_DATA, 0);
          return;
        }
        onProved(nowNanos, from, notice, classification);
      }
    }
    if (claimed.isPresent() && claimed.getAsLong() > log.newestNumber()) {
      peers
          .backoff()
          .penalize(nowNanos, from.name(), Misbehaviour.UNPROVEN_CLAIM, claimed.getAsLong());
    } else {
      peers.backoff().forgive(from.name(), revision.number());
    }
  }

  private void onProved(
      long nowNanos, Peer from, RevisionMessage.Notice notice, Classification classification) {
    if (classification == Classification.FORK) {
      onFork(nowNanos, notice.revision());
    } else {
      learn(nowNanos, notice.revision(), notice.votes(), null, EagerPush.RELAY_ROUNDS);
      fetcher.addSource(from);
    }
  }

  /**
   * Who announces a revision has its document; an aggregator also wants to be told of this member.
   */
  private void onKnownAnnounced(long nowNanos, Peer from, Revision revision) {
    peers.onAnnounced(from, revision.number());
    fetcher.onAnnounced(nowNanos, from, revision);
    if (activation.isDone(revision.number())) {
      tracker.acknowledgeAgain(nowNanos, from);
    }
  }

  private void onFork(long nowNanos, Revision revision) {
    if (log.addFork(revision)) {
      host.alarm(
          nowNanos,
          "two revisions are proved that can't both be: number "
              + revision.number()
              + " by "
              + revision.issuer()
              + " is not taken");
    }
  }

  private void onChunk(long nowNanos, Peer from, RevisionMessage.Chunk chunk) {
    fetcher
        .onChunk(nowNanos, from, chunk)
        .ifPresent(
            document -> {
              log.addDocument(chunk.number(), document);
              onDocumentHeld(nowNanos, EagerPush.RELAY_ROUNDS);
            });
    fetcher.onProposalChunk(nowNanos, from, chunk);
  }

  /** A newer revision is proved; {@code document} is null where it is not at hand. */
  private void learn(
      long nowNanos, Revision revision, List<Vote> votes, byte[] document, int issuerRounds) {
    byte[] held =
        document != null
            ? document
            : proposals.document(revision.number(), revision.fingerprint()).orElse(null);
    log.add(nowNanos, revision, votes, held);
    query.onNewRevision();
    push.stop();
    reminder.onNewRevision();
    tracker.onNewRevision();
    if (held == null) {
      fetcher.start(nowNanos, revision);
    } else {
      onDocumentHeld(nowNanos, issuerRounds);
    }
  }

  /** The document of the newest is held: it goes on to others, and to the host. */
  private void onDocumentHeld(long nowNanos, int issuerRounds) {
    fetcher.stop();
    push.start(nowNanos, issuerRounds);
    activation.offerNewest(nowNanos);
  }

  // ---- The clock ----

  /** Does what is due by the clock; to be called each 50 to 100 ms. */
  public void tick(long nowNanos) {
    long gapNanos = nowNanos - lastTickNanos;
    lastTickNanos = nowNanos;
    if (gapNanos > STANDSTILL_NANOS) {
      onStandstill(nowNanos, gapNanos);
    }
    activation.checkOverdue(nowNanos);
    antiEntropy.tick(nowNanos);
    query.tick(nowNanos);
    push.tick(nowNanos);
    reminder.tick(nowNanos);
    tracker.tick(nowNanos);
    antiEntropy.exchange(nowNanos);
    step(nowNanos);
  }

  /** This process has stood still for so long: no peer is to blame for what did not come. */
  private void onStandstill(long nowNanos, long gapNanos) {
    peers.backoff().shift(gapNanos);
    fetcher.shift(gapNanos);
    antiEntropy.onStandstill();
    query.onStandstill(nowNanos);
  }

  /** Sends what is due as far as the budget of the second allows: small messages come first. */
  private void step(long nowNanos) {
    tracker.flushAcknowledgements(nowNanos);
    fetcher.step(nowNanos);
    notices.flush(nowNanos);
    push.flush(nowNanos);
    tracker.flushReports(nowNanos);
    transfers.tick(nowNanos, sender);
  }

  // ---- The host ----

  /** The host has that revision in force. */
  public void onInForce(long nowNanos, long number) {
    if (activation.onInForce(number)) {
      onActivationEnded(nowNanos);
    }
  }

  /** The host can't put that revision in force; the one before stays. */
  public void onRejected(long nowNanos, long number, String reason) {
    if (activation.onRejected(number, reason)) {
      onActivationEnded(nowNanos);
    }
  }

  private void onActivationEnded(long nowNanos) {
    tracker.onActivationEnded();
    activation.offerNewest(nowNanos);
  }

  // ---- The consensus node of an issuer ----

  @Override
  public void addChosen(long nowNanos, Revision revision, List<Vote> votes, byte[] document) {
    if (!RevisionVerifier.isWellFormed(revision, votes) || !revision.describes(document)) {
      host.alarm(nowNanos, notIssued(revision, document));
      return;
    }
    Classification classification = log.classify(revision);
    if (classification == Classification.FORK) {
      onFork(nowNanos, revision);
    } else if (classification == Classification.NEWER) {
      learn(nowNanos, revision, votes, document, EagerPush.ISSUE_ROUNDS);
      self.otherIssuers().forEach(notices::enqueueAlways);
    } else if (fetcher.isFetching(revision)) {
      log.addDocument(revision.number(), document);
      onDocumentHeld(nowNanos, EagerPush.ISSUE_ROUNDS);
    }
    step(nowNanos);
  }

  private static String notIssued(Revision revision, byte[] document) {
    return "revision "
        + revision.number()
        + " is not issued: its document has "
        + document.length
        + " bytes, of "
        + Revision.MAX_DOCUMENT_BYTES
        + " at most, or is not the one that it names";
  }

  @Override
  public Optional<RevisionMessage.Notice> newest() {
    return log.newest().map(RevisionLog.Entry::notice);
  }

  @Override
  public Optional<byte[]> document(Revision revision) {
    return log.withDocument(revision.number(), revision.fingerprint())
        .map(RevisionLog.Entry::document)
        .or(() -> proposals.document(revision.number(), revision.fingerprint()));
  }

  @Override
  public void addProposal(Revision revision, byte[] document) {
    proposals.hold(revision, document);
  }

  @Override
  public void fetchProposal(
      long nowNanos, Revision revision, Peer from, Consumer<Optional<byte[]>> onCompleted) {
    Optional<byte[]> held = document(revision);
    if (held.isPresent() || !RevisionVerifier.isWellFormed(revision, List.of())) {
      onCompleted.accept(held);
      return;
    }
    fetcher.fetchProposal(nowNanos, revision, from, onCompleted);
  }

  // ---- For operators ----

  /** At an issuer: the best informed sum of each place. */
  public List<RevisionMessage.Census> censuses() {
    return tracker.summary().bestPerPlace();
  }

  /** The status of this member, in lines of printable ASCII. */
  public List<String> statusLines(long nowNanos) {
    return status.lines(nowNanos);
  }
}
