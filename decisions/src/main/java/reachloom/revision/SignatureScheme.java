package reachloom.revision;

/**
 * The signatures of issuers, made and proved outside this package; both are functions without a
 * state.
 */
public interface SignatureScheme {
  /** This instance's signature over a chain; only issuers are asked. */
  byte[] sign(byte[] chain);

  /** Whether that is the signature over the chain of the issuer with that name. */
  boolean proves(String issuer, byte[] chain, byte[] signature);
}
