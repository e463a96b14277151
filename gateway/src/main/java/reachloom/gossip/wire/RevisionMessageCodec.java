package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import reachloom.revision.RevisionMessage;

/**
 * Encodes and decodes revision messages, which are big-endian:
 *
 * <pre>
 * messages = (length:2 kind:1 bytes)*
 * revision = number:8 previous:32 digest:32 size:4 issuedAt:8 issuer:text
 * ballot   = round:8 issuer:text
 * vote     = issuer:text length:1 signature
 * </pre>
 *
 * <p>Messages of unknown kinds, and bytes after the known fields of a message, are skipped. A new
 * message gets the next kind here, a method in {@link RevisionMessageWriter} and a case in {@link
 * #size}. Stateless and thread-safe.
 */
final class RevisionMessageCodec {
  static final byte HAVE = 1;
  static final byte NOTICE = 2;
  static final byte WANT = 3;
  static final byte PIECE = 4;
  static final byte ACKNOWLEDGEMENT = 5;
  static final byte CENSUS = 6;
  static final byte PREPARE = 7;
  static final byte PROMISE = 8;
  static final byte PROPOSE = 9;
  static final byte ACCEPTED = 10;
  static final byte REJECTED = 11;

  private static final int HEADER_BYTES = Short.BYTES + 1;

  /** The largest number of names in a {@link RevisionMessage.Census}. */
  private static final int MAX_LACKING_NAMES = 32;

  private RevisionMessageCodec() {}

  /** Returns the size of one message in bytes, including its length and kind. */
  static int size(RevisionMessage message) {
    return HEADER_BYTES + bodySize(message);
  }

  private static int bodySize(RevisionMessage message) {
    if (message instanceof RevisionMessage.Have) {
      return 3 * Long.BYTES;
    } else if (message instanceof RevisionMessage.Notice notice) {
      return RevisionFields.size(notice.revision()) + RevisionFields.size(notice.votes());
    } else if (message instanceof RevisionMessage.Want) {
      return 3 * Long.BYTES + Short.BYTES;
    } else if (message instanceof RevisionMessage.Chunk piece) {
      return 2 * Long.BYTES + 3 * Short.BYTES + piece.bytes().length;
    } else if (message instanceof RevisionMessage.Acknowledgement acknowledgement) {
      return 2 * Long.BYTES + GossipCodec.textSize(acknowledgement.refusal());
    } else if (message instanceof RevisionMessage.Census census) {
      int names = census.lacking().stream().mapToInt(GossipCodec::textSize).sum();
      return 4 * Short.BYTES + Long.BYTES + Integer.BYTES + 1 + names;
    } else if (message instanceof RevisionMessage.Prepare prepare) {
      return RevisionFields.size(prepare.ballot()) + Long.BYTES;
    } else if (message instanceof RevisionMessage.Promise promise) {
      return RevisionFields.size(promise.ballot())
          + Long.BYTES
          + RevisionFields.size(promise.acceptedUnder())
          + 1
          + promise.accepted().map(RevisionFields::size).orElse(0);
    } else if (message instanceof RevisionMessage.Propose propose) {
      return RevisionFields.size(propose.ballot()) + RevisionFields.size(propose.revision());
    } else if (message instanceof RevisionMessage.Accepted accepted) {
      return RevisionFields.size(accepted.ballot())
          + Long.BYTES
          + RevisionFields.size(accepted.vote());
    } else if (message instanceof RevisionMessage.Rejected rejected) {
      return RevisionFields.size(rejected.ballot()) + RevisionFields.size(rejected.promised());
    }
    throw new IllegalArgumentException("revision message without a wire format: " + message);
  }

  /** Writes one message, preceded by its length and kind. */
  static void put(ByteBuffer out, RevisionMessage message) {
    out.putShort((short) (size(message) - Short.BYTES));
    message.dispatch(new RevisionMessageWriter(out));
  }

  /**
   * Reads all remaining messages; those of unknown kinds are skipped.
   *
   * @throws BufferUnderflowException if a message is malformed, as for the rest of a datagram
   */
  static List<RevisionMessage> readAll(ByteBuffer in) {
    List<RevisionMessage> messages = new ArrayList<>();
    while (in.hasRemaining()) {
      read(GossipCodec.slice(in, RevisionFields.readUnsignedShort(in))).ifPresent(messages::add);
    }
    return messages;
  }

  private static Optional<RevisionMessage> read(ByteBuffer in) {
    byte kind = in.get();
    return Optional.ofNullable(
        switch (kind) {
          case HAVE ->
              new RevisionMessage.Have(
                  RevisionFields.readNumber(in), in.getLong(), RevisionFields.readNumber(in));
          case NOTICE ->
              new RevisionMessage.Notice(
                  RevisionFields.readRevision(in), RevisionFields.readVotes(in));
          case WANT ->
              new RevisionMessage.Want(
                  RevisionFields.readNumber(in),
                  RevisionFields.readNumber(in),
                  in.getLong(),
                  RevisionFields.readUnsignedShort(in));
          case PIECE -> readPiece(in);
          case ACKNOWLEDGEMENT ->
              new RevisionMessage.Acknowledgement(
                  RevisionFields.readNumber(in), in.getLong(), RevisionFields.readPrintable(in));
          case CENSUS -> readCensus(in);
          case PREPARE ->
              new RevisionMessage.Prepare(
                  RevisionFields.readBallot(in), RevisionFields.readNumber(in));
          case PROMISE -> readPromise(in);
          case PROPOSE ->
              new RevisionMessage.Propose(
                  RevisionFields.readBallot(in), RevisionFields.readRevision(in));
          case ACCEPTED ->
              new RevisionMessage.Accepted(
                  RevisionFields.readBallot(in),
                  RevisionFields.readNumber(in),
                  RevisionFields.readVote(in));
          case REJECTED ->
              new RevisionMessage.Rejected(
                  RevisionFields.readBallot(in), RevisionFields.readBallot(in));
          default -> null; // a kind of a later version
        });
  }

  private static RevisionMessage readPiece(ByteBuffer in) {
    return new RevisionMessage.Chunk(
        RevisionFields.readNumber(in),
        RevisionFields.readNumber(in),
        RevisionFields.readUnsignedShort(in),
        RevisionFields.readUnsignedShort(in),
        RevisionFields.readBytes(in, RevisionFields.readUnsignedShort(in)));
  }

  private static RevisionMessage readPromise(ByteBuffer in) {
    return new RevisionMessage.Promise(
        RevisionFields.readBallot(in),
        RevisionFields.readNumber(in),
        RevisionFields.readBallot(in),
        in.get() == 0 ? Optional.empty() : Optional.of(RevisionFields.readRevision(in)));
  }

  private static RevisionMessage readCensus(ByteBuffer in) {
    int place = RevisionFields.readUnsignedShort(in);
    long number = RevisionFields.readNumber(in);
    int members = RevisionFields.readUnsignedShort(in);
    int inForce = RevisionFields.readUnsignedShort(in);
    int refused = RevisionFields.readUnsignedShort(in);
    long longestMillis = Integer.toUnsignedLong(in.getInt());
    int count = RevisionFields.readUnsignedByte(in);
    if (count > MAX_LACKING_NAMES) {
      throw new BufferUnderflowException();
    }
    List<String> lacking = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      lacking.add(GossipCodec.readName(in));
    }
    return new RevisionMessage.Census(
        place, number, members, inForce, refused, lacking, longestMillis);
  }
}
