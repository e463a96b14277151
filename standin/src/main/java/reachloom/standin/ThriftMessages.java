package reachloom.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Encodes a client's calls and decodes the gateway's replies: framed Thrift, strict binary. */
public final class ThriftMessages {
  /** More than the bytes of a call beside its fields and its statement. */
  private static final int SMALL_CALL = 128;

  private static final int MAX_CHAR_BYTES = 3;
  private static final int VERSION = 0x80010000;

  private ThriftMessages() {}

  /**
   * A gateway's reply.
   *
   * @param kind ANSWER, BUSY, FAILED or EXCEPTION
   * @param body the body of an answer
   * @param good the status mark of an answer
   */
  public record Reply(int seq, String kind, String body, boolean good) {}

  /** Encodes a call that runs a statement, as a complete frame that is ready to be read. */
  public static ByteBuffer execute(int seq, Map<String, String> fields, String statement) {
    int fieldChars =
        fields.entrySet().stream().mapToInt(f -> f.getKey().length() + f.getValue().length()).sum();
    int fieldBytes = fields.size() * 2 * Integer.BYTES + MAX_CHAR_BYTES * fieldChars;
    int size = SMALL_CALL + fieldBytes + MAX_CHAR_BYTES * statement.length();
    ByteBuffer out =
        head("execute", 1, seq, size)
            .put((byte) 13)
            .putShort((short) 1)
            .put((byte) 11)
            .put((byte) 11)
            .putInt(fields.size());
    fields.forEach((k, v) -> text(text(out, k), v));
    return end(text(out.put((byte) 11).putShort((short) 2), statement).put((byte) 0));
  }

  /** Encodes a call that interrupts the call of another sequence number. */
  public static ByteBuffer interrupt(int seq, int target) {
    return end(
        head("interrupt", 4, seq, SMALL_CALL)
            .put((byte) 8)
            .putShort((short) 1)
            .putInt(target)
            .put((byte) 0));
  }

  /** Encodes a call that runs nothing: its map has very many fields of one byte each. */
  public static ByteBuffer fields(int seq, int count) {
    int pairBytes = 2 * (Integer.BYTES + 1);
    ByteBuffer out =
        head("execute", 1, seq, SMALL_CALL + count * pairBytes)
            .put((byte) 13)
            .putShort((short) 1)
            .put((byte) 11)
            .put((byte) 11)
            .putInt(count);
    for (int i = 0; i < count; i++) {
      text(text(out, "f"), "v");
    }
    return end(text(out.put((byte) 11).putShort((short) 2), "select 1").put((byte) 0));
  }

  /** Encodes a call that checks whether the gateway is ready. */
  public static ByteBuffer check(int seq) {
    return end(
        head("check", 1, seq, SMALL_CALL)
            .put((byte) 2)
            .putShort((short) 1)
            .put((byte) 1)
            .put((byte) 0));
  }

  /** Encodes a call of a method that the protocol does not define. */
  public static ByteBuffer unknown(int seq) {
    return end(head("drop", 1, seq, SMALL_CALL).put((byte) 0));
  }

  /** Decodes a reply from its frame without the length prefix. */
  public static Reply reply(byte[] frame) {
    ByteBuffer from = ByteBuffer.wrap(frame);
    int type = from.getInt() & 0xff;
    bytes(from);
    int number = from.getInt();
    if (type == 3) {
      return new Reply(number, "EXCEPTION", "", false);
    }
    from.get();
    int field = from.getShort();
    if (field != 0) {
      return new Reply(number, field == 1 ? "BUSY" : "FAILED", "", false);
    }
    from.get();
    from.getShort();
    String body = bytes(from);
    from.position(from.position() + 3 + 2 + 4 + 3);
    return new Reply(number, "ANSWER", body, from.get() == 1);
  }

  private static String bytes(ByteBuffer from) {
    byte[] text = new byte[from.getInt()];
    from.get(text);
    return new String(text, StandardCharsets.UTF_8);
  }

  private static ByteBuffer head(String method, int type, int seq, int size) {
    return text(ByteBuffer.allocate(size).putInt(0).putInt(VERSION | type), method).putInt(seq);
  }

  private static ByteBuffer text(ByteBuffer out, String text) {
    byte[] b = text.getBytes(StandardCharsets.UTF_8);
    return out.putInt(b.length).put(b);
  }

  private static ByteBuffer end(ByteBuffer out) {
    out.putInt(0, out.position() - Integer.BYTES);
    return out.flip();
  }
}
