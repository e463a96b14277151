package reachloom.revision;

/** A request of one ballot to all issuers, and the answers to it: one of the phases of Paxos. */
sealed interface BallotRound permits PromiseRound, AcceptRound {
  /** What each issuer is asked. */
  RevisionMessage request();

  /** Whether the issuer with that name has answered. */
  boolean hasAnswered(String issuer);

  /** Whether a majority has answered. */
  boolean hasQuorum();
}
