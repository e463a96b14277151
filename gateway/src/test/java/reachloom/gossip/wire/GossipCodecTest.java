package reachloom.gossip.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reachloom.gossip.Packet;
import reachloom.gossip.RejectionReason;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.Ballot;
import reachloom.revision.Revision;
import reachloom.revision.RevisionMessage;
import reachloom.revision.Vote;

/**
 * Encoding and decoding of gossip datagrams: round trips, computed sizes, and rejection of
 * truncated, corrupted or unknown input.
 */
class GossipCodecTest {
  private static final long ADDRESS = 0x7f000001L << 16 | 7946;
  private static final MembershipUpdate UPDATE =
      new MembershipUpdate("g2", ADDRESS + 1, 1_700_000_000L, MemberState.SUSPECT, "g3");
  private static final PeerReport REPORT =
      new PeerReport("s-00c41f7a", 1_700_000_000_000L, 12, 3, 65_535, 5_000_000);
  private static final List<MembershipMessage> MESSAGES =
      List.of(
          new MembershipMessage.Ping(-7, ""),
          new MembershipMessage.Ping(7, "g2"),
          new MembershipMessage.Ack(Long.MAX_VALUE),
          new MembershipMessage.PingRequest(9, "g4", ADDRESS),
          new MembershipMessage.Nack(0),
          new MembershipMessage.SyncRequest("a", "", 5, List.of(0, 1, 65_535)),
          new MembershipMessage.SyncResponse(true, List.of(UPDATE)),
          new MembershipMessage.SyncResponse(false, List.of()),
          new MembershipMessage.PayloadOnly(),
          new MembershipMessage.StatusRequest(3),
          new MembershipMessage.StatusPage(3, 4, "member g1\n"),
          new MembershipMessage.Leave());

  private static final byte[] CHAIN = new byte[Revision.HASH_BYTES];
  private static final Revision REVISION =
      new Revision(7, CHAIN, CHAIN, 99, 1_700_000_000_000L, "c1");
  private static final Ballot BALLOT = new Ballot(3, "c2");
  private static final Vote VOTE = new Vote("c2", new byte[GossipCodec.SIGNATURE_BYTES]);
  private static final List<RevisionMessage> REVISION_MESSAGES =
      List.of(
          new RevisionMessage.Have(7, -5, 8),
          new RevisionMessage.Notice(REVISION, List.of(VOTE, VOTE, VOTE)),
          new RevisionMessage.Want(8, 7, -5, 3),
          new RevisionMessage.Chunk(8, 0, 1, 2, new byte[] {1, 2, 3}),
          new RevisionMessage.Acknowledgement(7, -5, "settings: no"),
          new RevisionMessage.Census(0x0203, 7, 58, 57, 1, List.of("g9"), 4_000),
          new RevisionMessage.Prepare(BALLOT, 8),
          new RevisionMessage.Promise(BALLOT, 8, Ballot.NONE, Optional.empty()),
          new RevisionMessage.Promise(BALLOT, 8, BALLOT, Optional.of(REVISION)),
          new RevisionMessage.Propose(BALLOT, REVISION),
          new RevisionMessage.Accepted(BALLOT, 8, VOTE),
          new RevisionMessage.Rejected(BALLOT, new Ballot(4, "c1")));

  /** Returns a packet with one revision message and a place. */
  private static Packet packet(RevisionMessage message) {
    return new Packet(
        "g1",
        ADDRESS,
        0x0102,
        1,
        new MembershipMessage.PayloadOnly(),
        List.of(),
        List.of(),
        List.of(message));
  }

  private static Packet packet(MembershipMessage message) {
    return new Packet(
        "g1",
        ADDRESS,
        1_700_000_001L,
        message,
        List.of(UPDATE, new MembershipUpdate("g9", 0, 0, MemberState.ALIVE, "")),
        List.of(REPORT));
  }

  /** Encodes a packet as a complete datagram whose signature is zeros. */
  private static byte[] datagram(Packet packet, byte[] certificate, boolean knowsCertificate) {
    byte[] signed =
        GossipCodec.encode(
            new DatagramEnvelope(
                GossipCodec.clusterChecksum("east"),
                42,
                1_234,
                Optional.ofNullable(certificate),
                knowsCertificate ? 7 : 0),
            packet);
    return Arrays.copyOf(signed, signed.length + GossipCodec.SIGNATURE_BYTES);
  }

