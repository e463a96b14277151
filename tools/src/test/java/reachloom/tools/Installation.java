package reachloom.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import reachloom.gateway.EventLoop;
import reachloom.gossip.net.GossipNode;
import reachloom.gossip.net.NodeIdentity;
import reachloom.revision.net.IssuerServer;

/**
 * Issuers c1 to c3 and members g1, g2 on loopback, with keys, certificates and settings of their
 * own.
 */
final class Installation implements AutoCloseable {
  static final List<String> ISSUERS = List.of("c1", "c2", "c3");
  private static final List<String> MEMBERS = List.of("g1", "g2");
  private static final long PATIENCE_S = 60;

  /** What a command said, and its exit status. */
  record Said(int status, String out, String err) {}

  /** A member that keeps what is put in force. */
  private static final class Gateway {
    final EventLoop loop = new EventLoop();
    final Map<Long, String> inForce = new TreeMap<>();
    GossipNode node;

    synchronized String put(long number, byte[] document) {
      String text = new String(document, StandardCharsets.UTF_8);
      if (text.contains("refuse")) {
        return "refused.key: is not to its taste";
      }
      inForce.put(number, text);
      return "";
    }

    synchronized long newest() {
      return inForce.keySet().stream().mapToLong(n -> n).max().orElse(0);
    }

    synchronized String document(long number) {
      return inForce.get(number);
    }
  }

  private final Path folder;
  private final Map<String, Integer> ports = new LinkedHashMap<>();
  private final Map<String, IssuerServer> servers = new LinkedHashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, Gateway> gateways = new LinkedHashMap<>();

  Installation(Path folder) throws Exception {
    this.folder = folder;
    List<DatagramSocket> sockets = new ArrayList<>();
    List<String> all = new ArrayList<>(ISSUERS);
    all.addAll(MEMBERS);
    for (String name : all) { // all at once, so that no port is drawn twice
      DatagramSocket s = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
      sockets.add(s);
      ports.put(name, s.getLocalPort());
    }
    sockets.forEach(DatagramSocket::close);
    gossip("ca", "--name", "ca", "--out", path("ca"));
    for (String name : all) {
      gossip("key", "--out", path(name));
      gossip(
          "sign",
          "--ca",
          path("ca"),
          "--public",
          path(name + ".pub"),
          "--name",
          name,
          "--out",
          path(name + ".crt"));
      Files.writeString(folder.resolve(name + ".xml"), settings(name));
    }
  }

  private void gossip(String... args) {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    assertEquals(
        0,
        GossipTool.run(args, new PrintStream(new ByteArrayOutputStream()), new PrintStream(err)),
        err::toString);
  }

  String path(String file) {
    return folder.resolve(file).toString();
  }

  private String settings(String name) {
    StringBuilder issuers = new StringBuilder();
    for (String i : ISSUERS) {
      issuers
          .append("<issuer name=\"")
          .append(i)
          .append("\" address=\"127.0.0.1:")
          .append(ports.get(i))
          .append("\" certificate=\"")
          .append(i)
          .append(".crt\"/>");
    }
    return "<reachloom xmlns=\"urn:reachloom:settings:1\"><gossip cluster=\"test\" listen=\"127.0.0.1:"
        + ports.get(name)
        + "\" bytesPerSecond=\""
        + (ISSUERS.contains(name) ? 131_072 : 17_000)
        + "\" periodMs=\"1000\"><identity key=\""
        + name
        + ".key\" certificate=\""
        + name
        + ".crt\"/><authority file=\"ca.crt\"/><seed address=\"127.0.0.1:"
        + ports.get("c1")
        + "\"/><seed address=\"127.0.0.1:"
        + ports.get("c2")
        + "\"/><configuration region=\"1\" zone=\"2\">"
        + issuers
        + "</configuration></gossip></reachloom>";
  }

  // ---- What runs ----

  static Said revision(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = RevisionTool.run(args, new PrintStream(out), new PrintStream(err));
    return new Said(
        status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  void init() {
    for (String i : ISSUERS) {
      Said said = revision("init", "--settings", path(i + ".xml"), "--store", path(i));
      assertEquals(0, said.status(), said::err);
    }
  }

  void start(String issuer) throws Exception {
    IssuerServer server = new IssuerServer(path(issuer + ".xml"), folder.resolve(issuer));
    servers.put(issuer, server);
    Thread t = new Thread(server::run, issuer);
    t.setDaemon(true);
    t.start();
  }

  void stop(String issuer) throws InterruptedException {
    servers.remove(issuer).stop();
  }

  void startProcess(String issuer) throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    processes.put(
        issuer,
        new ProcessBuilder(
                java,
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                RunRevisionTool.class.getName(),
                "serve",
                "--settings",
                path(issuer + ".xml"),
                "--store",
                path(issuer))
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(issuer + ".log").toFile()))
            .start());
  }

  void kill(String issuer) throws InterruptedException {
    processes.remove(issuer).destroyForcibly().waitFor();
  }

  void startMembers() throws Exception {
    for (String name : MEMBERS) {
      Gateway g = new Gateway();
      var s = IssuerServer.readSettings(path(name + ".xml"));
      g.node =
          new GossipNode(
              g.loop, s, NodeIdentity.read(s), name.hashCode(), (engine, level) -> {}, g::put);
      gateways.put(name, g);
      g.loop.post(0, g.node::start);
      Thread t = new Thread(g.loop, name);
      t.setDaemon(true);
      t.start();
    }
  }

  // ---- What is asked ----

  /** Gives a document to an issuer, and waits until it is in force everywhere. */
  Said issue(String issuer, String document) throws IOException {
    Path file = folder.resolve("document.json");
    Files.writeString(file, document);
    return revision(
        "issue", "--store", path(issuer), "--document", file.toString(), "--wait", "60");
  }

  String document(String member, long number) {
    return gateways.get(member).document(number);
  }

  long newest(String member) {
    return gateways.get(member).newest();
  }

  void awaitIssuer(String issuer) throws InterruptedException {
    await(() -> Files.exists(folder.resolve(issuer).resolve("status.json")));
  }

  static void await(BooleanSupplier wanted) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
    while (!wanted.getAsBoolean()) {
      assertEquals(true, System.nanoTime() < until, "not within " + PATIENCE_S + " s");
      Thread.sleep(20);
    }
  }

  @Override
  public void close() throws InterruptedException {
    for (IssuerServer s : servers.values()) {
      s.stop();
    }
    for (Process p : processes.values()) {
      p.destroyForcibly().waitFor();
    }
    for (Gateway g : gateways.values()) {
      g.loop.post(
          0,
          () -> {
            g.node.stop();
            g.loop.end();
          });
    }
  }
}
