package reachloom.revision;

import java.util.Arrays;
import java.util.Optional;
import reachloom.revision.ConsensusState.AcceptedProposal;
import reachloom.revision.ConsensusState.ChosenRevision;

/**
 * The Paxos acceptor of one issuer, with one Paxos instance per revision number. It answers only
 * after its state is saved: while the store cannot be written, it does not answer, like an issuer
 * that is down.
 *
 * <p>An issuer that has lost its store may have made promises and accepted revisions that it no
 * longer knows. If its newest chosen revision was k, it has voted on k + 1 at most, and k was
 * accepted by a majority that knew k - 1 to be chosen. Of the answers of any majority of the
 * issuers without this one, at least one is therefore k - 1 or higher, and the forgotten votes are
 * for the highest of these answers + 2 at most; from that number + 3 on the issuer may vote again.
 * (Issuers report the newest revision whose document they hold; therefore an acceptor must hold the
 * document of k - 1 before it accepts k.) This is safe for one lost store at a time: if two are
 * lost together, each might rely on the other's answer.
 *
 * <p>Confined to the thread of its {@link ConsensusNode}.
 */
final class Acceptor {
  /**
   * Count of numbers past the bound of {@link LostStoreRecovery} that this issuer may have voted on
   * before it lost its store.
   */
  private static final long MAX_FORGOTTEN_NUMBERS = 2;

  /** Maximum increase of the round; a larger one is malicious, as it could exhaust the rounds. */
  private static final long MAX_ROUND_LEAP = 1L << 32;

  private final String issuer;
  private final SignatureScheme signatures;
  private final ConsensusStore store;
  private ConsensusState state;

  Acceptor(String issuer, SignatureScheme signatures, ConsensusStore store) {
    this.issuer = issuer;
    this.signatures = signatures;
    this.store = store;
    state = store.load().orElseGet(ConsensusState::lost);
  }

  /** Returns the state that was saved last. */
  ConsensusState state() {
    return state;
  }

  /** Returns whether this issuer may vote on that number; only the next number qualifies. */
  private boolean mayVoteOn(long number) {
    return number == state.newestNumber() + 1 && state.mayVote();
  }

  /**
   * Returns whether a ballot may be answered: it belongs to its sender, and its round is within
   * {@link #MAX_ROUND_LEAP} of the promised one.
   */
  boolean isPlausible(Ballot ballot, String sender) {
    return ballot.issuer().equals(sender)
        && ballot.round() > 0
        && ballot.round() - state.promised().round() <= MAX_ROUND_LEAP;
  }

  /**
   * Handles phase one. Returns a {@link RevisionMessage.Promise}, which is saved, or a {@link
   * RevisionMessage.Rejected}; empty if the request may not be answered or the store fails.
   */
  Optional<RevisionMessage> prepare(RevisionMessage.Prepare request, String sender) {
    Ballot ballot = request.ballot();
    if (!isPlausible(ballot, sender) || !mayVoteOn(request.number())) {
      return Optional.empty();
    }
    if (ballot.compareTo(state.promised()) < 0) {
      return Optional.of(new RevisionMessage.Rejected(ballot, state.promised()));
    }
    boolean repeated = ballot.equals(state.promised());
    if (!repeated && !save(state.withPromised(ballot))) {
      return Optional.empty();
    }
    Ballot acceptedUnder = state.accepted().map(AcceptedProposal::ballot).orElse(Ballot.NONE);
    return Optional.of(
        new RevisionMessage.Promise(
            ballot, request.number(), acceptedUnder, state.acceptedRevision()));
  }

  /**
   * Returns whether a revision may be accepted once its document is held: it follows the newest
   * chosen one, whose document is held, and is not too large.
   */
  boolean mayFollow(Revision revision) {
    return state.holdsNewestDocument()
        && mayVoteOn(revision.number())
        && revision.size() >= 0
        && revision.size() <= Revision.MAX_DOCUMENT_BYTES
        && Arrays.equals(revision.previous(), Revision.chain(state.newestRevision().orElse(null)));
  }

  /**
   * Handles phase two. Returns a {@link RevisionMessage.Accepted} with this issuer's vote, which is
   * saved first, or a {@link RevisionMessage.Rejected}; empty if the request may not be answered or
   * the store fails.
   *
   * @param document the proposed document; empty if it is not held, in which case there is no vote
   */
  Optional<RevisionMessage> propose(
      RevisionMessage.Propose request, String sender, Optional<byte[]> document) {
    Ballot ballot = request.ballot();
    Revision revision = request.revision();
    if (!isPlausible(ballot, sender) || !mayFollow(revision)) {
      return Optional.empty();
    }
    if (ballot.compareTo(state.promised()) < 0) {
      return Optional.of(new RevisionMessage.Rejected(ballot, state.promised()));
    }
    Optional<AcceptedProposal> underThisBallot =
        state.accepted().filter(accepted -> accepted.ballot().equals(ballot));
    boolean conflictsWithinBallot =
        underThisBallot.isPresent() && !underThisBallot.get().revision().equals(revision);
    if (conflictsWithinBallot || document.filter(revision::describes).isEmpty()) {
      return Optional.empty(); // also if the document does not match the revision
    }
    AcceptedProposal proposal = new AcceptedProposal(ballot, revision, document.get());
    if (underThisBallot.isEmpty() && !save(state.withAccepted(proposal))) {
      return Optional.empty();
    }
    Vote vote = new Vote(issuer, signatures.sign(revision.chain()));
    return Optional.of(new RevisionMessage.Accepted(ballot, revision.number(), vote));
  }

  /**
   * Records a chosen revision if it is newer than the newest known one, or supplies the missing
   * document of that one. If it cannot be saved, it remains unknown.
   *
   * @param document the document, if it is held
   */
  void learn(RevisionMessage.Notice notice, Optional<byte[]> document) {
    Revision revision = notice.revision();
    boolean newer = revision.number() > state.newestNumber();
    boolean suppliesDocument =
        document.isPresent()
            && !state.holdsNewestDocument()
            && state.newestRevision().filter(revision::equals).isPresent();
    if (newer || suppliesDocument) {
      Optional<byte[]> held = document.or(() -> state.acceptedDocument(revision));
      save(state.withNewest(new ChosenRevision(notice, held)));
    }
  }

  /**
   * Sets the first number to vote on after a lost store.
   *
   * @param number a number that a majority of the issuers, without this one, does not exceed in
   *     their answers; it bounds the votes that this issuer may have forgotten
   */
  void rejoin(long number) {
    boolean valid = number >= 0 && number < Long.MAX_VALUE - MAX_FORGOTTEN_NUMBERS;
    if (state.firstVotingNumber() == ConsensusState.UNKNOWN_NUMBER && valid) {
      save(state.withFirstVotingNumber(number + MAX_FORGOTTEN_NUMBERS + 1));
    }
  }

  private boolean save(ConsensusState next) {
    boolean saved = store.save(next);
    state = saved ? next : state;
    return saved;
  }
}
