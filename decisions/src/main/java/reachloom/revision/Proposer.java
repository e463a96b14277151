package reachloom.revision;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import reachloom.revision.ProposalResult.Kind;

/**
 * The proposer of Paxos at one issuer: proposes one revision number after another, each under
 * ballots of its own. A ballot begins with a {@link PromiseRound}; its outcome tells whether
 * something that others have accepted has to be finished first, under its own number, or a document
 * of the {@link ProposalQueue} may be proposed; an {@link AcceptRound} then asks for the votes.
 *
 * <p>Confined to the thread of its {@link ConsensusNode}; times are nanoseconds of the clock that
 * is handed in.
 */
final class Proposer {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** Silence after which a request is repeated: longer than a way round the earth and back. */
  private static final long RETRY_INTERVAL_NANOS = 300 * MILLISECOND;

  private static final long MAX_RETRY_INTERVAL_NANOS = 1_000 * MILLISECOND;

  /** How long a document that others have accepted is fetched for. */
  private static final long FETCH_TIMEOUT_NANOS = 3_000 * MILLISECOND;

  private static final String UNWRITABLE_STORE = "this issuer's store can't be written";

  private enum Phase {
    /** No ballot is under way. */
    IDLE,
    /** {@link #promiseRound} is under way. */
    PREPARING,
    /** {@link #retrieval} is under way. */
    FETCHING,
    /** {@link #acceptRound} is under way. */
    PROPOSING,
    /** A higher ballot was met. */
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

  /** The ballot under way, or the last one. */
  private Ballot ballot = Ballot.NONE;

  /** The revision number that the ballot is for. */
  private long number;

  /** The highest round that this proposer has used or met. */
  private long highestRound;

  /** Null but while preparing. */
  private PromiseRound promiseRound;

  /** Null but while proposing. */
  private AcceptRound acceptRound;

  /** Null but while fetching. */
  private DocumentRetrieval retrieval;

  /** When the present phase repeats its request, or ends. */
  private long deadlineNanos;

  private long retryIntervalNanos = RETRY_INTERVAL_NANOS;

  /**
   * An idle proposer.
   *
   * @param acceptor the same issuer's acceptor, which answers each request first
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

  /** Takes a document that is to be issued; its client is told what becomes of it. */
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

  /** Gives up documents that are too old; those that were proposed are for others to finish. */
  void expire(long nowNanos) {
    if (queue.isWaitingExpired(nowNanos)) {
      queue.expireWaiting(nowNanos);
    }
    if (queue.isCurrentExpired(nowNanos)) {
      afterWithdrawal(nowNanos, queue.expireCurrent(nowNanos));
    }
  }

  /** This process was paused for so long: what was to be issued may have been overtaken. */
  void onStandstill(long nowNanos, long gapNanos) {
    String text = "this issuer stood still for " + gapNanos / MILLISECOND + " ms";
    if (queue.hasWaiting()) {
      queue.withdrawWaiting(Kind.STOOD_STILL, text);
    }
    if (queue.hasCurrent()) {
      afterWithdrawal(nowNanos, queue.withdrawCurrent(Kind.STOOD_STILL, text));
    }
  }

  private void afterWithdrawal(long nowNanos, boolean mayBeChosen) {
    endBallot(Phase.IDLE);
    if (mayBeChosen) {
      recovery.restart(nowNanos);
    }
  }

  // ---- Time ----

