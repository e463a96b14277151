package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.standin.ThriftMessages;

/** Tests the gateway process over sockets, with its clients, engines, change log and operators. */
class ServeTest {
  @TempDir Path folder;

  private FakeEngine engine;
  private FakeEngine other;
  private FakeChangeLog changeLog;
  private GatewayProcess gateway;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    engine = new FakeEngine();
    other = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    gateway = new GatewayProcess(folder, changeLog, GatewayProcess.freeAddress(), engine);
    gateway.ready().close();
  }

  @AfterEach
  void end() throws IOException, InterruptedException {
    gateway.close();
    changeLog.close();
    engine.close();
    other.close();
  }

  private static void await(BooleanSupplier wanted) throws InterruptedException {
    for (int i = 0; i < 300 && !wanted.getAsBoolean(); i++) {
      Thread.sleep(50);
    }
    assertTrue(wanted.getAsBoolean());
  }

  @Test
  void servesRejectsOrFailsEachQuery() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      String body = client.run("select 1 from sales_1.a").body();
      assertEquals(FakeEngine.ROW, body, Files.readString(gateway.log));
      String three = FakeEngine.ROW.repeat(6);
      assertEquals(
          three, client.run("select 1 /* pages */ from sales_1.a").body(), "pages in order");
      await(() -> engine.count("FREE") == 1);
      String ask = "ASK [0-9a-f]{16} queue=quick,budget=\\d+ \\d+";
      assertTrue(engine.commands.stream().anyMatch(l -> l.matches(ask)));
      // The query may have run, so that the response must not be BUSY, which allows a retry.
      assertEquals("FAILED", client.run("select 1 /* err */", "verb", "once").kind());
      assertEquals("FAILED", client.run("select 1 /* badpage */", "verb", "once").kind());
      assertEquals("BUSY", client.run("select 1 /* busy */", "verb", "once").kind());
    }
  }

  @Test
  void respondsOnceToEachRequestInAnyOrder() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      int late = client.execute("select 1 /* late */");
      List<Integer> numbers = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        numbers.add(client.execute("select 1"));
      }
      List<Integer> responses = new ArrayList<>();
      for (int i = 0; i < 21; i++) {
        responses.add(client.reply().seq());
      }
      assertEquals(late, responses.get(20));
      assertEquals(new HashSet<>(numbers), new HashSet<>(responses.subList(0, 20)));
    }
  }

  @Test
  void respondsToHangingRequestByItsDeadline() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      long start = System.nanoTime();
      String kind = client.run("select 1 /* hang */", "limit", "700").kind();
      long ms = (System.nanoTime() - start) / 1_000_000;
      assertTrue(Set.of("BUSY", "FAILED").contains(kind));
      assertTrue(ms < 3_000, "after " + ms + " ms");
      await(() -> engine.count("QUIT") >= 1);
    }
  }

  @Test
  void cancelsRequestOnInterruptOrDisconnect() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      int seq = client.execute("select 1 /* hang */");
      await(() -> engine.count("ASK") == 1);
      client.interrupt(seq);
      await(() -> engine.count("QUIT") == 1);
      assertTrue(client.check(), "the connection stays open, and no response precedes this one");
    }
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      client.execute("select 1 /* hang */");
      await(() -> engine.count("ASK") == 2);
    }
    await(() -> engine.count("QUIT") == 2);
  }

  @Test
  void rejectsInvalidRequestsWithoutForwarding() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      String[][] bad = {
        {"verb", "strange"},
        {"verb", null},
        {"team", "two"},
        {"limit", null},
        {"limit", "0"},
        {"limit", "-5"},
        {"limit", "x"},
        {"limit", "99999999999999999999"},
        {"txn", "xyz"},
        {"txn", null},
        {"txn", "0123456789abcde\n"},
        {"unique", "a,b=c"},
        {"unique", "a b"},
        {"unique", "a\r\nQUIT x"}
      };
      for (String[] change : bad) {
        assertTrue(
            Set.of("BUSY", "FAILED").contains(client.run("select 1", change).kind()), change[0]);
      }
      assertEquals(
          "FAILED",
          client.run("select 1", "verb", "keyed").kind(),
          "a class that requires a key, without one");
      client.unknown();
      assertEquals("EXCEPTION", client.reply().kind());
      assertEquals(0, engine.count("ASK"));
      client.execute("select 1 /* late */", "txn", "00000000000000aa");
      client.execute("select 1", "txn", "00000000000000aa");
      assertEquals(
          Set.of("ANSWER", "FAILED"), Set.of(client.reply().kind(), client.reply().kind()));
      assertEquals(1, engine.count("ASK"));
    }
  }

  @Test
  void closesOnlyConnectionWithUndecodableInput() throws Exception {
    try (ThriftClient good = new ThriftClient(gateway.listen)) {
      byte[][] streams = {
        {-1, -1, -1, -1}, {0, 0, 0, 0}, {0, 0, 0, 4, 1, 2, 3, 4}, "GET / HTTP/1.1\r\n".getBytes()
      };
      for (byte[] stream : streams) {
        try (ThriftClient bad = new ThriftClient(gateway.listen)) {
          bad.raw(stream);
          assertThrows(IOException.class, bad::reply);
        }
      }
      assertEquals("ANSWER", good.run("select 1").kind());
    }
  }

  @Test
  void doesNotRetryNonIdempotentQueryAfterEngineFailure() throws Exception {
    changeLog.add(2, other, 0);
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      assertEquals("FAILED", client.run("select 1 /* die */", "verb", "once").kind());
      assertEquals(1, engine.count("ASK") + other.count("ASK"));
      assertEquals("FAILED", client.run("select 1 /* garbage */", "verb", "once").kind());
      assertEquals(2, engine.count("ASK") + other.count("ASK"));
    }
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      assertTrue(client.check());
    }
  }

  @Test
  void malformedResponseEndsAllAttemptsOnItsConnection() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      for (String malformation : List.of("noise", "stops")) {
        int hanging = client.execute("select 1 /* hang */", "verb", "once", "limit", "10000");
        long start = System.nanoTime();
        int bad =
            client.execute("select 1 /* " + malformation + " */", "verb", "once", "limit", "10000");
        List<ThriftMessages.Reply> replies = List.of(client.reply(), client.reply());
        long ms = (System.nanoTime() - start) / 1_000_000;
        assertEquals(Set.of(hanging, bad), Set.of(replies.get(0).seq(), replies.get(1).seq()));
        replies.forEach(r -> assertEquals("FAILED", r.kind(), malformation));
        assertTrue(ms < 2_500, malformation + " after " + ms + " ms");
      }
    }
  }

  @Test
  void ignoresDuplicateAndUnknownResponses() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      for (int i = 0; i < 5; i++) {
        assertEquals(
            FakeEngine.ROW.repeat(6), client.run("select 1 /* copies */", "verb", "once").body());
      }
      assertEquals(5, engine.count("ASK"));
      assertEquals(1, engine.connections());
    }
  }

  @Test
  void closesSilentOrStalledClients() throws Exception {
    byte[][] starts = {{}, {0, 0}, {0, 0, 1, 0, (byte) 0x80, 1}};
    for (byte[] start : starts) {
      try (ThriftClient bad = new ThriftClient(gateway.listen)) {
        long from = System.nanoTime();
        bad.raw(start);
        assertThrows(IOException.class, bad::reply);
        assertTrue(System.nanoTime() - from < 3_000_000_000L);
      }
    }
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      assertTrue(client.check());
      client.raw(new byte[] {0, 0, 1});
      assertThrows(
          IOException.class, client::reply, "also a client that has sent a message before");
    }
  }

  @Test
  void evictsIdleClientsForNewOnes() throws Exception {
    String small =
        GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine)
            .replace("\"sockets\":1024", "\"sockets\":48");
    List<ThriftClient> holders = new ArrayList<>();
    try (GatewayProcess narrow =
            new GatewayProcess(Files.createDirectory(folder.resolve("narrow")), small);
        ThriftClient first = narrow.ready()) {
      int late = first.execute("select 1 /* late */");
      for (int i = 0; i < 40; i++) {
        ThriftClient holder = new ThriftClient(narrow.listen);
        holders.add(holder);
        if (i % 2 == 0 || i > 20) { // the other clients stay silent
          assertTrue(holder.check());
        }
      }
      assertEquals(late, first.reply().seq(), "a client with an open request is not evicted");
      // Its first request is still in transit.
      try (ThriftClient slow = new ThriftClient(narrow.listen)) {
        for (int i = 0; i < 8; i++) {
          ThriftClient holder = new ThriftClient(narrow.listen);
          holders.add(holder);
          assertTrue(holder.check());
        }
        assertEquals(
            "ANSWER",
            slow.run("select 1").kind(),
            "clients that have sent a message are evicted before it");
      }
    } finally {
      for (ThriftClient holder : holders) {
        holder.close();
      }
    }
  }

  @Test
  void resumesChangeLogFromLastEvent() throws Exception {
    await(() -> changeLog.hellos.contains(1L));
    changeLog.add(2, other, 0);
    changeLog.add(1, engine, 2);
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      await(
          () -> {
            try {
              return client.run("select 1").kind().equals("ANSWER") && other.count("ASK") > 0;
            } catch (IOException e) {
              return false;
            }
          });
      changeLog.cut();
      await(() -> changeLog.hellos.contains(3L));
      long before = engine.count("ASK");
      for (int i = 0; i < 10; i++) {
        assertEquals("ANSWER", client.run("select 1").kind());
      }
      assertEquals(before, engine.count("ASK"), "no request is sent to a removed engine");
    }
  }

  private static void assertEnds(Process process, int status) throws InterruptedException {
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(status, process.exitValue());
  }

  private void awaitLine(String part) throws InterruptedException {
    await(
        () -> {
          try {
            return Files.readString(gateway.log).contains(part);
          } catch (IOException e) {
            return false;
          }
        });
  }

  @Test
  void sighupChangesChangeLogWithoutDisturbingRequests() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen);
        FakeChangeLog moved = new FakeChangeLog(1)) {
      await(() -> changeLog.hellos.contains(1L));
      int late = client.execute("select 1 /* late */");
      gateway.configure(GatewayProcess.config(gateway.listen, moved, engine));
      gateway.hangUp();
      gateway.hangUp(); // the same file again
      assertEquals(late, client.reply().seq());
      await(() -> moved.hellos.contains(1L));
      assertEquals(
          1,
          moved.hellos.size(),
          "one connection, although the same configuration is loaded twice");
      moved.add(2, other, 0);
      moved.add(1, engine, 2);
      changeLog.add(2, other, 2); // sent by the old log, which is no longer followed
      await(
          () -> {
            try {
              return client.run("select 1").kind().equals("ANSWER") && other.count("ASK") > 0;
            } catch (IOException e) {
              return false;
            }
          });
      long before = engine.count("ASK");
      assertEquals("ANSWER", client.run("select 1").kind());
      assertEquals(before, engine.count("ASK"), "the new log has removed the engine");
    }
  }

  @Test
  void invalidConfigurationLeavesPreviousInForce() throws Exception {
    String good = Files.readString(folder.resolve("config.json"));
    await(() -> changeLog.hellos.contains(1L));
    String[][] files = {
      {"{\"name\":", "is not JSON"},
      {"", "the configuration: is missing"},
      {good.replace("\"changelog\":", "\"chanjelog\":"), "changelog: is missing"},
      {good.replace("\"sockets\":1024", "\"sockets\":512"), "limits.sockets: has changed"}
    };
    for (String[] file : files) {
      gateway.configure(file[0]);
      gateway.hangUp();
      awaitLine(file[1]);
    }
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      assertEquals("ANSWER", client.run("select 1").kind());
    }
    assertEquals(1, changeLog.hellos.size(), "the old address is still followed");
    gateway.terminate();
    gateway.hangUp();
    assertEquals(0, gateway.exit());
  }

  @Test
  void doesNotUseEngineDrainedDuringStart() throws Exception {
    changeLog.add(1, engine, 1);
    changeLog.add(2, other, 0);
    InetSocketAddress address = GatewayProcess.freeAddress();
    Path own = Files.createDirectory(folder.resolve("late"));
    long before = engine.count("ASK");
    try (GatewayProcess late =
        new GatewayProcess(own, GatewayProcess.config(address, changeLog, engine))) {
      ThriftMessages.Reply reply = null;
      for (long end = System.nanoTime() + 20_000_000_000L;
          reply == null && System.nanoTime() < end; ) {
        // Does not wait until the gateway reports itself as ready.
        try (ThriftClient early = new ThriftClient(address)) {
          reply = early.run("select 1");
        } catch (IOException e) {
          Thread.sleep(2);
        }
      }
      assertEquals("ANSWER", reply.kind());
      assertEquals(before, engine.count("ASK"));
      assertEquals(1, other.count("ASK"));
      assertTrue(late.alive());
    }
  }

  @Test
  void pollsConfigurationWhenSighupIsIgnored() throws Exception {
    String text = GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine);
    Path own = Files.createDirectory(folder.resolve("sighup-ignored"));
    List<String> ignoring = List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    try (FakeChangeLog moved = new FakeChangeLog(1);
        GatewayProcess process = new GatewayProcess(own, text, ignoring, List.of())) {
      process.ready().close();
      process.configure(
          text.replace(
              ":" + changeLog.address().getPort() + "\"", ":" + moved.address().getPort() + "\""));
      process.hangUp();
      await(() -> moved.hellos.contains(1L));
      assertTrue(process.alive());
    }
  }

  @Test
  void servesDuringShutdownThenExitsCleanly() throws Exception {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      int late = client.execute("select 1 /* late */");
      int hanging = client.execute("select 1 /* hang */", "limit", "60000");
      await(() -> engine.count("ASK") == 2);
      gateway.terminate();
      Thread.sleep(150);
      try (ThriftClient second = new ThriftClient(gateway.listen)) {
        assertFalse(second.check(), "no longer ready");
        assertEquals("ANSWER", second.run("select 1").kind());
      }
      ThriftMessages.Reply first = client.reply();
      assertEquals(late, first.seq());
      assertEquals("ANSWER", first.kind());
      assertEquals(hanging, client.reply().seq());
      long answered = System.nanoTime();
      Thread.sleep(40);
      if (System.nanoTime() - answered
          < 80_000_000) { // otherwise this machine was too busy to judge
        String again = client.run("select 1").kind();
        assertTrue(
            Set.of("BUSY", "FAILED").contains(again),
            "a further request gets a response, and no reset");
      }
    }
    assertEquals(0, gateway.exit());
    assertTrue(
        Files.readString(gateway.log).contains("has stopped"), "the last log line is written");
  }

  @Test
  void restartsOnSameAddressAfterKill() throws Exception {
    gateway.kill();
    gateway = new GatewayProcess(folder, changeLog, gateway.listen, engine);
    gateway.ready().close();
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      assertEquals("ANSWER", client.run("select 1").kind());
    }
  }

  @Test
  void failsToStartWhenAddressIsInUse() throws Exception {
    Path log = folder.resolve("second");
    Process second = GatewayProcess.start(folder.resolve("config.json"), log, "serve");
    assertEnds(second, 1);
    assertTrue(Files.readString(log).contains("can't be bound"));
    assertEquals(1, Files.readAllLines(log).size());
    assertTrue(gateway.alive());
  }

  @ParameterizedTest
  @ValueSource(strings = {"warm-up", "rehearse"})
  void warmUpCommandAndDeprecatedAliasExitByThemselves(String command) throws Exception {
    Path log = folder.resolve("warm-up.log");
    Process process = GatewayProcess.start(folder.resolve("none.json"), log, command);
    assertEnds(process, 0);
    List<String> lines = Files.readAllLines(log);
    assertTrue(lines.stream().anyMatch(line -> line.contains("sample has stopped")));
    assertEquals(
        command.equals("warm-up") ? 0 : 1,
        lines.stream().filter(line -> line.contains("is deprecated; use 'warm-up'")).count());
  }

  @Test
  void failsToStartNamingInvalidKey() throws Exception {
    Path config = folder.resolve("bad.json");
    String good = Files.readString(folder.resolve("config.json"));
    Files.writeString(config, good.replace("\"seed\":", "\"sead\":"));
    Path log = folder.resolve("bad.log");
    Process bad = GatewayProcess.start(config, log, "serve");
    assertEnds(bad, 2);
    assertEquals(List.of("reachloom: seed: is missing"), Files.readAllLines(log));
  }
}
