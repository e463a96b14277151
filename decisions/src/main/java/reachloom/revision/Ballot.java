package reachloom.revision;

/**
 * A Paxos ballot number. A ballot is valid until a higher one is promised. Ballots are ordered by
 * round, then by the name of the issuer.
 *
 * @param round the round, from 1; 0 only in {@link #NONE}
 * @param issuer the name of the issuer that proposes under this ballot; never null
 */
public record Ballot(long round, String issuer) implements Comparable<Ballot> {
  /** Lower than every ballot of a proposer. */
  public static final Ballot NONE = new Ballot(0, "");

  @Override
  public int compareTo(Ballot other) {
    int byRound = Long.compare(round, other.round);
    return byRound != 0 ? byRound : issuer.compareTo(other.issuer);
  }
}
