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
 * An engine that notes each line with the time at which it was read, and serves what it is not to
 * hold.
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

  /** An engine that never answers that class, and all others with {@link #PAGES} pages. */
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
        Socket s = server.accept();
        sockets.add(s);
        FakeEngine.daemon(() -> serve(s));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket s) {
    try (s) {
      PausedPeer.Connection connection = new PausedPeer.Connection(s);
      s.setSoTimeout(0);
      s.setTcpNoDelay(true);
      for (String line = connection.request(); line != null; line = connection.request()) {
        lines.add(new Line(clock.now(), line));
        String[] words = line.split(" ");
        if (words[0].equals("ASK") && !words[2].contains("queue=" + heldClass)) {
          page(connection, words[1] + " OK fetches=" + PAGES);
        } else if (words[0].equals("NEXT")) {
          page(connection, words[1] + " ROWS fetch_no=" + words[2]);
        }
      }
    } catch (IOException e) {
      // the connection is gone
    }
  }

  private static void page(PausedPeer.Connection connection, String head) throws IOException {
    connection.say(head + " " + PAGE.length() + "\r\n" + PAGE + "\r\n");
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket s : sockets) {
      s.close();
    }
  }
}
