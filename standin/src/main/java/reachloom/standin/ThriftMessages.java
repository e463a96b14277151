package reachloom.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** What a client says and hears, as bytes: framed Thrift in its strict binary form. */
public final class ThriftMessages {
  private static final int MAX_CALL = 64 * 1024;
  private static final int VERSION = 0x80010000;

  private ThriftMessages() {}

  /**
   * What a gateway answered: ANSWER, BUSY, FAILED or EXCEPTION, and the body and mark of an answer.
   */
  public record Reply(int seq, String kind, String body, boolean good) {}

  /** A call that runs a statement; a whole frame, ready to be read. */
  public static ByteBuffer execute(int seq, Map<String, String> fields, String statement) {
    ByteBuffer out =
        head("execute", 1, seq)
            .put((byte) 13)
            .putShort((short) 1)
            .put((byte) 11)
            .put((byte) 11)
            .putInt(fields.size());
    fields.forEach((k, v) -> text(text(out, k), v));
    return end(text(out.put((byte) 11).putShort((short) 2), statement).put((byte) 0));
  }

  /** A call that gives another one up. */
  public static ByteBuffer interrupt(int seq, int target) {
    return end(
        head("interrupt", 4, seq).put((byte) 8).putShort((short) 1).putInt(target).put((byte) 0));
  }

  /** A call that asks whether the gateway is ready. */
  public static ByteBuffer check(int seq) {
    return end(head("check", 1, seq).put((byte) 2).putShort((short) 1).put((byte) 1).put((byte) 0));
  }

  /** A call of a method that nobody knows. */
  public static ByteBuffer unknown(int seq) {
    return end(head("drop", 1, seq).put((byte) 0));
  }

  /** A reply, from its frame without the length. */
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

  private static ByteBuffer head(String method, int type, int seq) {
    return text(ByteBuffer.allocate(MAX_CALL).putInt(0).putInt(VERSION | type), method).putInt(seq);
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