  /** Does what is due; to be called each 50 to 100 ms. */
  void tick(long nowNanos) {
    recovery.observe(nowNanos, acceptor.state().acceptedRevision());
    if (phase == Phase.BACKING_OFF && nowNanos >= deadlineNanos) {
      phase = Phase.IDLE;
    }
    switch (phase) {
      case IDLE -> startIfDue(nowNanos);
      case PREPARING -> repeatIfDue(nowNanos, promiseRound);
      case PROPOSING -> repeatIfDue(nowNanos, acceptRound);
      case FETCHING -> {
        if (nowNanos >= deadlineNanos) {
          backOff(nowNanos);
        }
      }
      case BACKING_OFF -> {
        // until its deadline
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

  private void repeatIfDue(long nowNanos, BallotRound round) {
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

  /** Leaves the ballot under way. */
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

  /** Sends the request of a round to all that have not answered it. */
  private void request(long nowNanos, BallotRound round) {
    boolean allSent = true;
    for (Peer peer : group.others()) {
      if (!round.hasAnswered(peer.name())) {
        allSent &= group.send(nowNanos, peer.name(), round.request());
      }
    }
    deadlineNanos = allSent ? nowNanos + retryIntervalNanos : nowNanos;
  }

  /** Another issuer has promised a higher ballot. */
  void onRejected(long nowNanos, RevisionMessage.Rejected answer) {
    boolean underWay = phase != Phase.IDLE && phase != Phase.BACKING_OFF;
    Ballot higher = answer.promised();
    if (underWay
        && answer.ballot().equals(ballot)
        && higher.compareTo(ballot) > 0
        && acceptor.isPlausible(higher, higher.issuer())) {
      highestRound = Math.max(highestRound, higher.round());
      backOff(nowNanos);
    }
  }

  /** A newer revision is chosen: what was proposed up to its number is decided. */
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
      return; // it is being fetched
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
    choose(nowNanos);
  }

  /** Without its own store it may not even ask: a ballot of that round may be used again. */
  private void onUnwritableStore(long nowNanos) {
    if (queue.hasWaiting()) {
      queue.withdrawWaiting(Kind.NOT_SAVED, UNWRITABLE_STORE);
    }
    backOff(nowNanos);
  }

  /** Another issuer answers phase one. */
  void onPromise(long nowNanos, RevisionMessage.Promise answer, String sender) {
    if (phase == Phase.PREPARING && promiseRound.isAnsweredBy(answer) && isSound(answer)) {
      promiseRound.add(sender, answer);
      choose(nowNanos);
    }
  }

  /** What was accepted was so under a lower ballot, and may follow what is chosen. */
  private boolean isSound(RevisionMessage.Promise answer) {
    Optional<Revision> accepted = answer.accepted();
    boolean underLowerBallot = answer.acceptedUnder().compareTo(ballot) < 0;
    return accepted.isEmpty() || underLowerBallot && acceptor.mayFollow(accepted.get());
  }

  /**
   * With a majority of promises: what was accepted under the highest ballot is finished, else a
   * document of this issuer is proposed.
   */
  private void choose(long nowNanos) {
    if (!promiseRound.hasQuorum()) {
      return;
    }
    Optional<Revision> accepted = promiseRound.highestAccepted();
    if (accepted.isPresent()) {
      finish(nowNanos, accepted.get());
      return;
    }
    if (!queue.hasCurrent() && queue.hasWaiting()) {
      Revision newest = acceptor.state().newestRevision().orElse(null);
      queue.startWaiting(newest, nowNanos / MILLISECOND, group.self());
    }
    if (queue.hasCurrent()) {
      propose(nowNanos, queue.currentRevision(), queue.currentDocument());
    } else {
      endBallot(Phase.IDLE);
    }
  }

  // ---- What others have accepted ----

  private void finish(long nowNanos, Revision accepted) {
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
    DocumentRetrieval asked = retrieval;
    Optional<Peer> holder = asked.nextHolder(group.others());
    if (holder.isPresent()) {
      repository.fetchProposal(
          nowNanos, asked.revision(), holder.get(), got -> onFetched(nowNanos, asked, got));
    } else {
      backOff(nowNanos);
    }
  }

  private void onFetched(long askedAtNanos, DocumentRetrieval asked, Optional<byte[]> document) {
    if (retrieval != asked) {
      return; // its ballot has ended
    }
    if (document.filter(asked.revision()::describes).isPresent()) {
      propose(askedAtNanos, asked.revision(), document.get());
    } else {
      fetchFromNextHolder(askedAtNanos);
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
        afterWithdrawal(nowNanos, queue.withdrawCurrent(Kind.NOT_SAVED, UNWRITABLE_STORE));
      }
      backOff(nowNanos); // the store fails, or another one's ballot has come in between
      return;
    }
    if (queue.isCurrent(revision)) {
      queue.markCurrentSent();
    }
    endBallot(Phase.PROPOSING);
    acceptRound = next;
    acceptRound.add(accepted.vote());
    startRound(nowNanos, Phase.PROPOSING, acceptRound);
    count(nowNanos);
  }

  /** Another issuer answers phase two. */
  void onAccepted(long nowNanos, RevisionMessage.Accepted answer, String sender) {
    if (phase == Phase.PROPOSING && acceptRound.isNewVote(answer, sender, signatures)) {
      acceptRound.add(answer.vote());
      count(nowNanos);
    }
  }

  private void count(long nowNanos) {
    if (acceptRound.hasQuorum()) {
      RevisionMessage.Notice notice = acceptRound.notice();
      byte[] document = acceptRound.document();
      endBallot(Phase.IDLE);
      backoff.reset();
      listener.onChosen(nowNanos, notice, document);
    }
  }
}
