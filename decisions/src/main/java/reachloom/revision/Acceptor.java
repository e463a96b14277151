package reachloom.revision;

import java.util.Arrays;
import java.util.Optional;
import reachloom.revision.ConsensusState.AcceptedProposal;
import reachloom.revision.ConsensusState.ChosenRevision;

/**
 * The acceptor of Paxos, with one instance a revision number. It answers only from what is saved:
 * while the store cannot be written, it is silent, as an issuer that is down.
 *
 * <p>An issuer that has lost its store may have promised and accepted what it no longer knows. With
 * its newest chosen revision at k, an acceptor votes on number k + 1 at most, and k was accepted by
 * a majority that knew k - 1 to be chosen. A majority of the others thus tells of k - 1 at least,
 * and what was forgotten is of that number + 2 at most. From the third on it votes again. (What
 * others tell to know is what they hold the document of; therefore an acceptor holds that of k - 1
 * before it accepts k.) This counts on one lost store at a time: of two that were lost together
 * each might ask the other.
 *
 * <p>Confined to the thread of its {@link ConsensusNode}.
 */
final class Acceptor {
  /**
   * After a lost store: how many numbers after the newest known to a majority of the others this
   * issuer may have voted on.
   */
  private static final long MAX_FORGOTTEN_NUMBERS = 2;

  /** A round that is further ahead is not honest: it would leave none to go on with. */
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

  /** What was saved last. */
  ConsensusState state() {
    return state;
  }

  /** Whether this issuer may vote on that number, which is the next one alone. */
  private boolean mayVoteOn(long number) {
    return number == state.newestNumber() + 1 && state.mayVote();
  }

  /**
   * Whether a ballot may be answered at all: it is its sender's own, and of a round that can be
   * exceeded.
   */
  boolean isPlausible(Ballot ballot, String sender) {
    return ballot.issuer().equals(sender)
        && ballot.round() > 0
        && ballot.round() - state.promised().round() <= MAX_ROUND_LEAP;
  }

  /**
   * Answers phase one: a {@link RevisionMessage.Promise}, which is saved, or a {@link
   * RevisionMessage.Rejected}; empty where the request may not be answered or the store fails.
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
   * Whether a revision may be accepted once its document is held: it follows the newest chosen one,
   * whose document is held, and is not too large.
   */
  boolean mayFollow(Revision revision) {
    return state.holdsNewestDocument()
        && mayVoteOn(revision.number())
        && revision.size() >= 0
        && revision.size() <= Revision.MAX_DOCUMENT_BYTES
        && Arrays.equals(revision.previous(), Revision.chain(state.newestRevision().orElse(null)));
  }

  /**
   * Answers phase two: a {@link RevisionMessage.Accepted} with this issuer's vote, which rests on
   * what is saved, or a {@link RevisionMessage.Rejected}; empty where the request may not be
   * answered or the store fails.
   *
   * @param document the proposed document; empty where it is not held, which gives no vote
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
    boolean twoUnderOneBallot =
        underThisBallot.isPresent() && !underThisBallot.get().revision().equals(revision);
    if (twoUnderOneBallot || document.filter(revision::describes).isEmpty()) {
      return Optional.empty(); // nor is a document accepted that is not the announced one
    }
    AcceptedProposal proposal = new AcceptedProposal(ballot, revision, document.get());
    if (underThisBallot.isEmpty() && !save(state.withAccepted(proposal))) {
      return Optional.empty();
    }
    Vote vote = new Vote(issuer, signatures.sign(revision.chain()));
    return Optional.of(new RevisionMessage.Accepted(ballot, revision.number(), vote));
  }

  /**
   * Takes over that a revision was chosen, where it is newer than the newest known one, or brings
   * the document of that one. Where it cannot be saved it stays unknown.
   *
   * @param document the document, where it is held
   */
  void learn(RevisionMessage.Notice notice, Optional<byte[]> document) {
    Revision revision = notice.revision();
    boolean newer = revision.number() > state.newestNumber();
    boolean bringsDocument =
        document.isPresent()
            && !state.holdsNewestDocument()
            && state.newestRevision().filter(revision::equals).isPresent();
    if (newer || bringsDocument) {
      Optional<byte[]> held = document.or(() -> state.acceptedDocument(revision));
      save(state.withNewest(new ChosenRevision(notice, held)));
    }
  }

  /**
   * After a lost store: a majority of the others knows nothing newer than that number, which bounds
   * what this issuer may have forgotten.
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
