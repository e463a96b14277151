package reachloom.revision;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import reachloom.scheduler.state.TokenBucket;

/**
 * Verifies that a revision is well-formed and proved by the votes of a quorum of the issuers.
 * Confined to the thread of {@link RevisionDissemination}.
 */
final class RevisionVerifier {
  /** Maximum rate of proof checks; each one takes up to a quorum of signature verifications. */
  private static final int PROOFS_PER_SECOND = 32;

  private static final int MAX_VOTES = 9;
  private static final int MAX_NAME_LENGTH = 64;

  private final DisseminationMember self;
  private final TokenBucket proofs = new TokenBucket(PROOFS_PER_SECOND, PROOFS_PER_SECOND);

  RevisionVerifier(DisseminationMember self) {
    this.self = self;
  }

  /** Returns whether all fields are within their limits; does not verify the votes. */
  static boolean isWellFormed(Revision revision, List<Vote> votes) {
    return revision.number() > 0
        && revision.previous().length == Revision.HASH_BYTES
        && revision.digest().length == Revision.HASH_BYTES
        && revision.size() >= 0
        && revision.size() <= Revision.MAX_DOCUMENT_BYTES
        && revision.issuer().length() <= MAX_NAME_LENGTH
        && votes.size() <= MAX_VOTES;
  }

  /** Takes a permit for one proof check; false if the rate limit is reached. */
  boolean tryAcquire(long nowNanos) {
    return proofs.take(nowNanos);
  }

  /** Returns whether a quorum of the issuers has signed the revision. */
  boolean isProved(Revision revision, List<Vote> votes) {
    byte[] chain = revision.chain();
    Set<String> voters = new TreeSet<>();
    for (Vote vote : votes) {
      String issuer = vote.issuer();
      if (voters.size() < self.quorum()
          && self.trusts(issuer)
          && !voters.contains(issuer)
          && self.signatures().verify(issuer, chain, vote.signature())) {
        voters.add(issuer);
      }
    }
    return voters.size() >= self.quorum();
  }
}
