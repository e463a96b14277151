package reachloom.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.ConfigurationSettings;
import reachloom.config.ConfigurationSettings.Issuer;
import reachloom.config.GossipSettings;
import reachloom.lab.gossip.Installation;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.tools.RevisionTool;

/** Runs three issuers and six gateways as processes of the program and injects faults. */
class RevisionProcessesTest {
  private static final long GOSSIP_PERIOD_NANOS = 100_000_000;
  private static final int GOSSIP_BYTES_PER_SECOND = 131_072;
  private static final int GATEWAYS = 6;
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final List<String> ISSUERS = List.of("c1", "c2", "c3");

  @TempDir Path folder;

  private final Map<String, GossipSettings> settings = new LinkedHashMap<>();
  private final Map<String, Process> issuers = new LinkedHashMap<>();
  private final Map<String, GatewayProcess> gateways = new LinkedHashMap<>();
  private Installation installation;
  private FakeChangeLog initialChangeLog;
  private FakeChangeLog newChangeLog;
  private FakeEngine engine;

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(String what, Condition condition) throws Exception {
    long until = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.holds()) {
      assertTrue(System.nanoTime() < until, what);
      Thread.sleep(50);
    }
  }

  @BeforeEach
  void start() throws Exception {
    initialChangeLog = new FakeChangeLog(1);
    newChangeLog = new FakeChangeLog(1);
    engine = new FakeEngine();
    installation = new Installation(Files.createDirectory(folder.resolve("all")));
    List<Issuer> issuerSettings = new ArrayList<>();
    for (String name : ISSUERS) {
      installation.instance(name, "ca", 1);
      issuerSettings.add(
          new Issuer(name, Installation.freeAddress(), installation.path(name + ".crt")));
    }
    List<InetSocketAddress> seeds = issuerSettings.stream().map(Issuer::address).toList();
    for (int i = 0; i < ISSUERS.size() + GATEWAYS; i++) {
      boolean issuer = i < ISSUERS.size();
      String name = issuer ? ISSUERS.get(i) : "g" + (i - ISSUERS.size());
      if (!issuer) {
        installation.instance(name, "ca", 1);
      }
      InetSocketAddress listen =
          issuer ? issuerSettings.get(i).address() : Installation.freeAddress();
      GossipSettings s =
          installation
              .settings(name, listen, GOSSIP_PERIOD_NANOS, GOSSIP_BYTES_PER_SECOND, seeds, "ca")
              .withConfiguration(new ConfigurationSettings(1 << Byte.SIZE | i % 2, issuerSettings));
      settings.put(name, s);
      installation.file(s, name);
    }
    for (String name : ISSUERS) {
      assertEquals(0, tool("init", "--settings", file(name), "--store", store(name)));
      startIssuer(name);
    }
    for (int g = 0; g < GATEWAYS; g++) {
      startGateway("g" + g);
    }
    for (GatewayProcess g : gateways.values()) {
      g.ready().close();
    }
  }

  @AfterEach
  void end() throws Exception {
    for (GatewayProcess g : gateways.values()) {
      g.close();
    }
    for (Process p : issuers.values()) {
      p.destroyForcibly().waitFor();
    }
    initialChangeLog.close();
    newChangeLog.close();
    engine.close();
  }

  private String file(String name) {
    return installation.path(name + ".xml").toString();
  }

  private String store(String name) {
    return folder.resolve("store-" + name).toString();
  }

  private static int tool(String... words) {
    return RevisionTool.run(words, System.out, System.err);
  }

  private void startIssuer(String name) throws IOException {
    issuers.put(
        name,
        GatewayProcess.start(
            folder.resolve("none"),
            folder.resolve(name + ".log"),
            "revision",
            "serve",
            "--settings",
            file(name),
            "--store",
            store(name)));
  }

  private void startGateway(String name) throws IOException {
    Path gatewayFolder = Files.createDirectories(folder.resolve(name));
    gateways.put(
        name,
        new GatewayProcess(
            gatewayFolder,
            GatewayProcess.config(GatewayProcess.freeAddress(), initialChangeLog, engine)
                .replace("\"g1\"", '"' + name + '"'),
            List.of("--settings", file(name))));
  }

  private String changeLogDocument(InetSocketAddress to) {
    return "{\"changelog\":\"127.0.0.1:" + to.getPort() + "\"}";
  }

  /** Issues a revision at an issuer, as an operator does on its machine; returns its number. */
  private long issue(String issuer, String document) throws Exception {
    Path text = Files.writeString(folder.resolve("document.json"), document);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream to = new PrintStream(output, true);
    for (long until = System.nanoTime() + TIMEOUT_NANOS; ; ) {
      int status =
          RevisionTool.run(
              new String[] {"issue", "--store", store(issuer), "--document", text.toString()},
              to,
              to);
      if (status == 0) {
        return Long.parseLong(
            output.toString().replaceFirst("(?s).*issued as revision (\\d+).*", "$1"));
      }
      // Retries: the issuer may not have a majority yet.
      assertTrue(System.nanoTime() < until, output::toString);
      Thread.sleep(200);
    }
  }

  private static boolean inForce(GatewayProcess g, long number) throws IOException {
    return Files.readString(g.log).contains("revision " + number + " is in force");
  }

  private void awaitInForce(long number) throws Exception {
    for (Map.Entry<String, GatewayProcess> g : gateways.entrySet()) {
      await(
          "revision " + number + " at " + g.getKey() + ": " + Files.readString(g.getValue().log),
          () -> inForce(g.getValue(), number));
    }
  }

  @Test
  void appliesRevisionsDespiteKilledIssuerHaltedGatewayAndRestart() throws Exception {
    try (ThriftClient client = gateways.get("g0").ready()) {
      // All gateways follow the change log to its new address and still serve requests.
      long first = issue("c1", changeLogDocument(newChangeLog.address()));
      awaitInForce(first);
      await("all gateways watch the new change log", () -> newChangeLog.hellos.size() >= GATEWAYS);
      assertEquals("ANSWER", client.run("select 1", "limit", "20000").kind());

      // One gateway is halted while three revisions are issued, and an issuer is killed: the other
      // gateways and issuers continue.
      GatewayProcess halted = gateways.get("g1");
      halted.suspend();
      issuers.get("c1").destroyForcibly().waitFor();
      issue("c2", changeLogDocument(initialChangeLog.address()));
      issue("c3", changeLogDocument(newChangeLog.address()));
      long newest = issue("c2", changeLogDocument(initialChangeLog.address()));
      assertEquals(first + 3, newest);
      for (Map.Entry<String, GatewayProcess> g : gateways.entrySet()) {
        if (g.getValue() != halted) {
          await("revision " + newest + " at " + g.getKey(), () -> inForce(g.getValue(), newest));
        }
      }
      halted.resume();
      awaitInForce(newest);
      assertEquals("ANSWER", client.run("select 1", "limit", "20000").kind());
    }
    // A killed issuer that restarts has kept its log and issues the next revision.
    startIssuer("c1");
    long next = issue("c1", changeLogDocument(newChangeLog.address()));
    awaitInForce(next);

    // All gateways restart at once; they store nothing. Each applies the newest revision again and
    // no older one.
    for (GatewayProcess g : gateways.values()) {
      g.kill();
    }
    for (int g = 0; g < GATEWAYS; g++) {
      startGateway("g" + g);
    }
    awaitInForce(next);
    for (GatewayProcess g : gateways.values()) {
      assertEquals(
          1,
          Files.readString(g.log).split("is in force", -1).length - 1,
          "only the newest revision is applied after the restart");
    }
  }

  @Test
  void refusesInvalidRevisionAndKeepsRevisionInForce() throws Exception {
    long good = issue("c1", changeLogDocument(newChangeLog.address()));
    awaitInForce(good);
    long bad = issue("c2", "{\"changelog\":\"nowhere\"}");
    for (GatewayProcess g : gateways.values()) {
      await(
          "revision " + bad + " is refused",
          () ->
              Files.readString(g.log)
                  .contains(
                      "revision "
                          + bad
                          + " is refused, "
                          + good
                          + " stays in force: changelog: 'nowhere' is not an address"));
    }
    long next = issue("c3", changeLogDocument(initialChangeLog.address()));
    awaitInForce(next);
  }
}
