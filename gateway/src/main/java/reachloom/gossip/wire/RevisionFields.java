package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import reachloom.revision.Ballot;
import reachloom.revision.Revision;
import reachloom.revision.Vote;

/**
 * The fields that several revision messages have, as bytes; the form is at {@link
 * RevisionMessageCodec}. What can't be read throws {@link BufferUnderflowException}, as the rest of
 * a datagram does.
 */
final class RevisionFields {
  private static final int FIXED_REVISION_BYTES =
      Long.BYTES + 2 * Revision.HASH_BYTES + Integer.BYTES + Long.BYTES;

  /** As many as there may be issuers. */
  private static final int MAX_VOTES = 9;

  private RevisionFields() {}

  // ---- Sizes ----

  static int size(Revision revision) {
    return FIXED_REVISION_BYTES + GossipCodec.text(revision.issuer());
  }

  static int size(Vote vote) {
    return GossipCodec.text(vote.issuer()) + 1 + vote.signature().length;
  }

  static int size(List<Vote> votes) {
    return 1 + votes.stream().mapToInt(RevisionFields::size).sum();
  }

  static int size(Ballot ballot) {
    return Long.BYTES + GossipCodec.text(ballot.issuer());
  }

  // ---- Writing ----

  static void write(ByteBuffer out, Revision revision) {
    out.putLong(revision.number())
        .put(revision.previous())
        .put(revision.digest())
        .putInt(revision.size())
        .putLong(revision.issuedAt());
    GossipCodec.put(out, revision.issuer());
  }

  static void write(ByteBuffer out, Vote vote) {
    GossipCodec.put(out, vote.issuer());
    out.put((byte) vote.signature().length).put(vote.signature());
  }

  static void write(ByteBuffer out, List<Vote> votes) {
    out.put((byte) votes.size());
    votes.forEach(vote -> write(out, vote));
  }

  static void write(ByteBuffer out, Ballot ballot) {
    out.putLong(ballot.round());
    GossipCodec.put(out, ballot.issuer());
  }

  // ---- Reading ----

  /** A number of a revision or of a round: never negative. */
  static long readNumber(ByteBuffer in) {
    long number = in.getLong();
    if (number < 0) {
      throw new BufferUnderflowException();
    }
    return number;
  }

  static int readUnsignedByte(ByteBuffer in) {
    return Byte.toUnsignedInt(in.get());
  }

  static int readUnsignedShort(ByteBuffer in) {
    return Short.toUnsignedInt(in.getShort());
  }

  static byte[] readBytes(ByteBuffer in, int length) {
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return bytes;
  }

  static Revision readRevision(ByteBuffer in) {
    Revision revision =
        new Revision(
            readNumber(in),
            readBytes(in, Revision.HASH_BYTES),
            readBytes(in, Revision.HASH_BYTES),
            in.getInt(),
            in.getLong(),
            GossipCodec.name(in));
    if (revision.size() < 0 || revision.size() > Revision.MAX_DOCUMENT_BYTES) {
      throw new BufferUnderflowException();
    }
    return revision;
  }

  static Vote readVote(ByteBuffer in) {
    return new Vote(GossipCodec.name(in), readBytes(in, readUnsignedByte(in)));
  }

  static List<Vote> readVotes(ByteBuffer in) {
    int count = readUnsignedByte(in);
    if (count > MAX_VOTES) {
      throw new BufferUnderflowException();
    }
    List<Vote> votes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      votes.add(readVote(in));
    }
    return votes;
  }

  static Ballot readBallot(ByteBuffer in) {
    return new Ballot(readNumber(in), GossipCodec.name(in));
  }

  /** A text for operators: printable ASCII, whatever came. */
  static String readPrintable(ByteBuffer in) {
    return GossipCodec.text(in).replaceAll("[^\\x20-\\x7e]", "?");
  }
}
