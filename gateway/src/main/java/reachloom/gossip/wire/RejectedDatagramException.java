package reachloom.gossip.wire;

import reachloom.gossip.RejectionReason;

/**
 * A datagram that is not accepted, with the reason as it is counted. Thrown for each bad datagram
 * of a flood, it carries no stack trace.
 */
public final class RejectedDatagramException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient RejectionReason reason;

  /** Creates an exception with that reason, which is also its message. */
  public RejectedDatagramException(RejectionReason reason) {
    super(reason.name(), null, false, false);
    this.reason = reason;
  }

  /** Returns why the datagram was rejected. */
  public RejectionReason reason() {
    return reason;
  }
}
