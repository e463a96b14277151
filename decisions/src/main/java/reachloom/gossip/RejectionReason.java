package reachloom.gossip;

/** Why a datagram was not taken; counted, never logged one by one. */
public enum RejectionReason {
  /** Too large, too small, or not of this form. */
  FORM,
  /** A version that is not spoken here. */
  VERSION,
  CLUSTER,
  /** Its time is too far from ours: old, or from a clock that is wrong. */
  TIME,
  REPLAYED,
  /** Nobody known, and without a certificate. */
  UNKNOWN,
  /** Over the budget for checking signatures, of its source or of all. */
  BUDGET,
  /**
   * Its certificate is not signed by a trusted authority, not yet or no longer valid, or of another
   * name.
   */
  CERTIFICATE,
  REVOKED,
  /** The signature does not hold. */
  FORGED,
  /** Signed well, and yet nonsense. */
  NONSENSE
}
