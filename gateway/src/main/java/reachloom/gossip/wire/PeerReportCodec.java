package reachloom.gossip.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import reachloom.peerreport.PeerReport;

/**
 * Encodes and decodes peer reports of engines:
 *
 * <pre>
 * report = length:1 engine:text incarnation:8 served:2 failed:2 timedOut:2 ageMillis:4
 * </pre>
 *
 * <p>Counts and ages that exceed their fields are written as the largest value that fits. Bytes
 * after the known fields are skipped. Stateless and thread-safe.
 */
final class PeerReportCodec {
  private static final int MAX_COUNT = 0xffff;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private PeerReportCodec() {}

  /** Returns the size of one report in bytes, including its length byte. */
  static int size(PeerReport report) {
    return 1 + WireFields.textSize(report.engine()) + Long.BYTES + 3 * Short.BYTES + Integer.BYTES;
  }

  static void put(ByteBuffer out, PeerReport report) {
    out.put((byte) (size(report) - 1));
    WireFields.putText(out, report.engine());
    out.putLong(report.incarnation())
        .putShort(count(report.served()))
        .putShort(count(report.failed()))
        .putShort(count(report.timedOut()))
        .putInt((int) Math.min(Integer.MAX_VALUE, report.ageNanos() / NANOS_PER_MILLISECOND));
  }

  private static short count(int value) {
    return (short) Math.min(MAX_COUNT, value);
  }

  /** Reads reports up to the end of the buffer. */
  static List<PeerReport> readAll(ByteBuffer in) {
    List<PeerReport> reports = new ArrayList<>();
    while (in.hasRemaining()) {
      ByteBuffer fields = WireFields.slice(in, Byte.toUnsignedInt(in.get()));
      reports.add(
          new PeerReport(
              WireFields.readName(fields),
              fields.getLong(),
              Short.toUnsignedInt(fields.getShort()),
              Short.toUnsignedInt(fields.getShort()),
              Short.toUnsignedInt(fields.getShort()),
              Integer.toUnsignedLong(fields.getInt()) * NANOS_PER_MILLISECOND));
    }
    return reports;
  }
}
