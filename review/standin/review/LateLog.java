package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A proxy before the change log. While {@link #delayMs} is above 0, what the log writes comes to the
 * gateways that much later, in order and whole; nothing is dropped, and no connection is ended.
 */
final class LateLog implements AutoCloseable {
  private record Piece(byte[] bytes, long dueNanos) {}

  private static final Piece END = new Piece(new byte[0], 0);

  volatile long delayMs;
  private final Record record;
  private final InetSocketAddress log;
  private final ServerSocket server;

  LateLog(InetSocketAddress log, Record record) throws IOException {
    this.log = log;
    this.record = record;
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Threads.daemon("proxy", this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void accept() {
    try {
      while (true) {
        Socket gateway = server.accept();
        Socket upstream = new Socket(log.getAddress(), log.getPort());
        gateway.setTcpNoDelay(true);
        upstream.setTcpNoDelay(true);
        BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Threads.daemon("proxy up", () -> up(gateway, upstream));
        Threads.daemon("proxy in", () -> read(upstream, pieces));
        Threads.daemon("proxy out", () -> write(gateway, upstream, pieces));
      }
    } catch (IOException e) {
      // the server socket is closed
    }
  }

  private void up(Socket gateway, Socket upstream) {
    try (upstream) {
      gateway.getInputStream().transferTo(upstream.getOutputStream());
      record.line("proxy: the gateway has ended its connection to the change log");
    } catch (IOException e) {
      record.line("proxy: the connection of the gateway ended: %s", e.getMessage());
    }
  }

  private void read(Socket upstream, BlockingQueue<Piece> pieces) {
    byte[] buffer = new byte[4096];
    try {
      InputStream in = upstream.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        pieces.add(
            new Piece(Arrays.copyOf(buffer, count), System.nanoTime() + delayMs * 1_000_000));
      }
    } catch (IOException e) {
      // the connection is closed
    }
    pieces.add(END);
  }

  private void write(Socket gateway, Socket upstream, BlockingQueue<Piece> pieces) {
    try (gateway;
        upstream) {
      for (Piece piece = pieces.take(); piece != END; piece = pieces.take()) {
        long waitMs = (piece.dueNanos - System.nanoTime()) / 1_000_000;
        if (waitMs > 0) {
          Threads.sleep(waitMs);
        }
        gateway.getOutputStream().write(piece.bytes);
      }
    } catch (IOException | InterruptedException e) {
      // the connection is closed
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
