package reachloom.revision;

/**
 * One issuer's signature over the chain of a revision that it has accepted and whose document it
 * holds. The votes of a majority prove that the revision was chosen.
 *
 * @param issuer the name of the issuer that voted
 * @param signature as {@link SignatureScheme#sign} made it (Ed25519); not copied
 */
public record Vote(String issuer, byte[] signature) {}
