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
 * A test cluster of the issuers c1 to c3 and the members g1 and g2 on the loopback interface, each
 * with its own key, certificate and settings.
 */
final class LoopbackCluster implements AutoCloseable {
  static final List<String> ISSUERS = List.of("c1", "c2", "c3");
  private static final List<String> MEMBERS = List.of("g1", "g2");
  private static final long AWAIT_TIMEOUT_S = 60;

  /** The exit status and the output of a command. */
  record CommandResult(int status, String out, String err) {}

  /** A member that records the documents that are put in force. */
  private static final class TestMember {
    final EventLoop loop = new EventLoop();
    final Map<Long, String> inForce = new TreeMap<>();
    GossipNode node;

    synchronized String put(long number, byte[] document) {
      String text = new String(document, StandardCharsets.UTF_8);
      if (text.contains("refuse")) {
        return "refused.key: is refused by the test member";
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
  private final Map<String, TestMember> members = new LinkedHashMap<>();

  LoopbackCluster(Path folder) throws Exception {
    this.folder = folder;
    List<DatagramSocket> sockets = new ArrayList<>();
    List<String> all = new ArrayList<>(ISSUERS);
    all.addAll(MEMBERS);
    for (String name : all) { // all sockets stay open until the end, so that no port repeats
      DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
      sockets.add(socket);
      ports.put(name, socket.getLocalPort());
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
    for (String issuer : ISSUERS) {
      issuers
          .append("<issuer name=\"")
          .append(issuer)
          .append("\" address=\"127.0.0.1:")
          .append(ports.get(issuer))
          .append("\" certificate=\"")
          .append(issuer)
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

  // ---- Issuers and members ----

  static CommandResult revision(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = RevisionTool.run(args, new PrintStream(out), new PrintStream(err));
    return new CommandResult(
        status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  void init() {
    for (String issuer : ISSUERS) {
      CommandResult result =
          revision("init", "--settings", path(issuer + ".xml"), "--store", path(issuer));
      assertEquals(0, result.status(), result::err);
    }
  }

  void start(String issuer) throws Exception {
    IssuerServer server = new IssuerServer(path(issuer + ".xml"), folder.resolve(issuer));
    servers.put(issuer, server);
    Thread thread = new Thread(server::run, issuer);
    thread.setDaemon(true);
    thread.start();
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
      TestMember member = new TestMember();
      var settings = IssuerServer.readSettings(path(name + ".xml"));
      member.node =
          new GossipNode(
              member.loop,
              settings,
              NodeIdentity.read(settings),
              name.hashCode(),
              (engine, level) -> {},
              member::put);
      members.put(name, member);
      member.loop.post(0, member.node::start);
      Thread thread = new Thread(member.loop, name);
      thread.setDaemon(true);
      thread.start();
    }
  }

  // ---- Documents and results ----

  /** Submits a document to an issuer, and waits until it is in force everywhere. */
  CommandResult issue(String issuer, String document) throws IOException {
    Path file = folder.resolve("document.json");
    Files.writeString(file, document);
    return revision(
        "issue", "--store", path(issuer), "--document", file.toString(), "--wait", "60");
  }

  String document(String member, long number) {
    return members.get(member).document(number);
  }

  long newest(String member) {
    return members.get(member).newest();
  }

  void awaitIssuer(String issuer) throws InterruptedException {
    await(() -> Files.exists(folder.resolve(issuer).resolve("status.json")));
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      assertEquals(true, System.nanoTime() < deadlineNanos, "not within " + AWAIT_TIMEOUT_S + " s");
      Thread.sleep(20);
    }
  }

  @Override
  public void close() throws InterruptedException {
    for (IssuerServer server : servers.values()) {
      server.stop();
    }
    for (Process process : processes.values()) {
      process.destroyForcibly().waitFor();
    }
    for (TestMember member : members.values()) {
      member.loop.post(
          0,
          () -> {
            member.node.stop();
            member.loop.end();
          });
    }
  }
}
