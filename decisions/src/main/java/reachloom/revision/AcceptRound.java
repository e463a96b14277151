package reachloom.revision;

import java.util.Map;
import java.util.TreeMap;

/**
 * Phase two of Paxos for one ballot and one revision: collects votes until a majority has accepted
 * it. Only votes of its own ballot are counted: signatures say nothing of ballots, and votes of
 * several ballots do not make a majority. Confined to the thread of its {@link Proposer}.
 */
final class AcceptRound implements BallotRound {
  private final Ballot ballot;
  private final long number;
  private final Revision revision;
  private final byte[] document;
  private final int quorum;
  private final Map<String, Vote> votes = new TreeMap<>();

  /**
   * A round without votes.
   *
   * @param number the number that the promises of this ballot were given for
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

  /** The proposed document. */
  byte[] document() {
    return document;
  }

  /** Whether an answer of that sender holds a vote that is not counted yet and is its own. */
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

  /** The revision with the votes of a majority: the proof that it is chosen. */
  RevisionMessage.Notice notice() {
    return new RevisionMessage.Notice(revision, votes.values().stream().limit(quorum).toList());
  }
}
