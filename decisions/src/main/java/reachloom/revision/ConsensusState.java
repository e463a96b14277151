package reachloom.revision;

import java.util.Optional;

/**
 * The durable state of a Paxos acceptor. Immutable; its arrays are not copied and must not be
 * changed.
 *
 * @param promised the highest ballot promised
 * @param accepted the proposal accepted for the number after the newest chosen one
 * @param newest the newest revision that is known to be chosen
 * @param firstVotingNumber the first revision number that this issuer may vote on; {@link
 *     #UNKNOWN_NUMBER} while that is not known
 */
public record ConsensusState(
    Ballot promised,
    Optional<AcceptedProposal> accepted,
    Optional<ChosenRevision> newest,
    long firstVotingNumber) {
  /** The first voting number of an issuer that may not vote yet. */
  public static final long UNKNOWN_NUMBER = Long.MAX_VALUE;

  /**
   * A proposal that this acceptor has accepted.
   *
   * @param ballot the ballot under which it was accepted
   * @param revision the accepted revision
   * @param document the exact bytes of the revision's document
   */
  public record AcceptedProposal(Ballot ballot, Revision revision, byte[] document) {}

  /**
   * A revision that a majority of the issuers has accepted.
   *
   * @param notice the revision with the votes that prove it
   * @param document the document of the revision; empty while it is not held
   */
  public record ChosenRevision(RevisionMessage.Notice notice, Optional<byte[]> document) {
    /** Returns the chosen revision. */
    public Revision revision() {
      return notice.revision();
    }
  }

  /** Returns the state of an issuer that has never voted. */
  public static ConsensusState initial() {
    return new ConsensusState(Ballot.NONE, Optional.empty(), Optional.empty(), 1);
  }

  /** Returns the state of an issuer that has lost its store: it abstains until it rejoins. */
  public static ConsensusState lost() {
    return new ConsensusState(Ballot.NONE, Optional.empty(), Optional.empty(), UNKNOWN_NUMBER);
  }

  /** Returns the number of the newest revision known to be chosen; 0 for none. */
  public long newestNumber() {
    return newest.map(chosen -> chosen.revision().number()).orElse(0L);
  }

  /** Returns the newest revision known to be chosen. */
  public Optional<Revision> newestRevision() {
    return newest.map(ChosenRevision::revision);
  }

  /** Returns the revision accepted for the number after the newest chosen one. */
  public Optional<Revision> acceptedRevision() {
    return accepted.map(AcceptedProposal::revision);
  }

  /** Returns the document of that revision if it is the accepted one. */
  public Optional<byte[]> acceptedDocument(Revision revision) {
    return accepted
        .filter(proposal -> proposal.revision().equals(revision))
        .map(AcceptedProposal::document);
  }

  /** Returns whether this issuer may vote on the number after the newest chosen one. */
  public boolean mayVote() {
    return newestNumber() + 1 >= firstVotingNumber;
  }

  /** Returns whether the document of the newest chosen revision is held, or none is chosen. */
  public boolean holdsNewestDocument() {
    return newest.map(chosen -> chosen.document().isPresent()).orElse(true);
  }

  /** Returns this state with a higher ballot promised. */
  public ConsensusState withPromised(Ballot ballot) {
    return new ConsensusState(ballot, accepted, newest, firstVotingNumber);
  }

  /** Returns this state with that proposal accepted and its ballot promised. */
  public ConsensusState withAccepted(AcceptedProposal proposal) {
    return new ConsensusState(proposal.ballot(), Optional.of(proposal), newest, firstVotingNumber);
  }

  /** Returns this state with a new newest chosen revision, without proposals up to its number. */
  public ConsensusState withNewest(ChosenRevision chosen) {
    Optional<AcceptedProposal> later =
        accepted.filter(p -> p.revision().number() > chosen.revision().number());
    return new ConsensusState(promised, later, Optional.of(chosen), firstVotingNumber);
  }

  /** Returns this state with that first voting number. */
  public ConsensusState withFirstVotingNumber(long number) {
    return new ConsensusState(promised, accepted, newest, number);
  }
}
