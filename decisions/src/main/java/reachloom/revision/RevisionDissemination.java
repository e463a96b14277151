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
 * Disseminates configuration revisions to all members with an epidemic protocol; each member runs
 * one instance. It receives a revision, verifies its proof, fetches its document, passes it to the
 * host, announces it to other members, and reports where it is in force. At an issuer, the
 * consensus node adds the chosen revisions. This class dispatches events to its parts:
 *
 * <ul>
 *   <li>{@link EagerPush} announces a revision once its document is held;
 *   <li>{@link RevisionAntiEntropy} detects members that are behind, and requests or sends the
 *       newest notice; {@link NewestRevisionQuery} requests it when a member starts without state
 *       or resumes after a process pause;
 *   <li>{@link RevisionFetcher} fetches documents, and {@link ChunkServer} serves them;
 *   <li>{@link RevisionActivation} has the host put revisions in force;
 *   <li>{@link AcknowledgementTracker} counts the members that have one in force, and {@link
 *       AcknowledgementReminder} reminds the others.
 * </ul>
 *
 * <p>Does no I/O; times are nanoseconds of the clock that the caller passes in; the same events and
 * the same seed result in the same messages. All calls come from one thread.
 */
public final class RevisionDissemination implements RevisionRepository {
  /** The host process, which puts revisions in force at this member. */
  public interface Host {
    /**
     * Puts a revision in force asynchronously. The host reports the outcome with {@link
     * RevisionDissemination#onInForce} or {@link RevisionDissemination#onRejected}, possibly from
     * within this call; only then is the next revision passed.
     */
    void apply(long nowNanos, Revision revision, byte[] document);

    /** Reports a condition that requires an operator's attention, once per occurrence. */
    void alarm(long nowNanos, String message);
  }

  /** A longer gap between two ticks is a process pause. */
  private static final long PAUSE_THRESHOLD_NANOS = 1_000_000_000;

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

  /** Creates a member that starts without state. */
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
    // Random offsets spread the load of members that start together. Changing the order of these
    // draws changes the messages that a seed results in.
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
   * Replaces the present members, without this one; to be called when they have changed, at most
   * once per tick.
   */
  public void setPeers(Collection<Peer> present) {
    peers.setPresent(present);
    tracker.onPeersChanged();
  }

  /** Returns the state that each packet of this member carries. */
  public RevisionMessage.Have have() {
    return log.have();
  }

  // ---- Messages ----

  /**
   * Handles messages of an authenticated member. Messages of the consensus among issuers are
   * ignored here; {@link ConsensusNode} handles them.
   */
  public void receive(long nowNanos, Peer from, List<RevisionMessage> messages) {
    if (from.name().equals(self.name())) {
      return;
    }
    peers.onMessage(nowNanos, from);
    boolean distrusted = peers.backoff().isDistrusted(nowNanos, from.name());
    for (RevisionMessage message : messages) {
      dispatch(nowNanos, from, message, distrusted);
    }
    flush(nowNanos);
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
    } else if (message instanceof RevisionMessage.Census census) {
      onCensus(nowNanos, from, census);
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

  private void onCensus(long nowNanos, Peer from, RevisionMessage.Census census) {
    if (tracker.onCensus(nowNanos, from, census)) {
      antiEntropy.onCensus(nowNanos, from, census);
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
          return; // over the rate limit; the sender will announce the revision again
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

  /** Handles a known revision: its sender has the document; an aggregator expects a reply. */
  private void onKnownAnnounced(long nowNanos, Peer from, Revision revision) {
    peers.onAnnounced(from, revision.number());
    fetcher.onAnnounced(nowNanos, from, revision);
    if (activation.isCompleted(revision.number())) {
      tracker.acknowledgeAgain(nowNanos, from);
    }
  }

  private void onFork(long nowNanos, Revision revision) {
    if (log.addFork(revision)) {
      host.alarm(
          nowNanos,
          "fork: rejected revision "
              + revision.number()
              + " by "
              + revision.issuer()
              + ", which is proved but conflicts with the revision log");
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

  /** Adds a newer proved revision; {@code document} is null if it is not held. */
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

  /** Announces the newest revision, whose document is now held, and passes it to the host. */
  private void onDocumentHeld(long nowNanos, int issuerRounds) {
    fetcher.stop();
    push.start(nowNanos, issuerRounds);
    activation.offerNewest(nowNanos);
  }

  // ---- Timers ----

  /** Runs the timers that are due; to be called every 50 to 100 ms. */
  public void tick(long nowNanos) {
    long gapNanos = nowNanos - lastTickNanos;
    lastTickNanos = nowNanos;
    if (gapNanos > PAUSE_THRESHOLD_NANOS) {
      onPause(nowNanos, gapNanos);
    }
    activation.checkOverdue(nowNanos);
    antiEntropy.tick(nowNanos);
    query.tick(nowNanos);
    push.tick(nowNanos);
    reminder.tick(nowNanos);
    tracker.tick(nowNanos);
    antiEntropy.exchange(nowNanos);
    flush(nowNanos);
  }

  /** Handles a pause of this process: no peer is penalized for answers missed meanwhile. */
  private void onPause(long nowNanos, long gapNanos) {
    peers.backoff().shift(gapNanos);
    fetcher.shift(gapNanos);
    antiEntropy.onPause();
    query.onPause(nowNanos);
  }

  /** Sends the pending messages that the byte budget allows, small ones first. */
  private void flush(long nowNanos) {
    tracker.flushAcknowledgements(nowNanos);
    fetcher.flush(nowNanos);
    notices.flush(nowNanos);
    push.flush(nowNanos);
    tracker.flushReports(nowNanos);
    transfers.tick(nowNanos, sender);
  }

  // ---- The host ----

  /** Handles the host's report that a revision is in force. */
  public void onInForce(long nowNanos, long number) {
    if (activation.onInForce(number)) {
      onActivationEnded(nowNanos);
    }
  }

  /** Handles the host's report that it rejects a revision; the previous one stays in force. */
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
    flush(nowNanos);
  }

  private static String notIssued(Revision revision, byte[] document) {
    return "revision "
        + revision.number()
        + " is not issued: its fields, its votes or its document are invalid; the document has "
        + document.length
        + " bytes, of "
        + Revision.MAX_DOCUMENT_BYTES
        + " at most";
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

  // ---- Status ----

  /** Returns, at an issuer, the best acknowledgement counts of each place. */
  public List<RevisionMessage.Census> censuses() {
    return tracker.summary().bestPerPlace();
  }

  /** Returns the status of this member as lines of printable ASCII text. */
  public List<String> statusLines(long nowNanos) {
    return status.lines(nowNanos);
  }
}
