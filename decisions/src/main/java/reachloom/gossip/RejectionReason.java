package reachloom.gossip;

/**
 * Why a datagram was not taken in. Rejections are counted, and never logged one by one; the names
 * are part of the text of {@code reachloom gossip status}.
 */
public enum RejectionReason {
  /** Too large, too small, or not of this form. */
  FORM,
  /** Of a version that is not understood here. */
  VERSION,
  /** Of another cluster. */
  CLUSTER,
  /** Its time is too far from this node's: old, or from a clock that is wrong. */
  TIME,
  /** Its sequence number has been used before. */
  REPLAYED,
  /** From a sender that is not known, and without a certificate. */
  UNKNOWN,
  /** Over the rate limit of signature checks, of its source or of all. */
  BUDGET,
  /**
   * Its certificate is not signed by a trusted authority, not yet or no longer valid, or of another
   * name.
   */
  CERTIFICATE,
  /** Its certificate is revoked. */
  REVOKED,
  /** Its signature does not hold. */
  FORGED,
  /** Its signature holds, but its content makes no sense. */
  NONSENSE
}
