package reachloom.revision;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import reachloom.revision.ProposalResult.Kind;

/**
 * The Paxos proposer of one issuer. Proposes revisions in order of their numbers; a ballot is used
 * for one number only. It starts with a {@link PromiseRound}. If its promises report an accepted
 * revision, that one is proposed again; otherwise a document of the {@link ProposalQueue} is
 * proposed. An {@link AcceptRound} then requests the votes.
 *
 * <p>Confined to the thread of its {@link ConsensusNode}; times are nanoseconds of the clock that
 * the caller passes in.
 */
final class Proposer {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Initial retry interval of a request: longer than a worldwide round trip. */
  private static final long RETRY_INTERVAL_NANOS = 300 * NANOS_PER_MILLI;

  private static final long MAX_RETRY_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

  /** Time limit for fetching a document that other issuers have accepted. */
  private static final long FETCH_TIMEOUT_NANOS = 3_000 * NANOS_PER_MILLI;

  private static final String UNWRITABLE_STORE = "this issuer's store can't be written";

  private enum Phase {
    /** No ballot is in progress. */
    IDLE,
    /** {@link #promiseRound} is in progress. */
    PREPARING,
    /** {@link #retrieval} is in progress. */
    FETCHING,
    /** {@link #acceptRound} is in progress. */
    PROPOSING,
    /** Waits before the next ballot, after a higher ballot or a failure. */
    BACKING_OFF
  }

  private final IssuerGroup group;
  private final SignatureScheme signatures;
  private final RevisionRepository repository;
  private final Acceptor acceptor;
  private final ProposerListener listener;
  private final ProposalQueue queue;
  private final BallotBackoff backoff;
  private final RecoverySchedule recovery;

  private Phase phase = Phase.IDLE;

  /** The current ballot, or the last one. */
  private Ballot ballot = Ballot.NONE;

  /** The revision number that the ballot is for. */
  private long number;

  /** The highest round that this proposer has used or received. */
  private long highestRound;

  /** Null except in phase {@link Phase#PREPARING}. */
  private PromiseRound promiseRound;

  /** Null except in phase {@link Phase#PROPOSING}. */
  private AcceptRound acceptRound;

  /** Null except in phase {@link Phase#FETCHING}. */
  private DocumentRetrieval retrieval;

  /** When the current phase repeats its request, or ends. */
  private long deadlineNanos;

  private long retryIntervalNanos = RETRY_INTERVAL_NANOS;

  /**
   * Creates an idle proposer.
   *
   * @param acceptor the acceptor of the same issuer, which answers each request first
   */
  Proposer(
      IssuerGroup group,
      ConsensusEnvironment environment,
      Acceptor acceptor,
      SplittableRandom random,
      ProposerListener listener) {
    this.group = group;
    this.signatures = environment.signatures();
    this.repository = environment.repository();
    this.acceptor = acceptor;
    this.listener = listener;
    queue = new ProposalQueue(listener::report);
    backoff = new BallotBackoff(random);
    recovery = new RecoverySchedule(random);
  }

  // ---- Documents of clients ----

  /** Queues a document to be issued; the result is reported to its client. */
  void submit(long nowNanos, byte[] document, Consumer<ProposalResult> client) {
    if (document.length == 0 || document.length > Revision.MAX_DOCUMENT_BYTES) {
      listener.report(client, ProposalResult.badSize(document.length));
    } else if (!acceptor.state().mayVote()) {
      listener.report(client, abstains());
    } else {
      queue.add(nowNanos, document, client);
      if (phase == Phase.IDLE) {
        prepare(nowNanos);
      }
    }
  }

  private ProposalResult abstains() {
    return ProposalResult.abstains(acceptor.state().firstVotingNumber());
  }

  /** Withdraws expired documents; other issuers may still complete one that was proposed. */
  void expire(long nowNanos) {
    if (queue.isWaitingExpired(nowNanos)) {
      queue.expireWaiting(nowNanos);
    }
    if (queue.isCurrentExpired(nowNanos)) {
      onWithdrawn(nowNanos, queue.expireCurrent(nowNanos));
    }
  }

  /** Withdraws all documents after a process pause: newer ones may have been issued meanwhile. */
  void onPause(long nowNanos, long gapNanos) {
    String text = "this issuer stood still for " + gapNanos / NANOS_PER_MILLI + " ms";
    if (queue.hasWaiting()) {
      queue.withdrawWaiting(Kind.STOOD_STILL, text);
    }
    if (queue.hasCurrent()) {
      onWithdrawn(nowNanos, queue.withdrawCurrent(Kind.STOOD_STILL, text));
    }
  }

  private void onWithdrawn(long nowNanos, boolean mayBeChosen) {
    endBallot(Phase.IDLE);
    if (mayBeChosen) {
      recovery.restart(nowNanos);
    }
  }

