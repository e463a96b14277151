package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import reachloom.gossip.Packet;
import reachloom.gossip.RejectionReason;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/**
 * Encodes and decodes gossip datagrams, which are big-endian and at most {@link
 * #MAX_DATAGRAM_BYTES} long:
 *
 * <pre>
 * datagram = header section* signature:64
 * section  = kind:1 length:2 bytes
 * text     = length:1 UTF-8
 * </pre>
 *
 * <p>{@link DatagramHeaderCodec} documents the header, {@link SectionKind} the kinds of sections;
 * sections of an unknown kind are skipped. The signature covers all bytes before it; callers sign
 * and verify. Callers also keep each datagram within the limit, by means of the sizes computed
 * here. Stateless and thread-safe.
 */
public final class GossipCodec {
  /** The largest datagram, in bytes, without the headers of IP and UDP. */
  public static final int MAX_DATAGRAM_BYTES = 1_200;

  /** Bytes of an Ed25519 signature (RFC 8032). */
  public static final int SIGNATURE_BYTES = 64;

  /** Bytes of IPv4 and UDP headers, which count as traffic too. */
  public static final int UDP_HEADER_BYTES = 28;

  private static final int SECTION_HEADER_BYTES = 1 + Short.BYTES;

  /** Sections that every datagram has, even if empty: message, membership updates, peer reports. */
  private static final int MANDATORY_SECTIONS = 3;

  private GossipCodec() {}

