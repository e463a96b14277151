package reachloom.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import reachloom.standin.ThriftMessages.Reply;

/** A blocking client that can also send incomplete and malformed messages. */
public final class ThriftClient implements AutoCloseable {
  private final Socket socket = new Socket();
  private final DataInputStream in;
  private int seq;

  /** The unsent second half of the message that {@link #begin} started. */
  private byte[] rest = {};

  public ThriftClient(InetSocketAddress address) throws IOException {
    socket.connect(address, 5_000);
    socket.setSoTimeout(15_000);
    socket.setTcpNoDelay(true);
    in = new DataInputStream(socket.getInputStream());
  }

  /** Sends a statement; returns its sequence number. */
  public int execute(String statement, String... changes) throws IOException {
    send(call(statement, changes));
    return seq;
  }

  /** Sends the first half of an execute message; returns its sequence number. */
  public int begin(String statement, String... changes) throws IOException {
    byte[] bytes = message(statement, changes);
    raw(Arrays.copyOf(bytes, bytes.length / 2));
    rest = Arrays.copyOfRange(bytes, bytes.length / 2, bytes.length);
    return seq;
  }

  /** Sends the rest of the message that {@link #begin} started. */
  public void finish() throws IOException {
    raw(rest);
  }

  /** Returns the bytes of the next execute message, to be sent with {@link #raw}. */
  public byte[] message(String statement, String... changes) {
    ByteBuffer call = call(statement, changes);
    return Arrays.copyOf(call.array(), call.limit());
  }

  private ByteBuffer call(String statement, String... changes) {
    Map<String, String> fields =
        new LinkedHashMap<>(
            Map.of(
                "verb",
                "quick",
                "txn",
                String.format("%016x", System.nanoTime()),
                "limit",
                "1500",
                "team",
                "one"));
    for (int i = 0; i < changes.length; i += 2) {
      fields.remove(changes[i]);
      if (changes[i + 1] != null) {
        fields.put(changes[i], changes[i + 1]);
      }
    }
    return ThriftMessages.execute(++seq, fields, statement);
  }

  public void interrupt(int target) throws IOException {
    send(ThriftMessages.interrupt(++seq, target));
  }

  public boolean check() throws IOException {
    send(ThriftMessages.check(++seq));
    return reply().good();
  }

  public void unknown() throws IOException {
    send(ThriftMessages.unknown(++seq));
  }

  public void raw(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  public Reply run(String statement, String... changes) throws IOException {
    execute(statement, changes);
    return reply();
  }

  public Reply reply() throws IOException {
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    return ThriftMessages.reply(frame);
  }

  /** Sends a readiness check and, in the same write, bytes that are not a valid message. */
  public void checkThenGarbage(int bytes) throws IOException {
    ByteBuffer call = ThriftMessages.check(++seq);
    byte[] all = new byte[call.limit() + bytes];
    Arrays.fill(all, (byte) -1);
    call.get(all, 0, call.limit());
    socket.getOutputStream().write(all);
  }

  /** Returns whether the gateway closed the connection with a FIN; a reset throws an exception. */
  public boolean ended() throws IOException {
    return in.read() < 0;
  }

  /** Shuts down the output; the client can still read. */
  public void halfClose() throws IOException {
    socket.shutdownOutput();
  }

  /** Closes the connection with a reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private void send(ByteBuffer out) throws IOException {
    socket.getOutputStream().write(out.array(), 0, out.limit());
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
