package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import reachloom.revision.Ballot;
import reachloom.revision.Revision;
import reachloom.revision.Vote;

/**
 * Encodes and decodes the fields that several revision messages share, in the format that {@link
 * RevisionMessageCodec} documents. Readers throw {@link BufferUnderflowException} for malformed
 * fields, as for the rest of a datagram.
 */
final class RevisionFields {
  private static final int FIXED_REVISION_BYTES =
      Long.BYTES + 2 * Revision.HASH_BYTES + Integer.BYTES + Long.BYTES;

  /** The largest number of issuers. */
  private static final int MAX_VOTES = 9;

  private RevisionFields() {}

  // ---- Sizes ----

  static int size(Revision revision) {
    return FIXED_REVISION_BYTES + GossipCodec.textSize(revision.issuer());
  }

  static int size(Vote vote) {
    return GossipCodec.textSize(vote.issuer()) + 1 + vote.signature().length;
  }

  static int size(List<Vote> votes) {
    return 1 + votes.stream().mapToInt(RevisionFields::size).sum();
  }

  static int size(Ballot ballot) {
    return Long.BYTES + GossipCodec.textSize(ballot.issuer());
  }

  // ---- Writing ----

  static void write(ByteBuffer out, Revision revision) {
    out.putLong(revision.number())
        .put(revision.previous())
        .put(revision.digest())
        .putInt(revision.size())
        .putLong(revision.issuedAt());
    GossipCodec.putText(out, revision.issuer());
  }

  static void write(ByteBuffer out, Vote vote) {
    GossipCodec.putText(out, vote.issuer());
    out.put((byte) vote.signature().length).put(vote.signature());
  }

  static void write(ByteBuffer out, List<Vote> votes) {
    out.put((byte) votes.size());
    votes.forEach(vote -> write(out, vote));
  }

  static void write(ByteBuffer out, Ballot ballot) {
    out.putLong(ballot.round());
    GossipCodec.putText(out, ballot.issuer());
  }

  // ---- Reading ----

  /** Reads the number of a revision or of a round, which is never negative. */
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
            GossipCodec.readName(in));
    if (revision.size() < 0 || revision.size() > Revision.MAX_DOCUMENT_BYTES) {
      throw new BufferUnderflowException();
    }
    return revision;
  }

  static Vote readVote(ByteBuffer in) {
    return new Vote(GossipCodec.readName(in), readBytes(in, readUnsignedByte(in)));
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
    return new Ballot(readNumber(in), GossipCodec.readName(in));
  }

  /** Reads a text for operators; characters other than printable ASCII are replaced. */
  static String readPrintable(ByteBuffer in) {
    return GossipCodec.readText(in).replaceAll("[^\\x20-\\x7e]", "?");
  }
}
