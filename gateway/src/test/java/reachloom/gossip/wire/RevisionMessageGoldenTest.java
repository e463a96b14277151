package reachloom.gossip.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.revision.Ballot;
import reachloom.revision.Revision;
import reachloom.revision.RevisionMessage;
import reachloom.revision.Vote;

/**
 * The wire format of every revision message, compared with bytes that an earlier version wrote
 * (resources {@code golden/revision-messages}): each stored message is decoded, its fields are
 * compared, and encoding it again must give the stored bytes. A difference means that two versions
 * in one cluster would no longer understand each other; the resources must never be regenerated to
 * make this test pass.
 */
class RevisionMessageGoldenTest {
  private static final String RESOURCES = "/golden/revision-messages/";
  private static final long ISSUED_AT_MILLIS = 1_700_000_000_123L;
  private static final long MARK = -0x0123456789abcdefL;

  @Test
  void have() {
    RevisionMessage.Have have = golden("have", RevisionMessage.Have.class);
    assertEquals(0x0102030405060708L, have.inForce());
    assertEquals(MARK, have.fingerprint());
    assertEquals(Long.MAX_VALUE, have.known());
  }

  @Test
  void noticeWithThreeVotes() {
    RevisionMessage.Notice notice = golden("notice", RevisionMessage.Notice.class);
    assertRevision(notice.revision());
    assertEquals(3, notice.votes().size());
    assertVote("issuer-1", 1, 64, notice.votes().get(0));
    assertVote("issuer-2", 2, 64, notice.votes().get(1));
    assertVote("a-name-of-thirty-two-characters-", 3, 64, notice.votes().get(2));
  }

  @Test
  void noticeWithoutVotes() {
    RevisionMessage.Notice notice = golden("notice-without-votes", RevisionMessage.Notice.class);
    assertRevision(notice.revision());
    assertEquals(List.of(), notice.votes());
  }

  @Test
  void want() {
    RevisionMessage.Want want = golden("want", RevisionMessage.Want.class);
    assertEquals(8, want.number());
    assertEquals(7, want.base());
    assertEquals(MARK, want.baseFingerprint());
    assertEquals(65_535, want.from());
  }

  @Test
  void piece() {
    RevisionMessage.Chunk piece = golden("piece", RevisionMessage.Chunk.class);
    assertEquals(8, piece.number());
    assertEquals(7, piece.base());
    assertEquals(25, piece.index());
    assertEquals(65_535, piece.of());
    assertArrayEquals(bytes(0x80, 640), piece.bytes());
  }

  @Test
  void emptyPiece() {
    RevisionMessage.Chunk piece = golden("piece-empty", RevisionMessage.Chunk.class);
    assertEquals(8, piece.number());
    assertEquals(0, piece.base());
    assertEquals(0, piece.index());
    assertEquals(1, piece.of());
    assertArrayEquals(new byte[0], piece.bytes());
  }

  @Test
  void acknowledgementOfRevisionInForce() {
    RevisionMessage.Acknowledgement acknowledgement =
        golden("acknowledgement", RevisionMessage.Acknowledgement.class);
    assertEquals(8, acknowledgement.number());
    assertEquals(MARK, acknowledgement.fingerprint());
    assertEquals("", acknowledgement.refusal());
  }

  @Test
  void acknowledgementWithRefusal() {
    RevisionMessage.Acknowledgement acknowledgement =
        golden("acknowledgement-refused", RevisionMessage.Acknowledgement.class);
    assertEquals(9, acknowledgement.number());
    assertEquals(MARK, acknowledgement.fingerprint());
    assertEquals("settings: 'x' is not known (line 3)", acknowledgement.refusal());
  }

  @Test
  void census() {
    RevisionMessage.Census census = golden("census", RevisionMessage.Census.class);
    assertEquals(0xfe02, census.place());
    assertEquals(8, census.number());
    assertEquals(60_000, census.members());
    assertEquals(58, census.inForce());
    assertEquals(40_001, census.refused());
    assertEquals(List.of("gateway-9", "gateway-10"), census.lacking());
    assertEquals(Integer.MAX_VALUE, census.longest());
  }

  @Test
  void completeCensus() {
    RevisionMessage.Census census = golden("census-complete", RevisionMessage.Census.class);
    assertEquals(0x0102, census.place());
    assertEquals(8, census.number());
    assertEquals(59, census.members());
    assertEquals(59, census.inForce());
    assertEquals(0, census.refused());
    assertEquals(List.of(), census.lacking());
    assertEquals(0, census.longest());
  }

  @Test
  void encodesExcessiveDurationAsMaximum() {
    RevisionMessage.Census tooLong =
        new RevisionMessage.Census(
            0xfe02, 8, 60_000, 58, 40_001, List.of("gateway-9", "gateway-10"), 1L << 40);
    assertArrayEquals(stored("census"), encoded(tooLong));
  }

  @Test
  void prepare() {
    RevisionMessage.Prepare prepare = golden("prepare", RevisionMessage.Prepare.class);
    assertBallot(3, "issuer-2", prepare.ballot());
    assertEquals(8, prepare.number());
  }

  @Test
  void promiseWithoutAcceptedRevision() {
    RevisionMessage.Promise promise = golden("promise", RevisionMessage.Promise.class);
    assertBallot(3, "issuer-2", promise.ballot());
    assertEquals(8, promise.number());
    assertEquals(Ballot.NONE, promise.acceptedUnder());
    assertEquals(Optional.empty(), promise.accepted());
  }