  /** Returns the checksum that stands for a cluster's name on the wire. */
  public static int clusterChecksum(String clusterName) {
    return checksum(clusterName.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the checksum that identifies an encoded certificate, never 0. A member reports by it
   * which certificate of its peer it holds, so that the peer does not send that certificate again.
   */
  public static int certificateChecksum(byte[] certificate) {
    return checksum(certificate) | 1;
  }

  private static int checksum(byte[] bytes) {
    CRC32C sum = new CRC32C();
    sum.update(bytes);
    return (int) sum.getValue();
  }

  // ---- Fields of revision messages ----

  static int textSize(String text) {
    return WireFields.textSize(text);
  }

  static void putText(ByteBuffer out, String text) {
    WireFields.putText(out, text);
  }

  static String readText(ByteBuffer in) {
    return WireFields.readText(in);
  }

  static String readName(ByteBuffer in) {
    return WireFields.readName(in);
  }

  static ByteBuffer slice(ByteBuffer in, int length) {
    return WireFields.slice(in, length);
  }

  // ---- Sizes ----

  /**
   * Returns the size in bytes of a datagram with that message and nothing piggybacked, including IP
   * and UDP headers and the signature; {@code certificateBytes} is the length of the included
   * certificate, 0 for none.
   */
  public static int datagramSize(String sender, MembershipMessage message, int certificateBytes) {
    return UDP_HEADER_BYTES
        + DatagramHeaderCodec.size(sender, certificateBytes)
        + MANDATORY_SECTIONS * SECTION_HEADER_BYTES
        + MembershipMessageCodec.size(message)
        + SIGNATURE_BYTES;
  }

  /** Returns the number of bytes that one membership update adds to a datagram. */
  public static int updateSize(MembershipUpdate update) {
    return MembershipUpdateCodec.size(update);
  }

  /** Returns the number of bytes that one peer report adds to a datagram. */
  public static int peerReportSize(PeerReport report) {
    return PeerReportCodec.size(report);
  }

  /**
   * Returns the number of bytes that one more revision message adds to a datagram that already has
   * revision messages.
   */
  public static int revisionMessageSize(RevisionMessage message) {
    return RevisionMessageCodec.size(message);
  }

  /**
   * Returns the number of bytes that a place (0 for none) and revision messages add to a datagram,
   * including the headers of their sections.
   */
  public static int piggybackSize(int place, List<RevisionMessage> messages) {
    int placeSize = place == 0 ? 0 : SECTION_HEADER_BYTES + Short.BYTES;
    int messagesSize =
        messages.isEmpty()
            ? 0
            : SECTION_HEADER_BYTES + messages.stream().mapToInt(RevisionMessageCodec::size).sum();
    return placeSize + messagesSize;
  }

  // ---- Encoding ----

  /** Encodes the signed part of a datagram: all of its bytes except the signature. */
  public static byte[] encode(DatagramEnvelope envelope, Packet packet) {
    ByteBuffer out = ByteBuffer.allocate(2 * MAX_DATAGRAM_BYTES);
    DatagramHeaderCodec.put(out, envelope, packet);
    putSection(out, SectionKind.MESSAGE, to -> MembershipMessageCodec.put(to, packet.message()));
    putSection(
        out,
        SectionKind.MEMBERSHIP_UPDATES,
        to -> packet.updates().forEach(update -> MembershipUpdateCodec.put(to, update)));
    putSection(
        out,
        SectionKind.PEER_REPORTS,
        to -> packet.reports().forEach(report -> PeerReportCodec.put(to, report)));
    if (!packet.revisionMessages().isEmpty()) {
      putSection(
          out,
          SectionKind.REVISION_MESSAGES,
          to ->
              packet.revisionMessages().forEach(message -> RevisionMessageCodec.put(to, message)));
    }
    if (packet.place() != 0) {
      putSection(out, SectionKind.PLACE, to -> to.putShort((short) packet.place()));
    }
    return Arrays.copyOf(out.array(), out.position());
  }

  private static void putSection(ByteBuffer out, SectionKind kind, Consumer<ByteBuffer> content) {
    out.put(kind.code());
    int lengthAt = out.position();
    out.putShort((short) 0);
    content.accept(out);
    out.putShort(lengthAt, (short) (out.position() - lengthAt - Short.BYTES));
  }

  // ---- Decoding ----

  /**
   * Decodes the header of a complete datagram, signature included. No field is authenticated yet.
   *
   * @throws RejectedDatagramException with {@link RejectionReason#FORM} or {@link
   *     RejectionReason#VERSION} if the datagram is too short or too long, or its header can't be
   *     decoded
   */
  public static DatagramHeader decodeHeader(byte[] datagram) throws RejectedDatagramException {
    if (datagram.length > MAX_DATAGRAM_BYTES
        || datagram.length < DatagramHeaderCodec.MIN_BYTES + SIGNATURE_BYTES) {
      throw new RejectedDatagramException(RejectionReason.FORM);
    }
    return DatagramHeaderCodec.read(
        ByteBuffer.wrap(datagram, 0, datagram.length - SIGNATURE_BYTES));
  }

  /**
   * Decodes the sections of a datagram whose signature has been verified.
   *
   * @throws RejectedDatagramException with {@link RejectionReason#NONSENSE}, despite the valid
   *     signature, if the sections can't be decoded or hold no message
   */
  public static Packet decodeContent(byte[] datagram, DatagramHeader header)
      throws RejectedDatagramException {
    int contentBytes = datagram.length - SIGNATURE_BYTES - header.contentOffset();
    try {
      return readSections(ByteBuffer.wrap(datagram, header.contentOffset(), contentBytes), header);
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      throw new RejectedDatagramException(RejectionReason.NONSENSE);
    }
  }

  private static Packet readSections(ByteBuffer in, DatagramHeader header)
      throws RejectedDatagramException {
    MembershipMessage message = null;
    List<MembershipUpdate> updates = new ArrayList<>();
    List<PeerReport> reports = new ArrayList<>();
    List<RevisionMessage> revisionMessages = new ArrayList<>();
    int place = 0;
    while (in.hasRemaining()) {
      Optional<SectionKind> kind = SectionKind.of(in.get());
      ByteBuffer section = WireFields.slice(in, Short.toUnsignedInt(in.getShort()));
      if (kind.isEmpty()) {
        continue; // a kind of a later version
      }
      switch (kind.get()) {
        case MESSAGE -> message = MembershipMessageCodec.read(section);
        case MEMBERSHIP_UPDATES -> updates.addAll(MembershipUpdateCodec.readAll(section));
        case PEER_REPORTS -> reports.addAll(PeerReportCodec.readAll(section));
        case REVISION_MESSAGES -> revisionMessages.addAll(RevisionMessageCodec.readAll(section));
        case PLACE -> place = Short.toUnsignedInt(section.getShort());
      }
    }
    if (message == null) {
      throw new RejectedDatagramException(RejectionReason.NONSENSE);
    }
    return new Packet(
        header.sender(),
        header.address(),
        place,
        header.incarnation(),
        message,
        updates,
        reports,
        revisionMessages);
  }
}
