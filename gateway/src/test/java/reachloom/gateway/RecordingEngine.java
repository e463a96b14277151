package reachloom.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import reachloom.standin.FakeEngine;
import reachloom.time.MonotonicClock;

/**
 * An engine that records each line with the time at which it was read, never responds to one query
 * class, and serves all others.
 */
final class RecordingEngine implements AutoCloseable {
  static final int PAGES = 8;
  static final String PAGE = "x".repeat(5_990) + "\tb\tc\n";

  /** A line as it was read, by the Unix clock in nanoseconds. */
  record Line(long at, String text) {}

  final Queue<Line> lines = new ConcurrentLinkedQueue<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final String heldClass;
  private final MonotonicClock clock = new MonotonicClock();

  /** The interval of progress reports for held requests in milliseconds; 0 for none. */
  volatile long noteIntervalMs;

  /** Creates an engine that never responds to a class, and to others with {@link #PAGES} pages. */
  RecordingEngine(String heldClass) throws IOException {
    this.heldClass = heldClass;
    FakeEngine.daemon(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  long count(String prefix) {
    return lines.stream().filter(l -> l.text().startsWith(prefix)).count();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        FakeEngine.daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      PausedPeer.Connection connection = new PausedPeer.Connection(socket);
      socket.setSoTimeout(0);
      socket.setTcpNoDelay(true);
      for (String line = connection.readRequest(); line != null; line = connection.readRequest()) {
        lines.add(new Line(clock.now(), line));
        String[] words = line.split(" ");
        if (words[0].equals("ASK") && !words[2].contains("queue=" + heldClass)) {
          page(connection, words[1] + " OK fetches=" + PAGES);
        } else if (words[0].equals("NEXT")) {
          page(connection, words[1] + " ROWS fetch_no=" + words[2]);
        } else if (words[0].equals("ASK") && noteIntervalMs > 0) {
          FakeEngine.daemon(() -> reportProgress(connection, words[1]));
        }
      }
    } catch (IOException e) {
      // the connection is gone
    }
  }

  private void reportProgress(PausedPeer.Connection connection, String id) {
    try {
      while (true) {
        connection.write(id + " NOTE detail=so_far,figure=0.1 0\r\n\r\n");
        Thread.sleep(noteIntervalMs);
      }
    } catch (IOException e) {
      // the connection is gone
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void page(PausedPeer.Connection connection, String head) throws IOException {
    connection.write(head + " " + PAGE.length() + "\r\n" + PAGE + "\r\n");
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
