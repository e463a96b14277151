import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of this review share: gateways as processes of the deploy file's `run` line, and
 * stand-ins for warehouse nodes, the change log and clients, all on loopback. Exit status of a case:
 * 0 the rule held, 1 it was broken, 2 the case could not run.
 */
final class Rig {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;
  private static final int MAX_SECONDS = 112;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root;
  final Path folder;
  final Path temporary;
  final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(
          4,
          work -> {
            Thread t = new Thread(work, "timers");
            t.setDaemon(true);
            return t;
          });
  private final PrintWriter record;
  private final long began = System.nanoTime();
  private final List<Gateway> gateways = new CopyOnWriteArrayList<>();
  private boolean ended;

  /** A case: sets up, disturbs, and returns whether the rule was kept. */
  interface Case {
    boolean keepsRule(Rig rig) throws Exception;
  }

  private Rig(Path root, Path folder) throws IOException {
    this.root = root;
    this.folder = folder;
    temporary = Files.createTempDirectory("reachloom-review");
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
  }

  /** Runs a case; the arguments are the repository's root and the folder of the case. */
  static void run(String[] arguments, Case test) {
    int status = NOT_RUN;
    Rig rig = null;
    try {
      rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]));
      Rig started = rig;
      Runtime.getRuntime().addShutdownHook(new Thread(started::end));
      daemon(
          () -> {
            pause(MAX_SECONDS * 1000L);
            started.note("the case took more than " + MAX_SECONDS + " s and is ended");
            started.end();
            Runtime.getRuntime().halt(NOT_RUN);
          });
      rig.note("trouble " + (rig.trouble ? "on" : "off"));
      status = test.keepsRule(rig) ? HELD : BROKEN;
    } catch (Throwable e) {
      e.printStackTrace();
      if (rig != null) {
        rig.note("the case could not run: " + e);
      }
    }
    if (rig != null) {
      rig.note("status " + status + (status == HELD ? ": the rule held" : status == BROKEN ? ": the rule was broken" : ""));
      rig.end();
    }
    System.exit(status);
  }

  synchronized void end() {
    if (ended) {
      return;
    }
    ended = true;
    gateways.forEach(Gateway::kill);
    record.flush();
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      // the folder is temporary
    }
  }

  /** Writes a line, with the time since the start in milliseconds. */
  void note(String line) {
    String text = String.format("%8.1f  %s", (System.nanoTime() - began) / 1e6, line);
    synchronized (record) {
      record.println(text);
    }
    System.out.println(text);
  }

  /** Writes a line to the record only. */
  void detail(String line) {
    synchronized (record) {
      record.println(String.format("%8.1f  %s", (System.nanoTime() - began) / 1e6, line));
    }
  }

  static void daemon(Runnable work) {
    Thread t = new Thread(work);
    t.setDaemon(true);
    t.start();
  }

  static void pause(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a new id of a request: 16 hex digits. */
  static String newId() {
    return String.format("%016x", UUID.randomUUID().getMostSignificantBits());
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return (InetSocketAddress) s.getLocalSocketAddress();
    }
  }

  // ---- Configuration ----

  /** A configuration as the deployment page shows it, of one gateway. */
  static String configuration(
      InetSocketAddress listen, InetSocketAddress log, String settings, List<String> hosts) {
    return String.format(
        "{\"name\":\"n1\",\"listen\":\"%s\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
            + "\"memory_mb\":192,\"sockets\":1024},\"changelog\":\"%s\",\"known\":{\"seq\":1,\"results\":[{\"seq\":1,"
            + "\"fleet\":{\"seq\":1,\"whole\":true,\"hosts\":[%s]}}]},\"settings\":%s}",
        text(listen), text(log), String.join(",", hosts), settings);
  }

  /** A host of the list; zone and kind by their names in the settings. */
  static String host(int id, InetSocketAddress address, String zone, String kind) {
    return String.format(
        "{\"host\":\"s-%08x\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"%s\",\"block\":0,"
            + "\"health\":\"in_service\",\"share\":1,\"born_ms\":0}",
        id, text(address), zone, kind);
  }

  // ---- Gateways ----

  /** Starts a gateway by the deploy file's `run` line, and waits until it is ready. */
  Gateway gateway(String configuration) throws Exception {
    Gateway gateway = new Gateway(configuration);
    gateways.add(gateway);
    gateway.awaitReady();
    return gateway;
  }

  final class Gateway {
    final InetSocketAddress listen;
    final Process process;
    private final Path home;
    private final Path log;

    private Gateway(String configuration) throws IOException {
      Matcher m = Pattern.compile("\"listen\":\"([0-9.]+):([0-9]+)\"").matcher(configuration);
      if (!m.find()) {
        throw new IllegalArgumentException("no listen address");
      }
      listen = new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2)));
      home = Files.createTempDirectory(temporary, "gateway");
      Path config = Files.writeString(home.resolve("config.json"), configuration);
      log = home.resolve("log");
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", runLine())
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile());
      builder.environment().keySet().removeIf(k -> k.startsWith("LB_"));
      builder.environment().put("LB_CONFIG", config.toString());
      builder.environment().put("LB_NAME", "n1");
      builder.environment().put("LB_LISTEN", text(listen));
      builder.environment().put("TMPDIR", home.toString());
      process = builder.start();
      note("gateway " + text(listen) + " started, process " + process.pid());
    }

    private String runLine() throws IOException {
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        Matcher m = Pattern.compile("run = \"(.*?)\".*").matcher(line);
        if (m.matches()) {
          return m.group(1);
        }
      }
      throw new IOException("deploy/balancer.toml has no run line");
    }

    private void awaitReady() throws Exception {
      for (int i = 0; i < 600; i++) {
        if (!process.isAlive()) {
          break;
        }
        try (Client client = new Client(listen, "check")) {
          if (client.check()) {
            note("gateway " + text(listen) + " is ready");
            return;
          }
        } catch (IOException e) {
          // it does not listen yet
        }
        pause(50);
      }
      throw new IOException("the gateway did not become ready: " + Files.readString(log));
    }

    /** Copies the last lines of the gateway's log to the record. */
    void recordLog(int lines) {
      try {
        List<String> all = Files.readAllLines(log);
        all.subList(Math.max(0, all.size() - lines), all.size()).forEach(l -> detail("log: " + l));
      } catch (IOException e) {
        detail("log: not readable");
      }
    }

    private void kill() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  // ---- Change log ----

  /** A change log that has nothing new: event 1 is in the configuration. */
  final class ChangeLog {
    final InetSocketAddress address;
    private final ServerSocket server;

    ChangeLog() throws IOException {
      server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      address = (InetSocketAddress) server.getLocalSocketAddress();
      daemon(
          () -> {
            try {
              while (true) {
                Socket s = server.accept();
                daemon(() -> serve(s));
              }
            } catch (IOException e) {
              // closed
            }
          });
    }

    private void serve(Socket s) {
      try (s) {
        s.setTcpNoDelay(true);
        long last = new DataInputStream(s.getInputStream()).readLong();
        detail("change log: asked for what follows event " + last);
        while (true) { // "nothing new", each second
          s.getOutputStream().write(ByteBuffer.allocate(13).putInt(9).putLong(1).put((byte) 0).array());
          pause(1_000);
        }
      } catch (IOException e) {
        detail("change log: a connection ended");
      }
    }
  }

  // ---- Warehouse nodes ----

  /** A request as it came to a warehouse node. */
  static final class Ask {
    Node node;
    Socket connection;
    String id;
    Map<String, String> fields;
    String statement;
    long atNanos;
    /** When the node wrote its answer; 0 before. */
    volatile long endedNanos;
    volatile boolean over;

    void answer(String body) {
      over = true;
      say(connection, id + " OK fetches=1,effort=5,high=8", body);
    }

    void progress(double share) {
      say(connection, id + " NOTE detail=so_far,figure=" + share, "");
    }

    /** Resets the connection on which the request came. */
    void reset() {
      over = true;
      try {
        connection.setSoLinger(true, 0);
        connection.close();
      } catch (IOException e) {
        // it is closed
      }
    }
  }

  /** Says what a warehouse node does with a request that has come whole. */
  interface Work {
    void run(Ask ask);
  }

  static void say(Socket s, String head, String body) {
    byte[] bytes =
        (head + " " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n" + body + "\r\n")
            .getBytes(StandardCharsets.UTF_8);
    try {
      synchronized (s) {
        s.getOutputStream().write(bytes);
      }
    } catch (IOException e) {
      // the gateway has closed the connection
    }
  }

  /** A warehouse node that speaks the protocol page's lines; its work is the case's. */
  final class Node {
    final String name;
    final InetSocketAddress address;
    final List<Ask> asks = new CopyOnWriteArrayList<>();
    final Map<String, Ask> open = new ConcurrentHashMap<>();
    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    volatile Work work;
    /** The load report that a probe is answered with. */
    volatile Supplier<String> report = () -> "util:0.1;queue:0;x0:0.1;x1:0.1";
    boolean quiet;
    private final ServerSocket server;

    Node(String name, Work work) throws IOException {
      this.name = name;
      this.work = work;
      server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
      address = (InetSocketAddress) server.getLocalSocketAddress();
      daemon(
          () -> {
            try {
              while (true) {
                Socket s = server.accept();
                sockets.add(s);
                daemon(() -> serve(s));
              }
            } catch (IOException e) {
              // closed
            }
          });
    }

    private void serve(Socket s) {
      List<String> mine = new ArrayList<>();
      try (s) {
        s.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(s.getInputStream());
        for (String line = line(in); line != null; line = line(in)) {
          if (!quiet) {
            detail(name + " <- " + line);
          }
          String[] words = line.split(" ");
          switch (words[0]) {
            case "ASK" -> {
              Ask ask = new Ask();
              ask.node = this;
              ask.connection = s;
              ask.id = words[1];
              ask.fields = fields(words[2]);
              ask.statement =
                  new String(in.readNBytes(Integer.parseInt(words[3])), StandardCharsets.UTF_8);
              in.readNBytes(2);
              ask.atNanos = System.nanoTime();
              if (!quiet) {
                asks.add(ask);
              }
              mine.add(ask.id);
              open.put(ask.id, ask);
              work.run(ask);
            }
            case "QUIT" -> {
              Ask ask = open.remove(words[1]);
              if (ask != null) {
                ask.over = true;
              }
            }
            case "INFO", "NOOP" -> say(s, words[1] + " UP use=" + report.get(), "");
            default -> {
              // PRIO, NEXT and FREE need nothing here: results have one page
            }
          }
        }
      } catch (IOException e) {
        // the connection is closed
      }
      for (String id : mine) { // closing a connection gives up all that is open on it
        Ask ask = open.get(id);
        if (ask != null && ask.connection == s) {
          ask.over = true;
          open.remove(id);
        }
      }
    }
  }

  static Map<String, String> fields(String text) {
    Map<String, String> read = new LinkedHashMap<>();
    for (String field : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        read.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return read;
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

  // ---- Clients ----

  /** What a client was answered. */
  record Reply(int seq, String kind, String body) {}

  /** A client: framed transport, strict binary protocol. */
  static final class Client implements AutoCloseable {
    final String name;
    final Socket socket = new Socket();
    private final DataInputStream in;
    private int seq;

    Client(InetSocketAddress gateway, String name) throws IOException {
      this.name = name;
      socket.connect(gateway, 5_000);
      socket.setTcpNoDelay(true);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    /** Sends a request; returns its sequence number. */
    int execute(
        String queryClass, String txn, long limitMs, String team, String unique, String statement)
        throws IOException {
      byte[] frame = request(queryClass, txn, limitMs, team, unique, statement);
      socket.getOutputStream().write(frame);
      return seq;
    }

    byte[] request(
        String queryClass, String txn, long limitMs, String team, String unique, String statement) {
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("verb", queryClass);
      fields.put("txn", txn);
      fields.put("limit", Long.toString(limitMs));
      fields.put("team", team);
      if (unique != null) {
        fields.put("unique", unique);
      }
      ByteBuffer out = head("execute", 1, ++seq, 1024 + statement.length() * 3);
      out.put((byte) 13).putShort((short) 1).put((byte) 11).put((byte) 11).putInt(fields.size());
      fields.forEach((k, v) -> text(text(out, k), v));
      text(out.put((byte) 11).putShort((short) 2), statement).put((byte) 0);
      return frame(out);
    }

    void interrupt(int target) throws IOException {
      ByteBuffer out = head("interrupt", 4, ++seq, 64);
      out.put((byte) 8).putShort((short) 1).putInt(target).put((byte) 0);
      socket.getOutputStream().write(frame(out));
    }

    boolean check() throws IOException {
      ByteBuffer out = head("check", 1, ++seq, 64);
      out.put((byte) 2).putShort((short) 1).put((byte) 1).put((byte) 0);
      socket.getOutputStream().write(frame(out));
      return reply(5_000).kind().equals("GOOD");
    }

    /** Waits for the next reply; throws an exception if none comes in time. */
    Reply reply(long timeoutMs) throws IOException {
      socket.setSoTimeout((int) Math.max(1, timeoutMs));
      byte[] frame = new byte[in.readInt()];
      in.readFully(frame);
      ByteBuffer from = ByteBuffer.wrap(frame);
      int type = from.getInt() & 0xff;
      bytes(from);
      int number = from.getInt();
      if (type == 3) {
        return new Reply(number, "EXCEPTION", "");
      }
      from.get();
      int field = from.getShort();
      if (field != 0) {
        return new Reply(number, field == 1 ? "BUSY" : "FAILED", "");
      }
      from.get();
      from.getShort();
      String body = bytes(from);
      boolean good = frame[frame.length - 3] == 1;
      return new Reply(number, body.isEmpty() && good ? "GOOD" : "ANSWER", body);
    }

    private static ByteBuffer head(String method, int type, int seq, int size) {
      ByteBuffer out = ByteBuffer.allocate(size).putInt(0).putInt(0x80010000 | type);
      return text(out, method).putInt(seq);
    }

    private static ByteBuffer text(ByteBuffer out, String text) {
      byte[] b = text.getBytes(StandardCharsets.UTF_8);
      return out.putInt(b.length).put(b);
    }

    private static byte[] frame(ByteBuffer out) {
      out.putInt(0, out.position() - 4);
      byte[] frame = new byte[out.position()];
      out.flip().get(frame);
      return frame;
    }

    private static String bytes(ByteBuffer from) {
      byte[] b = new byte[from.getInt()];
      from.get(b);
      return new String(b, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
