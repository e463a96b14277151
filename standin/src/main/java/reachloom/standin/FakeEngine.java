package reachloom.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An engine on loopback that speaks the engine line protocol. Words in a statement's text select
 * how it responds: {@code busy}, {@code err}, {@code hang}, {@code die}, {@code late}, {@code
 * pages}, {@code badpage}, {@code copies} (each answer is sent twice, the first one after an answer
 * with an unknown id), {@code noise}, {@code stops} (after half of the answer), {@code note},
 * {@code allnotes}, {@code garbage}, {@code slow first}.
 */
public final class FakeEngine implements AutoCloseable {
  public static final String ROW = "a\tb\tc\n";

  public final List<String> commands = new CopyOnWriteArrayList<>();
  private final Set<String> twice = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final ServerSocket server;
  private final SplittableRandom random = new SplittableRandom(1);
  private volatile double meanMs;
  private volatile boolean hung;
  private volatile int keptCommands = Integer.MAX_VALUE;

  public FakeEngine() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  public static void daemon(Runnable work) {
    Thread t = new Thread(work);
    t.setDaemon(true);
    t.start();
  }

  /**
   * Sets the mean service time of plain statements in milliseconds. Times are exponentially
   * distributed, at most six means.
   */
  public void setMeanServiceTime(double ms) {
    meanMs = ms;
    keptCommands = 0; // a long run would keep too many command lines
  }

  /**
   * Sets whether plain statements get no answer; probes are still answered. Has an effect only if a
   * mean service time is set.
   */
  public void hang(boolean now) {
    hung = now;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  public long count(String prefix) {
    return commands.stream().filter(c -> c.startsWith(prefix)).count();
  }

  /** Closes all connections with a FIN, as an engine closes idle ones. */
  public void cut() throws IOException {
    for (Socket s : sockets) {
      s.close();
    }
  }

  public int connections() {
    return sockets.size();
  }

  /** Returns how many connections neither side has closed. */
  public long open() {
    return sockets.stream().filter(s -> !s.isClosed()).count();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = server.accept();
        sockets.add(s);
        daemon(() -> serve(s));
      }
    } catch (IOException e) {
      // the server socket is closed
    }
  }

  private void serve(Socket s) {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (String line = line(in); line != null; line = line(in)) {
        if (commands.size() < keptCommands) {
          commands.add(line);
        }
        String[] words = line.split(" ");
        if (words[0].equals("ASK")) {
          String statement =
              new String(in.readNBytes(Integer.parseInt(words[3])), StandardCharsets.UTF_8);
          in.readNBytes(2);
          ask(s, words[1], statement);
        } else if (words[0].equals("INFO") || words[0].equals("NOOP")) {
          say(s, words[1] + " UP use=util:0.1;queue:0;x0:0.1;x1:0.1", "");
        } else if (words[0].equals("NEXT")) {
          for (int i = 0; i < (twice.contains(words[1]) ? 2 : 1); i++) {
            say(
                s,
                words[1] + " ROWS fetch_no=" + words[2],
                ROW.repeat(Integer.parseInt(words[2]) + 1));
          }
        }
      }
    } catch (IOException e) {
      // the connection is closed
    }
  }

  private void ask(Socket s, String id, String statement) throws IOException {
    if (statement.contains("busy")) {
      say(s, id + " BUSY -", "");
    } else if (statement.contains("err")) {
      say(s, id + " ERR -", "");
    } else if (statement.contains("slow first") && count("ASK") == 1) {
      later(() -> say(s, id + " OK fetches=1", "first\t\t\n"), 60);
    } else if (statement.contains("slow first")) {
      later(() -> say(s, id + " OK fetches=1", "second\t\t\n"), 150);
    } else if (statement.contains("allnotes")) {
      for (String note :
          List.of(
              "detail=so_far,figure=0.5",
              "detail=lacking,figure=12",
              "detail=waiting,figure=1",
              "detail=waiting,figure=2",
              "-")) {
        say(s, id + " NOTE " + note, "");
      }
    } else if (statement.contains("note")) {
      say(s, id + " NOTE detail=so_far,figure=0.5", "");
      say(s, id + " OK fetches=1,effort=5,high=8", ROW);
    } else if (statement.contains("die")) {
      s.setSoLinger(true, 0);
      s.close();
    } else if (statement.contains("garbage")) {
      s.getOutputStream().write("no answer at all\r\n".getBytes(StandardCharsets.UTF_8));
    } else if (statement.contains("badpage")) {
      say(s, id + " OK fetches=3,effort=5,high=1", ROW);
      say(s, id + " ROWS fetch_no=2", ROW);
    } else if (statement.contains("noise")) {
      say(s, id + " OK fetches=1,effort=5,high=1", "a\tb\nc");
    } else if (statement.contains("stops")) {
      s.getOutputStream().write((id + " OK fetches=1 6\r\na\tb").getBytes(StandardCharsets.UTF_8));
    } else if (statement.contains("copies")) {
      twice.add(id);
      say(s, "00000000000000ff OK fetches=1", ROW);
      say(s, id + " OK fetches=3,effort=5,high=1", ROW);
      say(s, id + " OK fetches=3,effort=5,high=1", ROW);
    } else if (statement.contains("pages")) {
      say(s, id + " OK fetches=3,effort=5,high=1", ROW);
    } else if (statement.contains("late")) {
      later(() -> say(s, id + " OK fetches=1,effort=5,high=1", ROW), 300);
    } else if (!statement.contains("hang") && meanMs > 0) {
      if (!hung) {
        later(() -> say(s, id + " OK fetches=1,effort=5,high=1", ROW), drawServiceTimeMs());
      }
    } else if (!statement.contains("hang")) {
      say(s, id + " OK fetches=1,effort=5,high=1", ROW);
    }
  }

  private synchronized long drawServiceTimeMs() {
    return Math.round(Math.min(6 * meanMs, -meanMs * Math.log(1 - random.nextDouble())));
  }

  private interface Response {
    void send() throws IOException;
  }

  private static final ScheduledExecutorService DELAYED_RESPONSES =
      Executors.newScheduledThreadPool(
          2,
          work -> {
            Thread t = new Thread(work, "stand-in");
            t.setDaemon(true);
            return t;
          });

  private static void later(Response response, long delayMs) {
    DELAYED_RESPONSES.schedule(
        () -> {
          try {
            response.send();
          } catch (IOException e) {
            // the gateway has closed the connection
          }
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  private static void say(Socket s, String head, String body) throws IOException {
    byte[] bytes =
        (head + " " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8);
    OutputStream out = s.getOutputStream();
    synchronized (out) {
      out.write(bytes);
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
    for (Socket s : sockets) {
      s.close();
    }
  }
}
