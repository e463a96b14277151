package reachloom.revision;

/**
 * Signatures of issuers, made and verified outside this package. Both methods are functions without
 * a state, and may be called from any thread.
 */
public interface SignatureScheme {
  /**
   * This issuer's signature over a chain.
   *
   * @param chain the bytes of {@link Revision#chain()}
   * @return the signature; never null
   */
  byte[] sign(byte[] chain);

  /**
   * Whether a signature over a chain is that of the issuer with that name; false for an issuer that
   * is not known.
   */
  boolean verify(String issuer, byte[] chain, byte[] signature);
}
