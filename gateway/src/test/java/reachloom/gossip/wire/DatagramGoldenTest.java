package reachloom.gossip.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import reachloom.gossip.GoldenResources;
import reachloom.gossip.Packet;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.Ballot;
import reachloom.revision.RevisionMessage;

/**
 * Stored datagrams, one of each message and of each section, are decoded to the same values and
 * encoded to the same bytes. The stored signatures are zeros, since codecs do not verify them.
 */
class DatagramGoldenTest {
  private static final long SENDER_ADDRESS = 0x0a00_0001L << 16 | 7946;
  private static final long MEMBER_ADDRESS = 0xc0a8_fe01L << 16 | 65_535;
  private static final long INCARNATION = 1_700_000_001_000_000_002L;
  private static final long SEQUENCE_NUMBER = 0x0102_0304_0506_0708L;
  private static final long TIME_MILLIS = 1_700_000_000_123L;
  private static final int CLUSTER_CHECKSUM = 0x426b_212b;
  private static final int KNOWN_CERTIFICATE_CHECKSUM = 0x89ab_cdef;
  private static final long MILLISECOND_NANOS = 1_000_000;
  private static final byte[] CERTIFICATE =
      "a certificate, opaque".getBytes(StandardCharsets.UTF_8);

  private static final List<MembershipUpdate> ALL_STATES =
      List.of(
          new MembershipUpdate("gateway-2", MEMBER_ADDRESS, 17, MemberState.ALIVE, ""),
          new MembershipUpdate(
              "gateway-3", MEMBER_ADDRESS - 1, 0, MemberState.SUSPECT, "gateway-1"),
          new MembershipUpdate(
              "gateway-4", 0, Long.MAX_VALUE, MemberState.DEAD, "gateway-2", 0x0203),
          new MembershipUpdate("g", 1, 1, MemberState.LEFT, "", 0xffff));

  private static final List<PeerReport> REPORTS =
      List.of(
          new PeerReport("s-00c41f7a", 1_700_000_000_000L, 12, 3, 65_535, 5 * MILLISECOND_NANOS),
          new PeerReport("s-1", -1, 0, 0, 1, Integer.MAX_VALUE * MILLISECOND_NANOS));

  private static final List<RevisionMessage> REVISION_MESSAGES =
      List.of(
          new RevisionMessage.Have(7, -5, 8),
          new RevisionMessage.Acknowledgement(7, 0x1122_3344_5566_7788L, "settings: no such key"),
          new RevisionMessage.Prepare(new Ballot(3, "issuer-2"), 8));

  private static final Map<String, Packet> PACKETS = packets();

  private static Map<String, Packet> packets() {
    Map<String, Packet> packets = new LinkedHashMap<>();
    packets.put("ping", packet(new MembershipMessage.Ping(0x1011_1213_1415_1617L, "gateway-2")));
    packets.put("ping-unnamed", packet(new MembershipMessage.Ping(-7, "")));
    packets.put("ack", packet(new MembershipMessage.Ack(Long.MAX_VALUE)));
    packets.put(
        "ping-request", packet(new MembershipMessage.PingRequest(9, "gateway-4", MEMBER_ADDRESS)));
    packets.put("nack", packet(new MembershipMessage.Nack(0)));
    packets.put(
        "pull",
        packet(
            new MembershipMessage.SyncRequest(
                "gateway-1", "gateway-9", 0xcafe_babe, List.of(0, 1, 65_535))));
    packets.put(
        "pull-to-end", packet(new MembershipMessage.SyncRequest("gateway-9", "", 5, List.of())));
    packets.put("part", packet(new MembershipMessage.SyncResponse(false, ALL_STATES)));
    packets.put(
        "part-more", packet(new MembershipMessage.SyncResponse(true, ALL_STATES.subList(0, 1))));
    packets.put("leave", packet(new MembershipMessage.Leave()));
    packets.put("tell", packet(new MembershipMessage.PayloadOnly()));
    packets.put("status", packet(new MembershipMessage.StatusRequest(0x0102)));
    packets.put(
        "status-page", packet(new MembershipMessage.StatusPage(1, 3, "instance g1\nrefused {}\n")));
    packets.put("section-news", packet(0, ALL_STATES, List.of(), List.of()));
    packets.put("section-claims", packet(0, List.of(), REPORTS, List.of()));
    packets.put("section-words", packet(0, List.of(), List.of(), REVISION_MESSAGES));
    packets.put("section-place", packet(0x0102, List.of(), List.of(), List.of()));
    packets.put("all-sections", packet(0x0102, ALL_STATES, REPORTS, REVISION_MESSAGES));
    packets.put("certificate", packet(new MembershipMessage.Ack(1)));
    return packets;
  }

