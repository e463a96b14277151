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
 * Datagrams of gossip as bytes, big-endian, at most {@link #MAX_DATAGRAM_BYTES} of them:
 *
 * <pre>
 * datagram = header section* signature:64
 * section  = kind:1 length:2 bytes
 * text     = length:1 UTF-8
 * </pre>
 *
 * <p>The header is {@link DatagramHeaderCodec}'s, the sections those of {@link SectionKind}:
 * sections of a kind that is not known are skipped. The signature is over all that stands before
 * it; it is made and verified elsewhere. What is too long for a datagram is the caller's to avoid,
 * by the sizes given here. No state, any thread.
 */
public final class GossipCodec {
  /** The largest datagram, in bytes, without the headers of IP and UDP. */
  public static final int MAX_DATAGRAM_BYTES = 1_200;

  /** Bytes of an Ed25519 signature (RFC 8032). */
  public static final int SIGNATURE_BYTES = 64;

  /** Bytes of IPv4 and UDP headers, which count as traffic too. */
  public static final int UDP_HEADER_BYTES = 28;

  private static final int SECTION_HEADER_BYTES = 1 + Short.BYTES;

  /** Sections that each datagram has, empty ones too: message, membership updates, peer reports. */
  private static final int SECTIONS_IN_EACH = 3;

  private GossipCodec() {}

  /** Returns the checksum that stands for a cluster's name on the wire. */
  public static int clusterChecksum(String clusterName) {
    return checksum(clusterName.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the checksum that stands for an encoded certificate, never 0: a member tells by it
   * which certificate of its peer it holds, so that no other need be sent again.
   */
  public static int certificateChecksum(byte[] certificate) {
    return checksum(certificate) | 1;
  }

  private static int checksum(byte[] bytes) {
    CRC32C sum = new CRC32C();
    sum.update(bytes);
    return (int) sum.getValue();
  }

  // ---- Fields, for the codec of revision messages ----

  static int text(String text) {
    return WireFields.textSize(text);
  }

  static void put(ByteBuffer out, String text) {
    WireFields.putText(out, text);
  }

  static String text(ByteBuffer in) {
    return WireFields.readText(in);
  }

  static String name(ByteBuffer in) {
    return WireFields.readName(in);
  }

  static ByteBuffer take(ByteBuffer in, int length) {
    return WireFields.slice(in, length);
  }

  // ---- Sizes ----

  /**
   * Returns the bytes on the wire of a datagram with that message and nothing piggybacked, headers
   * of IP and UDP and the signature included; {@code certificateBytes} is the length of the
   * certificate brought along, 0 for none.
   */
  public static int datagramSize(String sender, MembershipMessage message, int certificateBytes) {
    return UDP_HEADER_BYTES
        + DatagramHeaderCodec.size(sender, certificateBytes)
        + SECTIONS_IN_EACH * SECTION_HEADER_BYTES
        + MembershipMessageCodec.size(message)
        + SIGNATURE_BYTES;
  }

  /** Returns the bytes that one membership update adds to a datagram. */
  public static int updateSize(MembershipUpdate update) {
    return MembershipUpdateCodec.size(update);
  }

  /** Returns the bytes that one peer report adds to a datagram. */
  public static int peerReportSize(PeerReport report) {
    return PeerReportCodec.size(report);
  }

  /** Returns the bytes that one more revision message adds to a datagram that has some. */
  public static int revisionMessageSize(RevisionMessage message) {
    return RevisionMessageCodec.size(message);
  }

  /** Returns the bytes that a place (0 for none) and revision messages add to a datagram. */
  public static int piggybackSize(int place, List<RevisionMessage> messages) {
    int placeSize = place == 0 ? 0 : SECTION_HEADER_BYTES + Short.BYTES;
    int messagesSize =
        messages.isEmpty()
            ? 0
            : SECTION_HEADER_BYTES + messages.stream().mapToInt(RevisionMessageCodec::size).sum();
    return placeSize + messagesSize;
  }

  // ---- Encoding ----

  /** Returns all of a datagram that is signed, which is all but its signature. */
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
   * Reads the header of a datagram with its signature. Nothing of it is proved yet.
   *
   * @throws RejectedDatagramException of {@link RejectionReason#FORM} or {@link
   *     RejectionReason#VERSION} where it can't be read
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
   * Reads the sections of a datagram whose signature holds.
   *
   * @throws RejectedDatagramException of {@link RejectionReason#NONSENSE}, whoever signed it, where
   *     they can't be read or hold no message
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
        continue; // of a later version
      }
      switch (kind.get()) {
        case MESSAGE -> message = MembershipMessageCodec.read(section);
        case MEMBERSHIP_UPDATES -> updates.addAll(MembershipUpdateCodec.readAll(section));
        case PEER_REPORTS -> reports.addAll(PeerReportCodec.readAll(section));
        case REVISION_MESSAGES -> revisionMessages.addAll(RevisionMessageCodec.words(section));
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
