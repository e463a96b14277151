package reachloom.gateway.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes responses to clients, each as one complete frame. */
public final class ThriftWriter {
  private static final int REPLY = 2;
  private static final int EXCEPTION = 3;
  private static final byte[] EXECUTE = "execute".getBytes(StandardCharsets.UTF_8);
  private static final byte[] CHECK = "check".getBytes(StandardCharsets.UTF_8);
  private static final int HEADER_BYTES = 4 * Integer.BYTES;
  private static final int FIELD_BYTES = 1 + Short.BYTES;
  private static final int EMPTY_MAP_BYTES = FIELD_BYTES + 2 + Integer.BYTES;

  private ThriftWriter() {}

  /** Encodes the result of a served request: all pages in order. */
  public static ByteBuffer answer(int seq, List<Bytes> pages) {
    return answer(EXECUTE, seq, pages, true);
  }

  /** Encodes the response to {@code check}: whether the gateway is ready. */
  public static ByteBuffer check(int seq, boolean ready) {
    return answer(CHECK, seq, List.of(), ready);
  }

  private static ByteBuffer answer(byte[] method, int seq, List<Bytes> pages, boolean success) {
    int body = pages.stream().mapToInt(Bytes::length).sum();
    ByteBuffer out =
        head(
            method,
            REPLY,
            seq,
            FIELD_BYTES
                + FIELD_BYTES
                + Integer.BYTES
                + body
                + EMPTY_MAP_BYTES
                + FIELD_BYTES
                + 1
                + 1
                + 1);
    field(out, ThriftReader.STRUCT, 0);
    field(out, ThriftReader.STRING, 1);
    out.putInt(body);
    pages.forEach(p -> out.put(p.array(), p.from(), p.length()));
    emptyMap(out, 2);
    field(out, ThriftReader.BOOL, 3);
    out.put((byte) (success ? 1 : 0));
    return end(out);
  }

  /** Encodes the rejection of a request that was never forwarded, so that a retry is safe. */
  public static ByteBuffer busy(int seq) {
    return declared(seq, 1);
  }

  /** Encodes the failure of a request that may have run. */
  public static ByteBuffer failed(int seq) {
    return declared(seq, 2);
  }

  /** Encodes an exception that the service declares: a struct with an empty map. */
  private static ByteBuffer declared(int seq, int id) {
    ByteBuffer out = head(EXECUTE, REPLY, seq, FIELD_BYTES + EMPTY_MAP_BYTES + 1 + 1);
    field(out, ThriftReader.STRUCT, id);
    emptyMap(out, 1);
    return end(out);
  }

  /** Encodes an application exception, for a call that was decoded but can't be served. */
  public static ByteBuffer exception(ClientCall.Unusable call) {
    byte[] why = call.why().getBytes(StandardCharsets.UTF_8);
    byte[] method = call.method().getBytes(StandardCharsets.UTF_8);
    ByteBuffer out =
        head(
            method,
            EXCEPTION,
            call.seq(),
            FIELD_BYTES + Integer.BYTES + why.length + FIELD_BYTES + Integer.BYTES + 1);
    field(out, ThriftReader.STRING, 1);
    out.putInt(why.length).put(why);
    field(out, ThriftReader.I32, 2);
    out.putInt(call.type()).put((byte) ThriftReader.STOP);
    return out.flip();
  }

  private static ByteBuffer head(byte[] method, int type, int seq, int rest) {
    int length = HEADER_BYTES - Integer.BYTES + method.length + rest;
    return ByteBuffer.allocate(Integer.BYTES + length)
        .putInt(length)
        .putInt(ThriftReader.VERSION << Short.SIZE | type)
        .putInt(method.length)
        .put(method)
        .putInt(seq);
  }

  private static void field(ByteBuffer out, int type, int id) {
    out.put((byte) type).putShort((short) id);
  }

  private static void emptyMap(ByteBuffer out, int id) {
    field(out, ThriftReader.MAP, id);
    out.put((byte) ThriftReader.STRING).put((byte) ThriftReader.STRING).putInt(0);
  }

  /** Ends the inner struct and the one around it. */
  private static ByteBuffer end(ByteBuffer out) {
    return out.put((byte) ThriftReader.STOP).put((byte) ThriftReader.STOP).flip();
  }
}
