package reachloom.revision;

/** One phase of a Paxos ballot: a request to all issuers, and their answers. */
sealed interface BallotRound permits PromiseRound, AcceptRound {
  /** Returns the request that is sent to each issuer. */
  RevisionMessage request();

  /** Returns whether the issuer with that name has answered. */
  boolean hasAnswered(String issuer);

  /** Returns whether a majority has answered. */
  boolean hasQuorum();
}
