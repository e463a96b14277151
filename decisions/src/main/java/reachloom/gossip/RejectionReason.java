package reachloom.gossip;

/**
 * The reason for the rejection of a datagram. Rejections are counted and never logged individually;
 * the names of the constants appear in the output of {@code reachloom gossip status}.
 */
public enum RejectionReason {
  /** The datagram is too large, too small, or malformed. */
  FORM,
  /** The protocol version is not supported. */
  VERSION,
  /** The datagram belongs to another cluster. */
  CLUSTER,
  /**
   * The time of sending is too far from this node's time: the datagram is old, or a clock is wrong.
   */
  TIME,
  /** The sequence number has been used before. */
  REPLAYED,
  /** The sender is unknown, and no certificate is attached. */
  UNKNOWN,
  /** The rate limit of signature checks is exceeded, for its source or in total. */
  BUDGET,
  /**
   * The certificate is not signed by a trusted authority, is not yet or no longer valid, or has
   * another name.
   */
  CERTIFICATE,
  /** The certificate is revoked. */
  REVOKED,
  /** The signature is invalid. */
  FORGED,
  /** The signature is valid, but the content is not. */
  NONSENSE
}