  private static Packet packet(MembershipMessage message) {
    return new Packet("gateway-1", SENDER_ADDRESS, INCARNATION, message, List.of(), List.of());
  }

  private static Packet packet(
      int place,
      List<MembershipUpdate> updates,
      List<PeerReport> reports,
      List<RevisionMessage> revisionMessages) {
    return new Packet(
        "gateway-1",
        SENDER_ADDRESS,
        place,
        INCARNATION,
        new MembershipMessage.PayloadOnly(),
        updates,
        reports,
        revisionMessages);
  }

  static Set<String> names() {
    return PACKETS.keySet();
  }

  private static byte[] certificate(String name) {
    return name.equals("certificate") ? CERTIFICATE : null;
  }

  /** Encodes a packet as a complete datagram whose signature is zeros. */
  private static byte[] encode(Packet packet, byte[] certificate) {
    byte[] unsigned =
        GossipCodec.encode(
            new DatagramEnvelope(
                GossipCodec.clusterChecksum("golden"),
                SEQUENCE_NUMBER,
                TIME_MILLIS,
                Optional.ofNullable(certificate),
                KNOWN_CERTIFICATE_CHECKSUM),
            packet);
    return Arrays.copyOf(unsigned, unsigned.length + GossipCodec.SIGNATURE_BYTES);
  }

  @ParameterizedTest
  @MethodSource("names")
  void decodesStoredDatagram(String name) throws Exception {
    byte[] stored = GoldenResources.hex("datagrams/" + name + ".hex");
    Packet expected = PACKETS.get(name);
    DatagramHeader header = GossipCodec.decodeHeader(stored);
    assertEquals(CLUSTER_CHECKSUM, header.envelope().cluster());
    assertEquals("gateway-1", header.sender());
    assertEquals(SEQUENCE_NUMBER, header.envelope().sequenceNumber());
    assertEquals(TIME_MILLIS, header.envelope().sentAtMillis());
    assertEquals(SENDER_ADDRESS, header.address());
    assertEquals(INCARNATION, header.incarnation());
    assertEquals(KNOWN_CERTIFICATE_CHECKSUM, header.envelope().knownCertificate());
    assertArrayEquals(certificate(name), header.envelope().certificate().orElse(null));
    byte[] certificate = certificate(name);
    assertEquals(
        DatagramHeaderCodec.size("gateway-1", certificate == null ? 0 : certificate.length),
        header.contentOffset());
    Packet decoded = GossipCodec.decodeContent(stored, header);
    assertEquals(expected.sender(), decoded.sender());
    assertEquals(expected.address(), decoded.address());
    assertEquals(expected.place(), decoded.place());
    assertEquals(expected.incarnation(), decoded.incarnation());
    assertEquals(expected.message(), decoded.message());
    assertEquals(expected.updates(), decoded.updates());
    assertEquals(expected.reports(), decoded.reports());
    assertEquals(expected.revisionMessages(), decoded.revisionMessages());
    assertEquals(expected, decoded);
  }

  @ParameterizedTest
  @MethodSource("names")
  void encodesToStoredBytes(String name) throws Exception {
    byte[] stored = GoldenResources.hex("datagrams/" + name + ".hex");
    DatagramHeader header = GossipCodec.decodeHeader(stored);
    byte[] encoded =
        encode(
            GossipCodec.decodeContent(stored, header),
            header.envelope().certificate().orElse(null));
    assertArrayEquals(stored, encoded);
  }

  @ParameterizedTest
  @MethodSource("names")
  void storedDatagramHasComputedSize(String name) throws Exception {
    byte[] stored = GoldenResources.hex("datagrams/" + name + ".hex");
    Packet packet = PACKETS.get(name);
    byte[] certificate = certificate(name);
    int computed =
        GossipCodec.datagramSize(
                packet.sender(), packet.message(), certificate == null ? 0 : certificate.length)
            + packet.updates().stream().mapToInt(GossipCodec::updateSize).sum()
            + packet.reports().stream().mapToInt(GossipCodec::peerReportSize).sum()
            + GossipCodec.piggybackSize(packet.place(), packet.revisionMessages());
    assertEquals(computed, stored.length + GossipCodec.UDP_HEADER_BYTES);
  }

  @Test
  void everyMessageKindHasStoredDatagram() {
    Set<Class<?>> kinds =
        Stream.of(MembershipMessage.class.getPermittedSubclasses()).collect(Collectors.toSet());
    Set<Class<?>> stored =
        PACKETS.values().stream().map(p -> p.message().getClass()).collect(Collectors.toSet());
    assertEquals(kinds, stored);
  }

  @Test
  void computesStoredChecksums() {
    assertEquals(CLUSTER_CHECKSUM, GossipCodec.clusterChecksum("golden"));
    assertEquals(0x32cd_db79, GossipCodec.certificateChecksum(CERTIFICATE));
  }
}