  // ---- Timers ----

  /** Runs the timers that are due; to be called every 50 to 100 ms. */
  void tick(long nowNanos) {
    recovery.observe(nowNanos, acceptor.state().acceptedRevision());
    if (phase == Phase.BACKING_OFF && nowNanos >= deadlineNanos) {
      phase = Phase.IDLE;
    }
    switch (phase) {
      case IDLE -> startIfDue(nowNanos);
      case PREPARING -> retryIfDue(nowNanos, promiseRound);
      case PROPOSING -> retryIfDue(nowNanos, acceptRound);
      case FETCHING -> {
        if (nowNanos >= deadlineNanos) {
          backOff(nowNanos);
        }
      }
      case BACKING_OFF -> {
        // ends at its deadline
      }
    }
  }

  private void startIfDue(long nowNanos) {
    if (!queue.isIdle()) {
      prepare(nowNanos);
    } else if (recovery.isDue(nowNanos)) {
      recovery.restart(nowNanos);
      prepare(nowNanos);
    }
  }

  private void retryIfDue(long nowNanos, BallotRound round) {
    if (queue.isIdle() && !recovery.hasUnfinished()) {
      endBallot(Phase.IDLE);
    } else if (nowNanos >= deadlineNanos) {
      retryIntervalNanos = Math.min(MAX_RETRY_INTERVAL_NANOS, 2 * retryIntervalNanos);
      request(nowNanos, round);
    }
  }

  private void backOff(long nowNanos) {
    endBallot(Phase.BACKING_OFF);
    deadlineNanos = nowNanos + backoff.nextDelayNanos();
  }

  /** Ends the current ballot. */
  private void endBallot(Phase next) {
    phase = next;
    promiseRound = null;
    acceptRound = null;
    retrieval = null;
  }

  // ---- Both rounds ----

  private void startRound(long nowNanos, Phase next, BallotRound round) {
    phase = next;
    retryIntervalNanos = RETRY_INTERVAL_NANOS;
    request(nowNanos, round);
  }

  /** Sends the request of a round to all issuers that have not answered it. */
  private void request(long nowNanos, BallotRound round) {
    boolean allSent = true;
    for (Peer peer : group.others()) {
      if (!round.hasAnswered(peer.name())) {
        allSent &= group.send(nowNanos, peer.name(), round.request());
      }
    }
    deadlineNanos = allSent ? nowNanos + retryIntervalNanos : nowNanos;
  }

  /** Handles a rejection: another issuer has promised a higher ballot. */
  void onRejected(long nowNanos, RevisionMessage.Rejected answer) {
    boolean inProgress = phase != Phase.IDLE && phase != Phase.BACKING_OFF;
    Ballot higher = answer.promised();
    if (inProgress
        && answer.ballot().equals(ballot)
        && higher.compareTo(ballot) > 0
        && acceptor.isPlausible(higher, higher.issuer())) {
      highestRound = Math.max(highestRound, higher.round());
      backOff(nowNanos);
    }
  }

  /** Handles a newer chosen revision, which decides all proposals up to its number. */
  void onNewest(long nowNanos, Revision newest) {
    if (number <= newest.number() && phase != Phase.IDLE) {
      endBallot(Phase.IDLE);
      backoff.reset();
    }
    queue.settle(newest);
    if (phase == Phase.IDLE && queue.hasWaiting()) {
      prepare(nowNanos);
    }
  }

  // ---- Phase one ----

  private void prepare(long nowNanos) {
    endBallot(Phase.IDLE);
    if (!acceptor.state().mayVote()) {
      if (queue.hasWaiting()) {
        queue.rejectWaiting(abstains());
      }
      return;
    }
    if (!acceptor.state().holdsNewestDocument()) {
      return; // the document is being fetched
    }
    number = acceptor.state().newestNumber() + 1;
    long round = Math.max(highestRound, acceptor.state().promised().round()) + 1;
    ballot = new Ballot(round, group.self());
    PromiseRound next = new PromiseRound(ballot, number, group.quorum());
    Optional<RevisionMessage> own = acceptor.prepare(next.request(), group.self());
    if (own.isEmpty() || !(own.get() instanceof RevisionMessage.Promise promise)) {
      onUnwritableStore(nowNanos);
      return;
    }
    highestRound = round;
    promiseRound = next;
    promiseRound.add(group.self(), promise);
    startRound(nowNanos, Phase.PREPARING, promiseRound);
    selectValue(nowNanos);
  }

  /** Backs off without a request: after a restart, an unsaved round might be used once more. */
  private void onUnwritableStore(long nowNanos) {
    if (queue.hasWaiting()) {
      queue.withdrawWaiting(Kind.NOT_SAVED, UNWRITABLE_STORE);
    }
    backOff(nowNanos);
  }

