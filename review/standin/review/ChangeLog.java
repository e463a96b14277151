package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sound change log on loopback. It sends each gateway the events after the number that this has
 * named, as they come, and an empty frame each second.
 */
final class ChangeLog implements AutoCloseable {
  private static final long PERIOD_MS = 1_000;

  private final Record record;
  private final ServerSocket server;
  private final List<byte[]> events = new CopyOnWriteArrayList<>();

  /** Event 1 is the list of the configuration; later ones are added here. */
  ChangeLog(Record record) throws IOException {
    this.record = record;
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Threads.daemon("change log", this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Adds an event of one node: state 0 is ready, 1 draining, 2 gone. */
  void add(Engine engine, int state) {
    long number = 2L + events.size();
    events.add(
        ByteBuffer.allocate(4 + 9 + 27)
            .putInt(9 + 27)
            .putLong(number)
            .put((byte) 2)
            .putInt((int) Long.parseLong(engine.name.substring(2), 16))
            .put(engine.address().getAddress().getAddress())
            .putShort((short) engine.address().getPort())
            .put((byte) state)
            .put((byte) 0)
            .put((byte) 0)
            .putShort((short) 0)
            .putInt(1000)
            .putLong(0)
            .array());
    record.line("change log: event %d, node %s has state %d", number, engine.name, state);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        Threads.daemon("change log connection", () -> serve(socket));
      }
    } catch (IOException e) {
      // the server socket is closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      long last = new DataInputStream(socket.getInputStream()).readLong();
      record.line("change log: a gateway asks for what follows event %d", last);
      int next = (int) Math.max(0, last - 1);
      long emptyAt = System.nanoTime() + PERIOD_MS * 1_000_000;
      while (true) {
        if (next < events.size()) {
          socket.getOutputStream().write(events.get(next++));
        } else if (System.nanoTime() >= emptyAt) {
          emptyAt += PERIOD_MS * 1_000_000;
          socket
              .getOutputStream()
              .write(ByteBuffer.allocate(13).putInt(9).putLong(1L + next).put((byte) 0).array());
        } else {
          Threads.sleep(5);
        }
      }
    } catch (IOException e) {
      // the connection is closed
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
