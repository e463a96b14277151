package reachloom.gossip.wire;

import reachloom.gossip.RejectionReason;

/**
 * Thrown when a datagram is rejected, with the reason under which the rejection is counted. It
 * carries no stack trace, since it is thrown for each invalid datagram of a flood.
 */
public final class RejectedDatagramException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient RejectionReason reason;

  /** Creates an exception whose message is the name of the reason. */
  public RejectedDatagramException(RejectionReason reason) {
    super(reason.name(), null, false, false);
    this.reason = reason;
  }

  /** Returns why the datagram was rejected. */
  public RejectionReason reason() {
    return reason;
  }
}
