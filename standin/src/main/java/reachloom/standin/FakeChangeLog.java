package reachloom.standin;

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
 * A change log on loopback. It sends each client the events after the number in the client's hello,
 * and while there are none to send, an empty frame every heartbeat period, one second by default.
 */
public final class FakeChangeLog implements AutoCloseable {
  public final List<Long> hellos = new CopyOnWriteArrayList<>();
  private final List<byte[]> events = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final ServerSocket server;
  private final long first;
  private volatile long heartbeatPeriodMs = 1_000;

  /** Creates a log whose first event has the number after the given one. */
  public FakeChangeLog(long first) throws IOException {
    this.first = first;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    FakeEngine.daemon(this::accept);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Sets the period in milliseconds at which a frame without an event is sent. */
  public void setHeartbeatPeriod(long ms) {
    heartbeatPeriodMs = ms;
  }

  /** Adds an event of one engine; state 0 is ready, 1 draining, 2 gone. */
  public void add(int id, FakeEngine node, int state) {
    add(id, node, state, 0);
  }

  /** Adds an event of one engine that started at a Unix time in milliseconds. */
  public void add(int id, FakeEngine node, int state, long startedMs) {
    ByteBuffer frame =
        ByteBuffer.allocate(4 + 9 + 27)
            .putInt(9 + 27)
            .putLong(first + 1 + events.size())
            .put((byte) 2)
            .putInt(id)
            .put(node.address().getAddress().getAddress())
            .putShort((short) node.address().getPort())
            .put((byte) state)
            .put((byte) 0)
            .put((byte) 0)
            .putShort((short) 0)
            .putInt(1000)
            .putLong(startedMs);
    events.add(frame.array());
  }

  /** Closes all connections. */
  public void cut() throws IOException {
    for (Socket s : sockets) {
      s.close();
    }
    sockets.clear();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = server.accept();
        sockets.add(s);
        FakeEngine.daemon(() -> serve(s));
      }
    } catch (IOException e) {
      // the server socket is closed
    }
  }

  private void serve(Socket s) {
    try (s) {
      long last = new DataInputStream(s.getInputStream()).readLong();
      hellos.add(last);
      int next = (int) (last - first);
      // Measures time by the clock: on a busy machine each loop step takes longer than its sleep.
      for (long lastHeartbeat = System.nanoTime() - heartbeatPeriodMs * 1_000_000; ; ) {
        if (next < events.size()) {
          s.getOutputStream().write(events.get(next++));
          continue;
        } else if (System.nanoTime() - lastHeartbeat >= heartbeatPeriodMs * 1_000_000) {
          lastHeartbeat = System.nanoTime();
          s.getOutputStream()
              .write(ByteBuffer.allocate(13).putInt(9).putLong(first + next).put((byte) 0).array());
        }
        Thread.sleep(50);
      }
    } catch (IOException | InterruptedException e) {
      // the connection is closed
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    cut();
  }
}
