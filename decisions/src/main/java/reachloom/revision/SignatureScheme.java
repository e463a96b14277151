package reachloom.revision;

/**
 * Creates and verifies signatures of issuers; implemented outside this package. Implementations are
 * stateless, and both methods may be called from any thread.
 */
public interface SignatureScheme {
  /**
   * Signs a chain hash with this issuer's key.
   *
   * @param chain the bytes of {@link Revision#chain()}
   * @return the signature; never null
   */
  byte[] sign(byte[] chain);

  /**
   * Returns whether a signature over a chain hash is valid for the issuer with that name; false for
   * an unknown issuer.
   */
  boolean verify(String issuer, byte[] chain, byte[] signature);
}
