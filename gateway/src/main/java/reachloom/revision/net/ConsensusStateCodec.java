package reachloom.revision.net;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import reachloom.revision.Ballot;
import reachloom.revision.ConsensusNode;
import reachloom.revision.ConsensusState;
import reachloom.revision.ConsensusState.AcceptedProposal;
import reachloom.revision.ConsensusState.ChosenRevision;
import reachloom.revision.Revision;
import reachloom.revision.RevisionMessage;
import reachloom.revision.Vote;

/**
 * Encodes an issuer's {@link ConsensusState} for storage: a line that names the format, the names
 * of the issuer and its cluster, the fields, and a SHA-256 checksum over everything before it.
 * Numbers are big endian, strings have a two-byte length prefix ({@link
 * DataOutputStream#writeUTF}), and byte blocks a four-byte length prefix (-1 for none). Immutable.
 */
final class ConsensusStateCodec {
  /** The maximum size of a stored state: more than two documents, two revisions and all votes. */
  static final int MAX_BYTES = 4 * Revision.MAX_DOCUMENT_BYTES;

  private static final byte[] FORMAT = "reachloom issuer 1\n".getBytes(StandardCharsets.US_ASCII);

  private static final int CHECKSUM_BYTES = 32; // SHA-256
  private static final int MAX_SIGNATURE_BYTES = 256;
  private static final int NO_BLOCK = -1;

  private final String issuer;
  private final String cluster;

  /** Creates the codec for the states of one issuer. */
  ConsensusStateCodec(String issuer, String cluster) {
    this.issuer = issuer;
    this.cluster = cluster;
  }

  // ---- Writing ----

