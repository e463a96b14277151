package reachloom.revision;

/**
 * One issuer's signature over the {@link Revision#chain} of a revision that it has accepted and
 * whose document it holds. The votes of a majority prove that the revision was chosen.
 *
 * @param issuer the name of the issuer that voted
 * @param signature the result of {@link SignatureScheme#sign} (Ed25519); not copied
 */
public record Vote(String issuer, byte[] signature) {}
