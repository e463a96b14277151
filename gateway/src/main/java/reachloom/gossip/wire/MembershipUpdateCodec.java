package reachloom.gossip.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipUpdate;

/**
 * Encodes and decodes membership updates:
 *
 * <pre>
 * update = length:1 member:text address:6 incarnation:8 state:1 accuser:text [place:2]
 * </pre>
 *
 * <p>The place is omitted if it is unknown. Bytes after the known fields of an update are skipped,
 * so that later versions may add fields. Stateless and thread-safe.
 */
final class MembershipUpdateCodec {
  private static final MemberState[] STATES = MemberState.values();

  private MembershipUpdateCodec() {}

  /** Returns the size of one update in bytes, including its length byte. */
  static int size(MembershipUpdate update) {
    return 1
        + WireFields.textSize(update.member())
        + WireFields.ADDRESS_BYTES
        + Long.BYTES
        + 1
        + WireFields.textSize(update.accuser())
        + (update.place() == 0 ? 0 : Short.BYTES);
  }

  /** Returns the total size of several updates in bytes. */
  static int size(List<MembershipUpdate> updates) {
    return updates.stream().mapToInt(MembershipUpdateCodec::size).sum();
  }

  static void put(ByteBuffer out, MembershipUpdate update) {
    out.put((byte) (size(update) - 1));
    WireFields.putText(out, update.member());
    WireFields.putAddress(out, update.address());
    out.putLong(update.incarnation()).put((byte) update.state().ordinal());
    WireFields.putText(out, update.accuser());
    if (update.place() != 0) {
      out.putShort((short) update.place());
    }
  }

  /**
   * Reads updates up to the end of the buffer. Updates that this version can't use (an unknown
   * state, an empty name, a negative incarnation) are omitted.
   */
  static List<MembershipUpdate> readAll(ByteBuffer in) {
    List<MembershipUpdate> updates = new ArrayList<>();
    while (in.hasRemaining()) {
      ByteBuffer fields = WireFields.slice(in, Byte.toUnsignedInt(in.get()));
      String member = WireFields.readName(fields);
      long address = WireFields.readAddress(fields);
      long incarnation = fields.getLong();
      int state = fields.get();
      String accuser = WireFields.readName(fields);
      int place = fields.remaining() < Short.BYTES ? 0 : Short.toUnsignedInt(fields.getShort());
      if (state >= 0 && state < STATES.length && !member.isEmpty() && incarnation >= 0) {
        updates.add(
            new MembershipUpdate(member, address, incarnation, STATES[state], accuser, place));
      }
    }
    return updates;
  }
}
