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

/** Starts the program and speaks to it over sockets, as its clients, engines and operators do. */
class ServeTest {
  @TempDir Path folder;

  private FakeEngine node;
  private FakeEngine other;
  private FakeChangeLog changeLog;
  private GatewayProcess gateway;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    node = new FakeEngine();
    other = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    gateway = new GatewayProcess(folder, changeLog, GatewayProcess.freeAddress(), node);
    gateway.ready().close();
  }

  @AfterEach
  void end() throws IOException, InterruptedException {
    gateway.close();
    changeLog.close();
    node.close();
    other.close();
  }

  private static void await(BooleanSupplier wanted) throws InterruptedException {
    for (int i = 0; i < 300 && !wanted.getAsBoolean(); i++) {
      Thread.sleep(50);
    }
    assertTrue(wanted.getAsBoolean());
  }

  @Test
  void queriesAreServedRefusedOrFailedAndEachOnItsOwn() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      assertEquals(FakeEngine.ROW, c.run("select 1 from sales_1.a").body());
      String three = FakeEngine.ROW.repeat(6);
      assertEquals(three, c.run("select 1 /* pages */ from sales_1.a").body(), "pages in order");
      await(() -> node.count("FREE") == 1);
      String ask = "ASK [0-9a-f]{16} queue=quick,budget=\\d+ \\d+";
      assertTrue(node.commands.stream().anyMatch(l -> l.matches(ask)));
      // It may have run, so a refusal would promise too much.
      assertEquals("FAILED", c.run("select 1 /* err */", "verb", "once").kind());
      assertEquals("FAILED", c.run("select 1 /* badpage */", "verb", "once").kind());
      assertEquals("BUSY", c.run("select 1 /* busy */", "verb", "once").kind());
    }
  }

  @Test
  void answersComeInAnyOrderAndEachOnce() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      int late = c.execute("select 1 /* late */");
      List<Integer> numbers = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        numbers.add(c.execute("select 1"));
      }
      List<Integer> answered = new ArrayList<>();
      for (int i = 0; i < 21; i++) {
        answered.add(c.reply().seq());
      }
      assertEquals(late, answered.get(20));
      assertEquals(new HashSet<>(numbers), new HashSet<>(answered.subList(0, 20)));
    }
  }

  @Test
  void aRequestWhoseTimeIsUpIsAnsweredBeforeTheClientLeaves() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      long start = System.nanoTime();
      String kind = c.run("select 1 /* hang */", "limit", "700").kind();
      long ms = (System.nanoTime() - start) / 1_000_000;
      assertTrue(Set.of("BUSY", "FAILED").contains(kind));
      assertTrue(ms < 3_000, "after " + ms + " ms");
      await(() -> node.count("QUIT") >= 1);
    }
  }

  @Test
  void anInterruptedOrLeftRequestIsOwedNothingAndGivenUp() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      int seq = c.execute("select 1 /* hang */");
      await(() -> node.count("ASK") == 1);
      c.interrupt(seq);
      await(() -> node.count("QUIT") == 1);
      assertTrue(c.check(), "the connection goes on, and nothing came before this answer");
    }
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      c.execute("select 1 /* hang */");
      await(() -> node.count("ASK") == 2);
    }
    await(() -> node.count("QUIT") == 2);
  }

  @Test
  void requestsThatCannotBeUsedNeverReachAnEngine() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
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
        assertTrue(Set.of("BUSY", "FAILED").contains(c.run("select 1", change).kind()), change[0]);
      }
      assertEquals(
          "FAILED", c.run("select 1", "verb", "keyed").kind(), "a keyed class without its key");
      c.unknown();
      assertEquals("EXCEPTION", c.reply().kind());
      assertEquals(0, node.count("ASK"));
      c.execute("select 1 /* late */", "txn", "00000000000000aa");
      c.execute("select 1", "txn", "00000000000000aa");
      assertEquals(Set.of("ANSWER", "FAILED"), Set.of(c.reply().kind(), c.reply().kind()));
      assertEquals(1, node.count("ASK"));
    }
  }

  @Test
  void bytesThatAreNoMessageEndTheirConnectionAndNoOther() throws Exception {
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
  void anEngineThatDiesOrBabblesCostsNoSecondRunWhereThatIsNotAllowed() throws Exception {
    changeLog.add(2, other, 0);
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      assertEquals("FAILED", c.run("select 1 /* die */", "verb", "once").kind());
      assertEquals(1, node.count("ASK") + other.count("ASK"));
      assertEquals("FAILED", c.run("select 1 /* garbage */", "verb", "once").kind());
      assertEquals(2, node.count("ASK") + other.count("ASK"));
    }
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      assertTrue(c.check());
    }
  }

  @Test
  void aSpoiltAnswerEndsAllThatIsOpenOnItsConnection() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      for (String spoilt : List.of("noise", "stops")) {
        int hanging = c.execute("select 1 /* hang */", "verb", "once", "limit", "10000");
        long start = System.nanoTime();
        int bad = c.execute("select 1 /* " + spoilt + " */", "verb", "once", "limit", "10000");
        List<ThriftMessages.Reply> replies = List.of(c.reply(), c.reply());
        long ms = (System.nanoTime() - start) / 1_000_000;
        assertEquals(Set.of(hanging, bad), Set.of(replies.get(0).seq(), replies.get(1).seq()));
        replies.forEach(r -> assertEquals("FAILED", r.kind(), spoilt));
        assertTrue(ms < 2_500, spoilt + " after " + ms + " ms");
      }
    }
  }

  @Test
  void whatIsMerelyExtraIsSkipped() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      for (int i = 0; i < 5; i++) {
        assertEquals(
            FakeEngine.ROW.repeat(6), c.run("select 1 /* copies */", "verb", "once").body());
      }
      assertEquals(5, node.count("ASK"));
      assertEquals(1, node.connections());
    }
  }

  @Test
  void clientsThatStaySilentOrStopHalfWayAreClosed() throws Exception {
    byte[][] starts = {{}, {0, 0}, {0, 0, 1, 0, (byte) 0x80, 1}};
    for (byte[] start : starts) {
      try (ThriftClient bad = new ThriftClient(gateway.listen)) {
        long from = System.nanoTime();
        bad.raw(start);
        assertThrows(IOException.class, bad::reply);
        assertTrue(System.nanoTime() - from < 3_000_000_000L);
      }
    }
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      assertTrue(c.check());
      c.raw(new byte[] {0, 0, 1});
      assertThrows(IOException.class, c::reply, "also one that has spoken before");
    }
  }

  @Test
  void clientsThatOnlyHoldOnTakeNobodysPlace() throws Exception {
    String small =
        GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, node)
            .replace("\"sockets\":1024", "\"sockets\":48");
    List<ThriftClient> holders = new ArrayList<>();
    try (GatewayProcess narrow =
            new GatewayProcess(Files.createDirectory(folder.resolve("narrow")), small);
        ThriftClient first = narrow.ready()) {
      int late = first.execute("select 1 /* late */");
      for (int i = 0; i < 40; i++) {
        ThriftClient holder = new ThriftClient(narrow.listen);
        holders.add(holder);
        if (i % 2 == 0 || i > 20) { // the others stay silent
          assertTrue(holder.check());
        }
      }
      assertEquals(late, first.reply().seq(), "one with a request open keeps its place");
      try (ThriftClient slow =
          new ThriftClient(narrow.listen)) { // its first words are still on their way
        for (int i = 0; i < 8; i++) {
          ThriftClient holder = new ThriftClient(narrow.listen);
          holders.add(holder);
          assertTrue(holder.check());
        }
        assertEquals(
            "ANSWER", slow.run("select 1").kind(), "others, which have spoken, give way before it");
      }
    } finally {
      for (ThriftClient holder : holders) {
        holder.close();
      }
    }
  }

  @Test
  void theChangeLogIsFollowedAndFoundAgainFromTheLastEvent() throws Exception {
    await(() -> changeLog.hellos.contains(1L));
    changeLog.add(2, other, 0);
    changeLog.add(1, node, 2);
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      await(
          () -> {
            try {
              return c.run("select 1").kind().equals("ANSWER") && other.count("ASK") > 0;
            } catch (IOException e) {
              return false;
            }
          });
      changeLog.cut();
      await(() -> changeLog.hellos.contains(3L));
      long before = node.count("ASK");
      for (int i = 0; i < 10; i++) {
        assertEquals("ANSWER", c.run("select 1").kind());
      }
      assertEquals(before, node.count("ASK"), "nothing goes to an engine that is gone");
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
  void hangingUpMovesTheChangeLogAndDisturbsNoRequest() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen);
        FakeChangeLog moved = new FakeChangeLog(1)) {
      await(() -> changeLog.hellos.contains(1L));
      int late = c.execute("select 1 /* late */");
      gateway.configure(GatewayProcess.config(gateway.listen, moved, node));
      gateway.hangUp();
      gateway.hangUp(); // the same file again
      assertEquals(late, c.reply().seq());
      await(() -> moved.hellos.contains(1L));
      assertEquals(1, moved.hellos.size(), "one connection, also where the same is told again");
      moved.add(2, other, 0);
      moved.add(1, node, 2);
      changeLog.add(2, other, 2); // told by nobody that is still listened to
      await(
          () -> {
            try {
              return c.run("select 1").kind().equals("ANSWER") && other.count("ASK") > 0;
            } catch (IOException e) {
              return false;
            }
          });
      long before = node.count("ASK");
      assertEquals("ANSWER", c.run("select 1").kind());
      assertEquals(before, node.count("ASK"), "the new log has told that the engine is gone");
    }
  }

  @Test
  void aConfigurationThatCannotBeUsedChangesNothing() throws Exception {
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
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      assertEquals("ANSWER", c.run("select 1").kind());
    }
    assertEquals(1, changeLog.hellos.size(), "the old address is still followed");
    gateway.terminate();
    gateway.hangUp();
    assertEquals(0, gateway.exit());
  }

  @Test
  void nothingGoesToAnEngineThatDrainedWhileTheGatewayStarted() throws Exception {
    changeLog.add(1, node, 1);
    changeLog.add(2, other, 0);
    InetSocketAddress address = GatewayProcess.freeAddress();
    Path own = Files.createDirectory(folder.resolve("late"));
    long before = node.count("ASK");
    try (GatewayProcess late =
        new GatewayProcess(own, GatewayProcess.config(address, changeLog, node))) {
      ThriftMessages.Reply reply = null;
      for (long end = System.nanoTime() + 20_000_000_000L;
          reply == null && System.nanoTime() < end; ) {
        try (ThriftClient early =
            new ThriftClient(address)) { // does not wait until check says good
          reply = early.run("select 1");
        } catch (IOException e) {
          Thread.sleep(2);
        }
      }
      assertEquals("ANSWER", reply.kind());
      assertEquals(before, node.count("ASK"));
      assertEquals(1, other.count("ASK"));
      assertTrue(late.alive());
    }
  }

  @Test
  void aNewConfigurationIsFoundAlsoWhereSighupIsIgnored() throws Exception {
    String text = GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, node);
    Path own = Files.createDirectory(folder.resolve("deaf"));
    List<String> ignoring = List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    try (FakeChangeLog moved = new FakeChangeLog(1);
        GatewayProcess deaf = new GatewayProcess(own, text, ignoring, List.of())) {
      deaf.ready().close();
      deaf.configure(
          text.replace(
              ":" + changeLog.address().getPort() + "\"", ":" + moved.address().getPort() + "\""));
      deaf.hangUp();
      await(() -> moved.hellos.contains(1L));
      assertTrue(deaf.alive());
    }
  }

  @Test
  void stoppingGoesOnServingThenEndsWell() throws Exception {
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      int late = c.execute("select 1 /* late */");
      int hanging = c.execute("select 1 /* hang */", "limit", "60000");
      await(() -> node.count("ASK") == 2);
      gateway.terminate();
      Thread.sleep(150);
      try (ThriftClient second = new ThriftClient(gateway.listen)) {
        assertFalse(second.check(), "no new clients are wanted");
        assertEquals("ANSWER", second.run("select 1").kind());
      }
      ThriftMessages.Reply first = c.reply();
      assertEquals(late, first.seq());
      assertEquals("ANSWER", first.kind());
      assertEquals(hanging, c.reply().seq());
      long answered = System.nanoTime();
      Thread.sleep(40);
      if (System.nanoTime() - answered < 80_000_000) { // else this machine was too busy to tell
        String again = c.run("select 1").kind();
        assertTrue(
            Set.of("BUSY", "FAILED").contains(again),
            "who asks again is heard, and draws no reset");
      }
    }
    assertEquals(0, gateway.exit());
    assertTrue(Files.readString(gateway.log).contains("has stopped"), "the last line is not lost");
  }

  @Test
  void aKilledGatewayStartsAgainUnderItsAddress() throws Exception {
    gateway.kill();
    gateway = new GatewayProcess(folder, changeLog, gateway.listen, node);
    gateway.ready().close();
    try (ThriftClient c = new ThriftClient(gateway.listen)) {
      assertEquals("ANSWER", c.run("select 1").kind());
    }
  }

  @Test
  void anAddressThatIsTakenEndsTheStartWithOneLine() throws Exception {
    Path log = folder.resolve("second");
    Process second = GatewayProcess.start(folder.resolve("config.json"), log, "serve");
    assertEnds(second, 1);
    assertTrue(Files.readString(log).contains("can't be bound"));
    assertEquals(1, Files.readAllLines(log).size());
    assertTrue(gateway.alive());
  }

  @ParameterizedTest
  @ValueSource(strings = {"warm-up", "rehearse"})
  void warmingUpStartsAndEndsByItselfAlsoUnderItsFormerName(String command) throws Exception {
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
  void aBadConfigurationEndsTheStartNamingTheKey() throws Exception {
    Path config = folder.resolve("bad.json");
    String good = Files.readString(folder.resolve("config.json"));
    Files.writeString(config, good.replace("\"seed\":", "\"sead\":"));
    Path log = folder.resolve("bad.log");
    Process bad = GatewayProcess.start(config, log, "serve");
    assertEnds(bad, 2);
    assertEquals(List.of("reachloom: seed: is missing"), Files.readAllLines(log));
  }
}