  /** Handles another issuer's promise. */
  void onPromise(long nowNanos, RevisionMessage.Promise answer, String sender) {
    if (phase == Phase.PREPARING && promiseRound.isAnsweredBy(answer) && isConsistent(answer)) {
      promiseRound.add(sender, answer);
      selectValue(nowNanos);
    }
  }

  /** Checks that the reported revision has a lower ballot and may follow the newest chosen one. */
  private boolean isConsistent(RevisionMessage.Promise answer) {
    Optional<Revision> accepted = answer.accepted();
    boolean underLowerBallot = answer.acceptedUnder().compareTo(ballot) < 0;
    return accepted.isEmpty() || underLowerBallot && acceptor.mayFollow(accepted.get());
  }

  /**
   * Selects the value to propose once a majority has promised: the revision accepted under the
   * highest ballot, else a document of this issuer.
   */
  private void selectValue(long nowNanos) {
    if (!promiseRound.hasQuorum()) {
      return;
    }
    Optional<Revision> accepted = promiseRound.highestAccepted();
    if (accepted.isPresent()) {
      proposeAccepted(nowNanos, accepted.get());
      return;
    }
    if (!queue.hasCurrent() && queue.hasWaiting()) {
      Revision newest = acceptor.state().newestRevision().orElse(null);
      queue.startWaiting(newest, nowNanos / NANOS_PER_MILLI, group.self());
    }
    if (queue.hasCurrent()) {
      propose(nowNanos, queue.currentRevision(), queue.currentDocument());
    } else {
      endBallot(Phase.IDLE);
    }
  }

  // ---- Revisions that other issuers have accepted ----

  private void proposeAccepted(long nowNanos, Revision accepted) {
    Optional<byte[]> held =
        acceptor.state().acceptedDocument(accepted).or(() -> repository.document(accepted));
    if (held.isPresent()) {
      propose(nowNanos, accepted, held.get());
      return;
    }
    DocumentRetrieval next = new DocumentRetrieval(accepted, promiseRound.holdersOf(accepted));
    endBallot(Phase.FETCHING);
    retrieval = next;
    deadlineNanos = nowNanos + FETCH_TIMEOUT_NANOS;
    fetchFromNextHolder(nowNanos);
  }

  private void fetchFromNextHolder(long nowNanos) {
    DocumentRetrieval fetch = retrieval;
    Optional<Peer> holder = fetch.nextHolder(group.others());
    if (holder.isPresent()) {
      repository.fetchProposal(
          nowNanos, fetch.revision(), holder.get(), got -> onFetched(nowNanos, fetch, got));
    } else {
      backOff(nowNanos);
    }
  }

  /** Handles the end of a fetch; the next deadlines count from the time of its request. */
  private void onFetched(long requestNanos, DocumentRetrieval fetch, Optional<byte[]> document) {
    if (retrieval != fetch) {
      return; // its ballot has ended
    }
    if (document.filter(fetch.revision()::describes).isPresent()) {
      propose(requestNanos, fetch.revision(), document.get());
    } else {
      fetchFromNextHolder(requestNanos);
    }
  }

  // ---- Phase two ----

  private void propose(long nowNanos, Revision revision, byte[] document) {
    repository.addProposal(revision, document);
    AcceptRound next = new AcceptRound(ballot, number, revision, document, group.quorum());
    Optional<RevisionMessage> own =
        acceptor.propose(next.request(), group.self(), Optional.of(document));
    if (own.isEmpty() || !(own.get() instanceof RevisionMessage.Accepted accepted)) {
      if (own.isEmpty() && queue.isCurrent(revision)) {
        onWithdrawn(nowNanos, queue.withdrawCurrent(Kind.NOT_SAVED, UNWRITABLE_STORE));
      }
      backOff(nowNanos); // the store failed, or a higher ballot was promised meanwhile
      return;
    }
    if (queue.isCurrent(revision)) {
      queue.markCurrentProposed();
    }
    endBallot(Phase.PROPOSING);
    acceptRound = next;
    acceptRound.add(accepted.vote());
    startRound(nowNanos, Phase.PROPOSING, acceptRound);
    finishIfChosen(nowNanos);
  }

  /** Handles another issuer's vote. */
  void onAccepted(long nowNanos, RevisionMessage.Accepted answer, String sender) {
    if (phase == Phase.PROPOSING && acceptRound.isNewVote(answer, sender, signatures)) {
      acceptRound.add(answer.vote());
      finishIfChosen(nowNanos);
    }
  }

  private void finishIfChosen(long nowNanos) {
    if (acceptRound.hasQuorum()) {
      RevisionMessage.Notice notice = acceptRound.notice();
      byte[] document = acceptRound.document();
      endBallot(Phase.IDLE);
      backoff.reset();
      listener.onChosen(nowNanos, notice, document);
    }
  }
}
