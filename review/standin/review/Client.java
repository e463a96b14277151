package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** One connection of a client: framed Thrift, strict binary protocol. */
final class Client implements AutoCloseable {
  /** What a gateway answered: ANSWER, BUSY, FAILED or EXCEPTION, and the body of an answer. */
  record Reply(int seq, String kind, String body, boolean good) {}

  private static final int VERSION = 0x80010000;
  private static final int CALL = 1;
  private static final int ONEWAY = 4;
  private static final int EXCEPTION = 3;

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private int seq;

  Client(InetSocketAddress address) throws IOException {
    socket.connect(address, 5_000);
    socket.setTcpNoDelay(true);
    in = new DataInputStream(socket.getInputStream());
  }

  static String newId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  static Map<String, String> fields(String queryClass, String id, long limitMs) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("verb", queryClass);
    fields.put("txn", id);
    fields.put("limit", Long.toString(limitMs));
    fields.put("team", "site-surabaya");
    if (queryClass.equals("result-load")) {
      fields.put("unique", newId() + newId());
    }
    return fields;
  }

  /** The number of the last call. */
  int lastSeq() {
    return seq;
  }

  /** Returns the frame of the next execute call. */
  byte[] execute(Map<String, String> fields, String statement) {
    int size = 1024 + statement.length();
    ByteBuffer out = head("execute", CALL, ++seq, size);
    out.put((byte) 13).putShort((short) 1).put((byte) 11).put((byte) 11).putInt(fields.size());
    fields.forEach((key, value) -> text(text(out, key), value));
    text(out.put((byte) 11).putShort((short) 2), statement).put((byte) 0);
    return end(out);
  }

  /** Returns the frame of a call that cancels an earlier one. */
  byte[] interrupt(int target) {
    ByteBuffer out = head("interrupt", ONEWAY, ++seq, 128);
    out.put((byte) 8).putShort((short) 1).putInt(target).put((byte) 0);
    return end(out);
  }

  void write(byte[] bytes, int from, int to) throws IOException {
    socket.getOutputStream().write(bytes, from, to - from);
  }

  void write(byte[] bytes) throws IOException {
    write(bytes, 0, bytes.length);
  }

  boolean check() throws IOException {
    ByteBuffer out = head("check", CALL, ++seq, 64);
    write(end(out.put((byte) 2).putShort((short) 1).put((byte) 1).put((byte) 0)));
    socket.setSoTimeout(2_000);
    return reply().good();
  }

  void timeout(int ms) throws IOException {
    socket.setSoTimeout(ms);
  }

  /** Reads the next reply; the end of the connection is an exception. */
  Reply reply() throws IOException {
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    ByteBuffer from = ByteBuffer.wrap(frame);
    int type = from.getInt() & 0xff;
    bytes(from);
    int number = from.getInt();
    if (type == EXCEPTION) {
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

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private static ByteBuffer head(String method, int type, int seq, int size) {
    return text(ByteBuffer.allocate(size + 64).putInt(0).putInt(VERSION | type), method)
        .putInt(seq);
  }

  private static ByteBuffer text(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return out.putInt(bytes.length).put(bytes);
  }

  private static byte[] end(ByteBuffer out) {
    out.putInt(0, out.position() - Integer.BYTES);
    byte[] frame = new byte[out.position()];
    out.flip().get(frame);
    return frame;
  }

  private static String bytes(ByteBuffer from) {
    byte[] text = new byte[from.getInt()];
    from.get(text);
    return new String(text, StandardCharsets.UTF_8);
  }
}
