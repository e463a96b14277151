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
 * An engine or a change log that does nothing by itself: a test decides when a connect succeeds,
 * when bytes are read, and what is sent. Connects are blocked by a full accept queue of the
 * operating system, so that they succeed late, as slow connects do.
 */
final class PausedPeer implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
  private final ServerSocket server;
  private final List<Socket> fillers = new ArrayList<>();
  private final List<Socket> accepted = new ArrayList<>();

  /** This side of a connection. */
  static final class Connection {
    final Socket socket;
    private final InputStream in;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(10_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Reads a line without its terminator; returns null at the end of the stream. */
    String readLine() throws IOException {
      StringBuilder text = new StringBuilder();
      for (int b = in.read(); b >= 0; b = in.read()) {
        if (b == '\n') {
          return text.substring(0, text.length() - 1);
        }
        text.append((char) b);
      }
      return null;
    }

    /** Reads the line of a request, and discards its statement. */
    String readRequest() throws IOException {
      String line = readLine();
      if (line != null && line.startsWith("ASK")) {
        in.readNBytes(Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1)) + 2);
      }
      return line;
    }

    /** Reads all lines up to one with the given start; discards statements. */
    List<String> readLinesUntil(String start) throws IOException {
      List<String> lines = new ArrayList<>();
      for (String line = readRequest(); line != null; line = readRequest()) {
        lines.add(line);
        if (line.startsWith(start)) {
          return lines;
        }
      }
      lines.add("end of the stream");
      return lines;
    }

    /** Returns the number of received bytes that have not been read. */
    int availableBytes() {
      try {
        return in.available();
      } catch (IOException e) {
        return 0;
      }
    }

    /** Reads the event number of a change log subscription. */
    long readEventNumber() throws IOException {
      return new DataInputStream(in).readLong();
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }
  }

  PausedPeer() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES); // so that few unread bytes are buffered
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
    server.setSoTimeout(10_000);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Blocks all further connects. */
  void blockConnects() throws IOException {
    for (int i = 0; i < 2; i++) {
      Socket socket = new Socket();
      socket.connect(address(), 1_000);
      fillers.add(socket);
    }
  }

  /**
   * Unblocks the blocked connects: they succeed at the operating system's next retry, within some
   * seconds.
   */
  void unblockConnects() throws IOException {
    for (Socket ignored : fillers) {
      accepted.add(server.accept());
    }
  }

  Connection accept() throws IOException {
    Socket socket = server.accept();
    accepted.add(socket);
    return new Connection(socket);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : fillers) {
      socket.close();
    }
    for (Socket socket : accepted) {
      socket.close();
    }
  }
}
