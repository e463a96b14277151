package reachloom.gateway;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An engine or a change log that does nothing by itself: a test decides when a dial comes up, when
 * bytes are read, and what is said. Dials are held by a full queue of the system's, and so are late
 * as late dials are.
 */
final class PausedPeer implements AutoCloseable {
  private static final int SMALL = 64 * 1024;
  private final ServerSocket server;
  private final List<Socket> fillers = new ArrayList<>();
  private final List<Socket> accepted = new ArrayList<>();

  /** A connection as this side sees it. */
  static final class Connection {
    final Socket socket;
    private final InputStream in;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(10_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** The next line without its end, or null at the end of the stream. */
    String line() throws IOException {
      StringBuilder text = new StringBuilder();
      for (int b = in.read(); b >= 0; b = in.read()) {
        if (b == '\n') {
          return text.substring(0, text.length() - 1);
        }
        text.append((char) b);
      }
      return null;
    }

    /** The next request's line, its statement read and dropped. */
    String request() throws IOException {
      String line = line();
      if (line != null && line.startsWith("ASK")) {
        in.readNBytes(Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1)) + 2);
      }
      return line;
    }

    /** All lines up to one that starts so, statements left out. */
    List<String> linesUpTo(String start) throws IOException {
      List<String> lines = new ArrayList<>();
      for (String line = request(); line != null; line = request()) {
        lines.add(line);
        if (line.startsWith(start)) {
          return lines;
        }
      }
      lines.add("end of the stream");
      return lines;
    }

    /** Bytes that are here and have not been read. */
    int unread() {
      try {
        return in.available();
      } catch (IOException e) {
        return 0;
      }
    }

    long number() throws IOException {
      return new DataInputStream(in).readLong();
    }

    void say(String text) throws IOException {
      say(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void say(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }
  }

  PausedPeer() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(SMALL); // so that little is on its way unread
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
    server.setSoTimeout(10_000);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** From now on dials hang. */
  void holdDials() throws IOException {
    for (int i = 0; i < 2; i++) {
      Socket s = new Socket();
      s.connect(address(), 1_000);
      fillers.add(s);
    }
  }

  /**
   * Lets the dials go on that hang: they come up at the next of the system's own tries, in some
   * seconds.
   */
  void releaseDials() throws IOException {
    for (Socket ignored : fillers) {
      accepted.add(server.accept());
    }
  }

  Connection accept() throws IOException {
    Socket s = server.accept();
    accepted.add(s);
    return new Connection(s);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket s : fillers) {
      s.close();
    }
    for (Socket s : accepted) {
      s.close();
    }
  }
}
