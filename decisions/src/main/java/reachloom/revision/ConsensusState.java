package reachloom.revision;

import java.util.Optional;

/**
 * What an issuer must not forget: the durable state of an acceptor of Paxos. Immutable; the arrays
 * in it are not copied and must not be changed.
 *
 * @param promised the highest ballot promised
 * @param accepted what was accepted for the number after the newest chosen one
 * @param newest the newest revision that is known to be chosen
 * @param firstVotingNumber the first revision number that this issuer may vote on; {@link
 *     #UNKNOWN_NUMBER} while it does not know
 */
public record ConsensusState(
    Ballot promised,
    Optional<AcceptedProposal> accepted,
    Optional<ChosenRevision> newest,
    long firstVotingNumber) {
  /** The first voting number of an issuer that may not vote on any. */
  public static final long UNKNOWN_NUMBER = Long.MAX_VALUE;

  /**
   * A proposal that this acceptor has accepted.
   *
   * @param ballot the ballot under which it was accepted
   * @param revision what was accepted
   * @param document the document of the revision, to the byte
   */
  public record AcceptedProposal(Ballot ballot, Revision revision, byte[] document) {}

  /**
   * A revision that a majority of the issuers has accepted.
   *
   * @param notice the revision with the votes that prove it
   * @param document its document; empty while it is not held
   */
  public record ChosenRevision(RevisionMessage.Notice notice, Optional<byte[]> document) {
    /** What identifies it. */
    public Revision revision() {
      return notice.revision();
    }
  }

  /** The state of an issuer that has never voted. */
  public static ConsensusState initial() {
    return new ConsensusState(Ballot.NONE, Optional.empty(), Optional.empty(), 1);
  }

  /** The state of an issuer that may have voted and has lost its store: it abstains at first. */
  public static ConsensusState lost() {
    return new ConsensusState(Ballot.NONE, Optional.empty(), Optional.empty(), UNKNOWN_NUMBER);
  }

  /** The number of the newest revision that is known to be chosen; 0 for none. */
  public long newestNumber() {
    return newest.map(chosen -> chosen.revision().number()).orElse(0L);
  }

  /** The newest revision that is known to be chosen. */
  public Optional<Revision> newestRevision() {
    return newest.map(ChosenRevision::revision);
  }

  /** The revision that was accepted for the number after the newest chosen one. */
  public Optional<Revision> acceptedRevision() {
    return accepted.map(AcceptedProposal::revision);
  }

  /** The document of that revision if it is the accepted one. */
  public Optional<byte[]> acceptedDocument(Revision revision) {
    return accepted
        .filter(proposal -> proposal.revision().equals(revision))
        .map(AcceptedProposal::document);
  }

  /** Whether this issuer may vote on the number after the newest chosen one. */
  public boolean mayVote() {
    return newestNumber() + 1 >= firstVotingNumber;
  }

  /** Whether the document of the newest chosen revision is held, or none is chosen. */
  public boolean holdsNewestDocument() {
    return newest.map(chosen -> chosen.document().isPresent()).orElse(true);
  }

  /** The same state with a higher ballot promised. */
  public ConsensusState withPromised(Ballot ballot) {
    return new ConsensusState(ballot, accepted, newest, firstVotingNumber);
  }

  /** The same state with that proposal accepted, which promises its ballot as well. */
  public ConsensusState withAccepted(AcceptedProposal proposal) {
    return new ConsensusState(proposal.ballot(), Optional.of(proposal), newest, firstVotingNumber);
  }

  /** The same state with a newest chosen revision; what was accepted up to its number goes. */
  public ConsensusState withNewest(ChosenRevision chosen) {
    Optional<AcceptedProposal> later =
        accepted.filter(p -> p.revision().number() > chosen.revision().number());
    return new ConsensusState(promised, later, Optional.of(chosen), firstVotingNumber);
  }

  /** The same state, in which this issuer may vote from that number on. */
  public ConsensusState withFirstVotingNumber(long number) {
    return new ConsensusState(promised, accepted, newest, number);
  }
}
