package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Optional;
import reachloom.gossip.Packet;
import reachloom.gossip.RejectionReason;

/**
 * Encodes and decodes the header of a datagram, which is big-endian:
 *
 * <pre>
 * header = "RG" version:1 flags:1 cluster:4 sender:text sequenceNumber:8 sentAtMillis:8 address:6
 *          incarnation:8 knownCertificate:4 [certificate: length:2 bytes]
 * </pre>
 *
 * <p>The certificate is present if the lowest bit of the flags is set. The version changes only
 * when older readers can't decode a datagram; additions that they can skip keep the version.
 * Stateless and thread-safe.
 */
final class DatagramHeaderCodec {
  private static final int MAGIC = 'R' << Byte.SIZE | 'G';
  private static final int VERSION = 1;
  private static final int FLAG_CERTIFICATE = 1;

  /** Size in bytes of all fields except the sender's name and the certificate. */
  private static final int FIXED_BYTES =
      Short.BYTES
          + 1
          + 1
          + Integer.BYTES
          + Long.BYTES
          + Long.BYTES
          + WireFields.ADDRESS_BYTES
          + Long.BYTES
          + Integer.BYTES;

  /** Size in bytes of the shortest header, in which the sender's name has one byte. */
  static final int MIN_BYTES = FIXED_BYTES + 2;

  private DatagramHeaderCodec() {}

  /**
   * Returns the size of a header in bytes; {@code certificateBytes} is 0 for a header without
   * certificate.
   */
  static int size(String sender, int certificateBytes) {
    return FIXED_BYTES
        + WireFields.textSize(sender)
        + (certificateBytes > 0 ? Short.BYTES + certificateBytes : 0);
  }

  static void put(ByteBuffer out, DatagramEnvelope envelope, Packet packet) {
    Optional<byte[]> certificate = envelope.certificate();
    out.putShort((short) MAGIC).put((byte) VERSION);
    out.put((byte) (certificate.isPresent() ? FLAG_CERTIFICATE : 0));
    out.putInt(envelope.cluster());
    WireFields.putText(out, packet.sender());
    out.putLong(envelope.sequenceNumber()).putLong(envelope.sentAtMillis());
    WireFields.putAddress(out, packet.address());
    out.putLong(packet.incarnation()).putInt(envelope.knownCertificate());
    certificate.ifPresent(bytes -> out.putShort((short) bytes.length).put(bytes));
  }

  /**
   * Reads a header.
   *
   * @throws RejectedDatagramException with {@link RejectionReason#FORM} or {@link
   *     RejectionReason#VERSION}
   */
  static DatagramHeader read(ByteBuffer in) throws RejectedDatagramException {
    try {
      if (in.getShort() != (short) MAGIC) {
        throw new RejectedDatagramException(RejectionReason.FORM);
      }
      if (in.get() != VERSION) {
        throw new RejectedDatagramException(RejectionReason.VERSION);
      }
      return readFields(in);
    } catch (BufferUnderflowException e) {
      throw new RejectedDatagramException(RejectionReason.FORM);
    }
  }

  private static DatagramHeader readFields(ByteBuffer in) throws RejectedDatagramException {
    int flags = in.get();
    int cluster = in.getInt();
    String sender = WireFields.readName(in);
    long sequenceNumber = in.getLong();
    long sentAtMillis = in.getLong();
    long address = WireFields.readAddress(in);
    long incarnation = in.getLong();
    int knownCertificate = in.getInt();
    Optional<byte[]> certificate =
        (flags & FLAG_CERTIFICATE) == 0 ? Optional.empty() : Optional.of(readCertificate(in));
    if (sender.isEmpty()) {
      throw new RejectedDatagramException(RejectionReason.FORM);
    }
    return new DatagramHeader(
        new DatagramEnvelope(cluster, sequenceNumber, sentAtMillis, certificate, knownCertificate),
        sender,
        address,
        incarnation,
        in.position());
  }

  private static byte[] readCertificate(ByteBuffer in) {
    byte[] certificate = new byte[Short.toUnsignedInt(in.getShort())];
    in.get(certificate);
    return certificate;
  }
}
