package reachloom.revision;

/**
 * A ballot of Paxos: a proposer's right to be voted for, until a higher one is promised. The higher
 * round wins; of equal rounds the issuer whose name sorts later.
 *
 * @param round counts from 1; 0 in {@link #NONE} alone
 * @param issuer the name of the issuer that proposes under it; never null
 */
public record Ballot(long round, String issuer) implements Comparable<Ballot> {
  /** Lower than each ballot that is used. */
  public static final Ballot NONE = new Ballot(0, "");

  @Override
  public int compareTo(Ballot other) {
    int byRound = Long.compare(round, other.round);
    return byRound != 0 ? byRound : issuer.compareTo(other.issuer);
  }
}
