package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound warehouse node on loopback. It runs all that it is sent at once; a comment {@code
 * ms=NUMBER} in the statement says how long a request runs, 50 ms without one. While a request runs
 * it sends a note each 500 ms; QUIT and the end of the connection stop what runs.
 */
final class Engine implements AutoCloseable {
  static final String ROW = "a\tb\tc\n";
  private static final Pattern WORK = Pattern.compile("ms=(\\d+)");
  private static final long NOTE_PERIOD_MS = 500;

  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          4,
          work -> {
            Thread thread = new Thread(work, "engine-timer");
            thread.setDaemon(true);
            return thread;
          });

  /** A request that has come whole to this node. */
  static final class Arrival {
    final String id;
    final double atMs;
    volatile double endMs = Double.NaN;
    volatile String end = "";

    Arrival(String id, double atMs) {
      this.id = id;
      this.atMs = atMs;
    }
  }

  private static final class Running {
    private final Arrival arrival;
    private ScheduledFuture<?> notes;
    private ScheduledFuture<?> end;

    private Running(Arrival arrival) {
      this.arrival = arrival;
    }

    private void stop() {
      notes.cancel(false);
      end.cancel(false);
    }
  }

  final String name;
  final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private final Record record;
  private final ServerSocket server;

  Engine(int number, Record record) throws IOException {
    name = String.format("s-%08x", number);
    this.record = record;
    server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    Threads.daemon("engine " + name, this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Threads.daemon("engine connection", () -> serve(socket));
      }
    } catch (IOException e) {
      // the server socket is closed
    }
  }

  private void serve(Socket socket) {
    Map<String, Running> open = new ConcurrentHashMap<>();
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (String line = line(in); line != null; line = line(in)) {
        String[] words = line.split(" ");
        switch (words[0]) {
          case "ASK" -> {
            String statement =
                new String(in.readNBytes(Integer.parseInt(words[3])), StandardCharsets.UTF_8);
            in.readNBytes(2);
            ask(socket, open, words[1], words[2], statement);
          }
          case "QUIT" -> end(open, words[1], "given up by QUIT");
          case "INFO" -> say(socket, words[1] + " UP use=util:0.1;queue:0;x0:0.1;x1:0.1", "");
          case "NOOP" -> say(socket, words[1] + " UP -", "");
          default -> {
            // PRIO and FREE have no answer; NEXT is not sent, as all results have one page
          }
        }
      }
    } catch (IOException e) {
      // the connection is closed
    }
    List.copyOf(open.keySet()).forEach(id -> end(open, id, "given up by the connection's end"));
  }

  private void ask(
      Socket socket, Map<String, Running> open, String id, String fields, String statement) {
    Arrival arrival = new Arrival(id, record.nowMs());
    arrivals.add(arrival);
    record.line("node %s: ASK %s %s, %d bytes", name, id, fields, statement.length());
    Matcher work = WORK.matcher(statement);
    long workMs = work.find() ? Long.parseLong(work.group(1)) : 50;
    Running running = new Running(arrival);
    running.notes =
        TIMER.scheduleAtFixedRate(
            () -> {
              double share = (record.nowMs() - arrival.atMs) / workMs;
              trySay(socket, id + " NOTE detail=so_far,figure=" + Math.min(0.99, share), "");
            },
            NOTE_PERIOD_MS,
            NOTE_PERIOD_MS,
            TimeUnit.MILLISECONDS);
    running.end =
        TIMER.schedule(
            () -> {
              if (end(open, id, "run to its end")) {
                trySay(socket, id + " OK fetches=1,effort=" + workMs + ",high=16", ROW);
              }
            },
            workMs,
            TimeUnit.MILLISECONDS);
    open.put(id, running);
  }

  private boolean end(Map<String, Running> open, String id, String how) {
    Running running = open.remove(id);
    if (running == null) {
      return false;
    }
    running.stop();
    running.arrival.endMs = record.nowMs();
    running.arrival.end = how;
    record.line("node %s: %s %s", name, id, how);
    return true;
  }

  private static void trySay(Socket socket, String head, String body) {
    try {
      say(socket, head, body);
    } catch (IOException e) {
      // the connection is closed
    }
  }

  private static void say(Socket socket, String head, String body) throws IOException {
    byte[] bytes =
        (head + " " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8);
    synchronized (socket) {
      socket.getOutputStream().write(bytes);
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        return text.substring(0, text.length() - 1);
      }
      text.append((char) b);
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
