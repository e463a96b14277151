package reachloom.revision;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Phase one of Paxos for one ballot and one revision number: collects promises until a majority has
 * promised. Confined to the thread of its {@link Proposer}.
 */
final class PromiseRound implements BallotRound {
  private final Ballot ballot;
  private final long number;
  private final int quorum;
  private final Map<String, RevisionMessage.Promise> promises = new TreeMap<>();

  PromiseRound(Ballot ballot, long number, int quorum) {
    this.ballot = ballot;
    this.number = number;
    this.quorum = quorum;
  }

  @Override
  public RevisionMessage.Prepare request() {
    return new RevisionMessage.Prepare(ballot, number);
  }

  /** Returns whether a promise answers this round's request. */
  boolean isAnsweredBy(RevisionMessage.Promise promise) {
    return promise.ballot().equals(ballot) && promise.number() == number;
  }

  /** Records an issuer's promise; a repeated promise replaces the earlier one. */
  void add(String issuer, RevisionMessage.Promise promise) {
    promises.put(issuer, promise);
  }

  @Override
  public boolean hasAnswered(String issuer) {
    return promises.containsKey(issuer);
  }

  @Override
  public boolean hasQuorum() {
    return promises.size() >= quorum;
  }

  /**
   * Returns the revision that was accepted under the highest ballot. It must be proposed, since it
   * may already be chosen. Empty if no issuer has accepted one; any value may then be proposed.
   */
  Optional<Revision> highestAccepted() {
    RevisionMessage.Promise highest = null;
    for (RevisionMessage.Promise promise : promises.values()) {
      boolean higher =
          promise.accepted().isPresent()
              && (highest == null
                  || promise.acceptedUnder().compareTo(highest.acceptedUnder()) > 0);
      highest = higher ? promise : highest;
    }
    return highest == null ? Optional.empty() : highest.accepted();
  }

  /** Returns the names of the issuers that have accepted a revision and thus hold its document. */
  List<String> holdersOf(Revision revision) {
    return promises.entrySet().stream()
        .filter(entry -> entry.getValue().accepted().filter(revision::equals).isPresent())
        .map(Map.Entry::getKey)
        .toList();
  }
}
