package reachloom.gossip.wire;

import java.util.Optional;

/** What a section of a datagram holds; the number that stands for it on the wire never changes. */
enum SectionKind {
  /** The one {@link reachloom.membership.MembershipMessage} that a datagram is sent for. */
  MESSAGE(1),
  /** Membership updates, piggybacked. */
  MEMBERSHIP_UPDATES(2),
  /** Peer reports of engines, piggybacked. */
  PEER_REPORTS(3),
  /** Messages about revisions of the configuration, piggybacked; only where there are any. */
  REVISION_MESSAGES(4),
  /** The sender's place: region and zone; only where it is known. */
  PLACE(5);

  private static final SectionKind[] KINDS = values();

  private final byte code;

  SectionKind(int code) {
    this.code = (byte) code;
  }

  /** Returns the number that stands for this kind on the wire. */
  byte code() {
    return code;
  }

  /** Returns the kind of that number, or empty for one of a later version. */
  static Optional<SectionKind> of(byte code) {
    for (SectionKind kind : KINDS) {
      if (kind.code == code) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