  @Test
  void roundTripsMembershipMessagesWithComputedSize() throws Exception {
    for (MembershipMessage message : MESSAGES) {
      Packet p = packet(message);
      byte[] bytes = datagram(p, null, true);
      DatagramHeader header = GossipCodec.decodeHeader(bytes);
      assertEquals(p, GossipCodec.decodeContent(bytes, header));
      assertEquals(42, header.envelope().sequenceNumber());
      assertEquals(1_234, header.envelope().sentAtMillis());
      assertEquals(GossipCodec.clusterChecksum("east"), header.envelope().cluster());
      assertEquals(7, header.envelope().knownCertificate());
      assertTrue(header.envelope().certificate().isEmpty());
      int expectedBytes =
          GossipCodec.datagramSize("g1", message, 0)
              + p.updates().stream().mapToInt(GossipCodec::updateSize).sum()
              + GossipCodec.peerReportSize(REPORT);
      assertEquals(expectedBytes, bytes.length + GossipCodec.UDP_HEADER_BYTES, message.toString());
    }
    byte[] certificate = new byte[250];
    byte[] bytes = datagram(packet(new MembershipMessage.Ack(1)), certificate, false);
    assertArrayEquals(
        certificate, GossipCodec.decodeHeader(bytes).envelope().certificate().orElseThrow());
    assertEquals(
        GossipCodec.datagramSize("g1", new MembershipMessage.Ack(1), 250)
            + GossipCodec.updateSize(UPDATE)
            + GossipCodec.updateSize(new MembershipUpdate("g9", 0, 0, MemberState.ALIVE, ""))
            + GossipCodec.peerReportSize(REPORT),
        bytes.length + GossipCodec.UDP_HEADER_BYTES);
  }

  @Test
  void roundTripsRevisionMessagesWithComputedSize() throws Exception {
    for (RevisionMessage message : REVISION_MESSAGES) {
      byte[] bytes = datagram(packet(message), null, false);
      Packet read = GossipCodec.decodeContent(bytes, GossipCodec.decodeHeader(bytes));
      assertEquals(0x0102, read.place());
      assertEquals(message.getClass(), read.revisionMessages().get(0).getClass());
      assertArrayEquals(bytes, datagram(read, null, false), message.toString());
      assertEquals(
          GossipCodec.datagramSize("g1", new MembershipMessage.PayloadOnly(), 0)
              + GossipCodec.piggybackSize(0x0102, List.of(message)),
          bytes.length + GossipCodec.UDP_HEADER_BYTES,
          message.toString());
    }
  }

  @Test
  void skipsUnknownRevisionMessageAndRejectsInvalidFields() throws Exception {
    byte[] bytes = datagram(packet(new RevisionMessage.Have(1, 2, 3)), null, false);
    // The index of the message's kind; its 3 fields and the section of the place (5 bytes) follow.
    int kindAt = bytes.length - GossipCodec.SIGNATURE_BYTES - 5 - 3 * Long.BYTES - 1;
    byte[] later = bytes.clone();
    later[kindAt] = 99;
    assertEquals(
        List.of(),
        GossipCodec.decodeContent(later, GossipCodec.decodeHeader(later)).revisionMessages());
    byte[] negative = bytes.clone();
    negative[kindAt + 1] = -1;
    assertEquals(
        RejectionReason.NONSENSE,
        assertThrows(
                RejectedDatagramException.class,
                () -> GossipCodec.decodeContent(negative, GossipCodec.decodeHeader(negative)))
            .reason());
    byte[] large =
        datagram(
            packet(
                new RevisionMessage.Propose(
                    BALLOT,
                    new Revision(1, CHAIN, CHAIN, Revision.MAX_DOCUMENT_BYTES + 1, 0, "c1"))),
            null,
            false);
    assertEquals(
        RejectionReason.NONSENSE,
        assertThrows(
                RejectedDatagramException.class,
                () -> GossipCodec.decodeContent(large, GossipCodec.decodeHeader(large)))
            .reason());
  }

  /** Without place and revision messages, the bytes are those of versions that know neither. */
  @Test
  void omitsSectionsOfAbsentPlaceAndRevisionMessages() {
    Packet p = packet(new MembershipMessage.PayloadOnly());
    byte[] bytes = datagram(p, null, false);
    int reportSection =
        bytes.length - GossipCodec.SIGNATURE_BYTES - GossipCodec.peerReportSize(REPORT) - 3;
    assertEquals(3, bytes[reportSection], "peer reports are the last section");
    assertEquals(
        1 + 3 + 6 + 8 + 1 + 3,
        GossipCodec.updateSize(UPDATE)); // length, name, address, incarnation, state, accuser
    assertEquals(0, GossipCodec.piggybackSize(0, List.of()));
  }

