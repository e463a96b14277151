package reachloom.revision;

import java.util.Map;
import java.util.TreeMap;

/**
 * Phase two of Paxos for one ballot and one revision: collects votes until a majority has accepted
 * it. Only votes for its own ballot are counted: signatures do not cover the ballot, and votes for
 * different ballots do not add up to a majority. Confined to the thread of its {@link Proposer}.
 */
final class AcceptRound implements BallotRound {
  private final Ballot ballot;
  private final long number;
  private final Revision revision;
  private final byte[] document;
  private final int quorum;
  private final Map<String, Vote> votes = new TreeMap<>();

  /**
   * Creates a round without votes.
   *
   * @param number the revision number of this ballot's promises
   */
  AcceptRound(Ballot ballot, long number, Revision revision, byte[] document, int quorum) {
    this.ballot = ballot;
    this.number = number;
    this.revision = revision;
    this.document = document;
    this.quorum = quorum;
  }

  @Override
  public RevisionMessage.Propose request() {
    return new RevisionMessage.Propose(ballot, revision);
  }

  /** Returns the proposed document. */
  byte[] document() {
    return document;
  }

  /** Returns whether an answer holds a valid vote of its sender that is not counted yet. */
  boolean isNewVote(RevisionMessage.Accepted answer, String sender, SignatureScheme signatures) {
    return answer.ballot().equals(ballot)
        && answer.number() == number
        && answer.vote().issuer().equals(sender)
        && !votes.containsKey(sender)
        && signatures.verify(sender, revision.chain(), answer.vote().signature());
  }

  /** Counts a vote. */
  void add(Vote vote) {
    votes.put(vote.issuer(), vote);
  }

  @Override
  public boolean hasAnswered(String issuer) {
    return votes.containsKey(issuer);
  }

  @Override
  public boolean hasQuorum() {
    return votes.size() >= quorum;
  }

  /** Returns the revision with the votes of a majority, which prove that it is chosen. */
  RevisionMessage.Notice notice() {
    return new RevisionMessage.Notice(revision, votes.values().stream().limit(quorum).toList());
  }
}
