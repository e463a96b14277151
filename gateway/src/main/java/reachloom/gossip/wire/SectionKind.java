package reachloom.gossip.wire;

import java.util.Optional;

/** The kinds of sections in a datagram. The number of a kind on the wire never changes. */
enum SectionKind {
  /** The {@link reachloom.membership.MembershipMessage}, exactly one in each datagram. */
  MESSAGE(1),
  /** Membership updates, piggybacked. */
  MEMBERSHIP_UPDATES(2),
  /** Peer reports of engines, piggybacked. */
  PEER_REPORTS(3),
  /** Messages about revisions of the configuration, piggybacked; absent if there are none. */
  REVISION_MESSAGES(4),
  /** The sender's place (region and zone); absent if it is unknown. */
  PLACE(5);

  private static final SectionKind[] KINDS = values();

  private final byte code;

  SectionKind(int code) {
    this.code = (byte) code;
  }

  /** Returns the number of this kind on the wire. */
  byte code() {
    return code;
  }

  /** Returns the kind with that number, or empty for a kind of a later version. */
  static Optional<SectionKind> of(byte code) {
    for (SectionKind kind : KINDS) {
      if (kind.code == code) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