  private static List<byte[]> samples() {
    List<byte[]> all = new ArrayList<>();
    MESSAGES.forEach(m -> all.add(datagram(packet(m), null, true)));
    MESSAGES.forEach(m -> all.add(datagram(packet(m), new byte[200], true)));
    REVISION_MESSAGES.forEach(w -> all.add(datagram(packet(w), null, true)));
    return all;
  }

  @Test
  void truncatedDatagramThrowsNothingButRejection() {
    for (byte[] bytes : samples()) {
      for (int length = 0; length < bytes.length; length++) {
        byte[] truncated = Arrays.copyOf(bytes, length);
        try {
          GossipCodec.decodeContent(truncated, GossipCodec.decodeHeader(truncated));
        } catch (RejectedDatagramException e) {
          assertTrue(
              e.reason() == RejectionReason.FORM || e.reason() == RejectionReason.NONSENSE,
              "truncated to " + length + " bytes: " + e.reason());
        }
      }
    }
  }

  @Test
  void corruptedDatagramIsRejectedOrHasValidSender() {
    SplittableRandom random = new SplittableRandom(3);
    int rejected = 0;
    List<byte[]> samples = samples();
    for (int i = 0; i < 50_000; i++) {
      byte[] bytes = samples.get(i % samples.size()).clone();
      for (int k = 0; k <= random.nextInt(4); k++) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      try {
        Packet p = GossipCodec.decodeContent(bytes, GossipCodec.decodeHeader(bytes));
        assertTrue(
            p.sender().length() <= 32 && p.sender().chars().allMatch(c -> c > ' ' && c < 0x7f));
      } catch (RejectedDatagramException e) {
        rejected++;
      }
      byte[] noise = new byte[random.nextInt(1_300)];
      random.nextBytes(noise);
      assertThrows(RejectedDatagramException.class, () -> GossipCodec.decodeHeader(noise));
    }
    assertTrue(rejected > 1_000, rejected + " of 50,000 datagrams were rejected");
  }

  @Test
  void rejectsOversizeAndOtherVersionAndDistinguishesClusters() throws Exception {
    byte[] bytes = datagram(packet(MESSAGES.get(0)), null, false);
    assertEquals(
        RejectionReason.FORM,
        assertThrows(
                RejectedDatagramException.class,
                () -> GossipCodec.decodeHeader(new byte[GossipCodec.MAX_DATAGRAM_BYTES + 1]))
            .reason());
    bytes[2] = 2;
    assertEquals(
        RejectionReason.VERSION,
        assertThrows(RejectedDatagramException.class, () -> GossipCodec.decodeHeader(bytes))
            .reason());
    assertTrue(GossipCodec.clusterChecksum("east") != GossipCodec.clusterChecksum("west"));
  }

  @Test
  void skipsUnknownSection() throws Exception {
    Packet p = packet(new MembershipMessage.PayloadOnly());
    byte[] bytes = datagram(p, null, false);
    ByteArrayOutputStream longer = new ByteArrayOutputStream();
    longer.write(bytes, 0, bytes.length - GossipCodec.SIGNATURE_BYTES);
    longer.write(new byte[] {99, 0, 3, 1, 2, 3}); // a section of an unknown kind
    longer.write(new byte[GossipCodec.SIGNATURE_BYTES]);
    assertEquals(
        p,
        GossipCodec.decodeContent(
            longer.toByteArray(), GossipCodec.decodeHeader(longer.toByteArray())));
  }

  @Test
  void skipsUnknownFieldsOfMembershipUpdate() throws Exception {
    MembershipUpdate all =
        new MembershipUpdate("g2", ADDRESS + 1, 1_700_000_000L, MemberState.SUSPECT, "g3", 0x0102);
    Packet p =
        new Packet("g1", ADDRESS, 1, new MembershipMessage.PayloadOnly(), List.of(all), List.of());
    byte[] bytes = datagram(p, null, false);
    int at =
        bytes.length
            - GossipCodec.SIGNATURE_BYTES
            - 3
            - GossipCodec.updateSize(all); // index of its length byte
    List<Byte> longer = new ArrayList<>();
    for (int i = 0; i < bytes.length; i++) {
      if (i == at + GossipCodec.updateSize(all)) {
        longer.addAll(List.of((byte) 1, (byte) 2));
      }
      longer.add(bytes[i]);
    }
    byte[] changed = new byte[longer.size()];
    for (int i = 0; i < changed.length; i++) {
      changed[i] = longer.get(i);
    }
    changed[at] += 2;
    ByteBuffer.wrap(changed).putShort(at - 2, (short) (GossipCodec.updateSize(all) + 2));
    assertEquals(p, GossipCodec.decodeContent(changed, GossipCodec.decodeHeader(changed)));
  }
}