  @Test
  void promiseWithAcceptedRevision() {
    RevisionMessage.Promise promise = golden("promise-accepted", RevisionMessage.Promise.class);
    assertBallot(4, "issuer-3", promise.ballot());
    assertEquals(8, promise.number());
    assertBallot(3, "issuer-2", promise.acceptedUnder());
    assertRevision(promise.accepted().orElseThrow());
  }

  @Test
  void propose() {
    RevisionMessage.Propose propose = golden("propose", RevisionMessage.Propose.class);
    assertBallot(3, "issuer-2", propose.ballot());
    assertRevision(propose.revision());
  }

  @Test
  void accepted() {
    RevisionMessage.Accepted accepted = golden("accepted", RevisionMessage.Accepted.class);
    assertBallot(3, "issuer-2", accepted.ballot());
    assertEquals(8, accepted.number());
    assertVote("issuer-1", 1, 64, accepted.vote());
  }

  @Test
  void acceptedWithLongestSignature() {
    RevisionMessage.Accepted accepted =
        golden("accepted-long-signature", RevisionMessage.Accepted.class);
    assertBallot(3, "issuer-2", accepted.ballot());
    assertEquals(8, accepted.number());
    assertVote("issuer-1", 1, 255, accepted.vote());
  }

  @Test
  void rejected() {
    RevisionMessage.Rejected rejected = golden("rejected", RevisionMessage.Rejected.class);
    assertBallot(3, "issuer-2", rejected.ballot());
    assertBallot(0x0102030405060708L, "issuer-3", rejected.promised());
  }

  /** An issuer signs the hash chain, and the next revision refers to it as the previous one. */
  @Test
  void hashChainOfRevision() {
    Revision revision = golden("propose", RevisionMessage.Propose.class).revision();
    assertArrayEquals(stored("revision-chain"), revision.chain());
    assertEquals(ByteBuffer.wrap(stored("revision-chain")).getLong(), revision.fingerprint());
  }

  /** The stored bytes hold a message of an unknown kind, then one with an additional field. */
  @Test
  void skipsUnknownMessagesAndFields() {
    List<RevisionMessage> read =
        RevisionMessageCodec.readAll(ByteBuffer.wrap(stored("later-version")));
    assertEquals(2, read.size());
    RevisionMessage.Have have = assertInstanceOf(RevisionMessage.Have.class, read.get(0));
    assertEquals(7, have.inForce());
    assertEquals(MARK, have.fingerprint());
    assertEquals(8, have.known());
    RevisionMessage.Acknowledgement acknowledgement =
        assertInstanceOf(RevisionMessage.Acknowledgement.class, read.get(1));
    assertEquals(8, acknowledgement.number());
    assertEquals("not known: '?'", acknowledgement.refusal());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "malformed-negative-number",
        "malformed-document-too-large",
        "malformed-ten-votes",
        "malformed-blank-in-name",
        "malformed-length-beyond-the-end"
      })
  void rejectsMalformedMessages(String name) {
    ByteBuffer in = ByteBuffer.wrap(stored(name));
    assertThrows(BufferUnderflowException.class, () -> RevisionMessageCodec.readAll(in));
  }

  // ---- Fields of several messages ----

  private static void assertRevision(Revision revision) {
    assertEquals(0x0102030405060708L, revision.number());
    assertArrayEquals(bytes(0x20, Revision.HASH_BYTES), revision.previous());
    assertArrayEquals(bytes(0xa0, Revision.HASH_BYTES), revision.digest());
    assertEquals(Revision.MAX_DOCUMENT_BYTES, revision.size());
    assertEquals(ISSUED_AT_MILLIS, revision.issuedAt());
    assertEquals("issuer-2", revision.issuer());
  }

  private static void assertBallot(long round, String issuer, Ballot ballot) {
    assertEquals(round, ballot.round());
    assertEquals(issuer, ballot.issuer());
  }

  private static void assertVote(String issuer, int firstByte, int length, Vote vote) {
    assertEquals(issuer, vote.issuer());
    assertArrayEquals(bytes(firstByte, length), vote.signature());
  }

  /** Returns {@code length} bytes, each one more than the previous byte. */
  private static byte[] bytes(int first, int length) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = (byte) (first + i);
    }
    return bytes;
  }

  // ---- Stored bytes ----

  /** Decodes the only message of a resource and asserts that it is encoded to the stored bytes. */
  private static <T extends RevisionMessage> T golden(String name, Class<T> type) {
    byte[] stored = stored(name);
    List<RevisionMessage> read = RevisionMessageCodec.readAll(ByteBuffer.wrap(stored));
    assertEquals(1, read.size());
    T message = assertInstanceOf(type, read.get(0));
    assertArrayEquals(stored, encoded(message));
    return message;
  }

  private static byte[] encoded(RevisionMessage message) {
    ByteBuffer out = ByteBuffer.allocate(RevisionMessageCodec.size(message));
    RevisionMessageCodec.put(out, message);
    assertEquals(0, out.remaining(), "bytes left of the computed size");
    return out.array();
  }

  /** Reads a resource of hexadecimal digits, with comments from '#' to the end of a line. */
  private static byte[] stored(String name) {
    try (InputStream in =
        RevisionMessageGoldenTest.class.getResourceAsStream(RESOURCES + name + ".hex")) {
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      return HexFormat.of().parseHex(text.replaceAll("#.*", "").replaceAll("\\s", ""));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