  /**
   * Returns the stored form of a state.
   *
   * @throws IOException if a name is too long to be stored
   */
  byte[] encode(ConsensusState state) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.write(FORMAT);
    out.writeUTF(issuer);
    out.writeUTF(cluster);
    write(out, state);
    bytes.writeBytes(checksum(bytes.toByteArray(), bytes.size()));
    return bytes.toByteArray();
  }

  private static void write(DataOutputStream out, ConsensusState state) throws IOException {
    write(out, state.promised());
    write(out, state.accepted().map(AcceptedProposal::ballot).orElse(Ballot.NONE));
    writeRevision(out, state.acceptedRevision());
    writeBlock(out, state.accepted().map(AcceptedProposal::document));
    writeRevision(out, state.newestRevision());
    if (state.newest().isPresent()) {
      List<Vote> votes = state.newest().get().notice().votes();
      out.writeByte(votes.size());
      for (Vote vote : votes) {
        out.writeUTF(vote.issuer());
        writeBlock(out, Optional.of(vote.signature()));
      }
    }
    writeBlock(out, state.newest().flatMap(ChosenRevision::document));
    out.writeLong(state.firstVotingNumber());
  }

  private static void write(DataOutputStream out, Ballot ballot) throws IOException {
    out.writeLong(ballot.round());
    out.writeUTF(ballot.issuer());
  }

  private static void writeRevision(DataOutputStream out, Optional<Revision> revision)
      throws IOException {
    out.writeBoolean(revision.isPresent());
    if (revision.isPresent()) {
      Revision present = revision.get();
      out.writeLong(present.number());
      out.write(present.previous());
      out.write(present.digest());
      out.writeInt(present.size());
      out.writeLong(present.issuedAt());
      out.writeUTF(present.issuer());
    }
  }

  private static void writeBlock(DataOutputStream out, Optional<byte[]> block) throws IOException {
    if (block.isPresent()) {
      out.writeInt(block.get().length);
      out.write(block.get());
    } else {
      out.writeInt(NO_BLOCK);
    }
  }

  private static byte[] checksum(byte[] bytes, int length) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(bytes, 0, length);
      return sha.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  // ---- Reading ----

  /**
   * Decodes a stored state.
   *
   * @throws StateFormatException if it is corrupt, of another version, or belongs to another issuer
   */
  ConsensusState decode(byte[] stored) throws StateFormatException {
    int length = stored.length - CHECKSUM_BYTES;
    if (length < FORMAT.length || !Arrays.equals(FORMAT, Arrays.copyOf(stored, FORMAT.length))) {
      throw new StateFormatException(
          "format", "is not an issuer state file of this format version");
    }
    byte[] checksum = Arrays.copyOfRange(stored, length, stored.length);
    if (!Arrays.equals(checksum(stored, length), checksum)) {
      throw new StateFormatException("checksum", "is corrupt: its checksum does not match");
    }
    try {
      int bodyLength = length - FORMAT.length;
      DataInputStream in =
          new DataInputStream(new ByteArrayInputStream(stored, FORMAT.length, bodyLength));
      checkOwner(in.readUTF(), in.readUTF());
      return read(in);
    } catch (IOException e) {
      throw new StateFormatException("state", "cannot be read: " + e.getMessage());
    }
  }

  private void checkOwner(String storedIssuer, String storedCluster) throws StateFormatException {
    if (!storedIssuer.equals(issuer) || !storedCluster.equals(cluster)) {
      throw new StateFormatException(
          "issuer",
          "belongs to issuer '"
              + storedIssuer
              + "' of '"
              + storedCluster
              + "', not to '"
              + issuer
              + "' of '"
              + cluster
              + "'");
    }
  }

  private static ConsensusState read(DataInputStream in) throws IOException, StateFormatException {
    Ballot promised = readBallot(in);
    Ballot acceptedUnder = readBallot(in);
    Optional<Revision> acceptedRevision = readRevision(in);
    Optional<byte[]> acceptedDocument = readBlock(in, Revision.MAX_DOCUMENT_BYTES);
    Optional<Revision> newestRevision = readRevision(in);
    List<Vote> votes = newestRevision.isPresent() ? readVotes(in) : List.of();
    Optional<byte[]> newestDocument = readBlock(in, Revision.MAX_DOCUMENT_BYTES);
    long firstVotingNumber = in.readLong();
    checkDocument("accepted", acceptedRevision.isPresent() == acceptedDocument.isPresent());
    checkDocument("accepted", matches(acceptedRevision, acceptedDocument));
    checkDocument("newest", matches(newestRevision, newestDocument));
    checkDocument("end", in.read() < 0);
    return new ConsensusState(
        promised,
        acceptedRevision.map(r -> new AcceptedProposal(acceptedUnder, r, acceptedDocument.get())),
        newestRevision.map(
            r -> new ChosenRevision(new RevisionMessage.Notice(r, votes), newestDocument)),
        firstVotingNumber);
  }

  private static boolean matches(Optional<Revision> revision, Optional<byte[]> document) {
    return document.isEmpty() || revision.filter(r -> r.describes(document.get())).isPresent();
  }

  private static void checkDocument(String field, boolean fits) throws StateFormatException {
    if (!fits) {
      throw new StateFormatException(
          field, "contains a document that does not match its revision, or trailing bytes");
    }
  }

  private static Ballot readBallot(DataInputStream in) throws IOException {
    return new Ballot(in.readLong(), in.readUTF());
  }

  private static Optional<Revision> readRevision(DataInputStream in) throws IOException {
    if (!in.readBoolean()) {
      return Optional.empty();
    }
    long number = in.readLong();
    byte[] previous = new byte[Revision.HASH_BYTES];
    in.readFully(previous);
    byte[] digest = new byte[Revision.HASH_BYTES];
    in.readFully(digest);
    return Optional.of(
        new Revision(number, previous, digest, in.readInt(), in.readLong(), in.readUTF()));
  }

  private static List<Vote> readVotes(DataInputStream in) throws IOException, StateFormatException {
    int count = in.readByte();
    if (count < 0 || count > ConsensusNode.MAX_ISSUERS) {
      throw new StateFormatException(
          "votes",
          "contains " + count + " votes; at most " + ConsensusNode.MAX_ISSUERS + " are allowed");
    }
    List<Vote> votes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String voter = in.readUTF();
      Optional<byte[]> signature = readBlock(in, MAX_SIGNATURE_BYTES);
      votes.add(
          new Vote(
              voter,
              signature.orElseThrow(
                  () -> new IOException("vote of '" + voter + "' has no signature"))));
    }
    return List.copyOf(votes);
  }

  private static Optional<byte[]> readBlock(DataInputStream in, int maxBytes) throws IOException {
    int length = in.readInt();
    if (length < 0) {
      return Optional.empty();
    }
    if (length > maxBytes) {
      throw new IOException("block has " + length + " bytes; at most " + maxBytes + " are allowed");
    }
    byte[] block = new byte[length];
    in.readFully(block);
    return Optional.of(block);
  }
}
