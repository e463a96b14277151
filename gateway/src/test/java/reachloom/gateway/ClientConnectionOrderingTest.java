package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.gateway.OrderingHarness.ENGINE;
import static reachloom.gateway.OrderingHarness.OTHER;
import static reachloom.gateway.OrderingHarness.await;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.scheduler.api.Query;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.standin.ThriftMessages;
import reachloom.standin.ThriftMessages.Reply;

/**
 * Clients that send much and go, in pieces of one byte or all in one, or slowly, and none at all
 * for a while, on real connections. See docs/design/endings.md.
 */
@Timeout(60)
class ClientConnectionOrderingTest {
  private static final long MILLISECOND = 1_000_000;
  private static final int MAX_OPEN = 32;

  /** Within so long after a client's going an attempt may still begin, by the rules. */
  private static final long LATEST = 100 * MILLISECOND;

  private static final int MAX_ROUNDS = 20;
  private static final String HELD = "once";
  private static final String LONG = "select '" + "x".repeat(1_000) + "'";

  @TempDir Path folder;

  private RecordingEngine engine;
  private FakeEngine other;
  private FakeChangeLog changeLog;
  private OrderingHarness gateway;

  @BeforeEach
  void start() throws Exception {
    engine = new RecordingEngine(HELD);
    other = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    gateway =
        new OrderingHarness(
            folder,
            GatewayProcess.config(
                    GatewayProcess.freeAddress(),
                    changeLog.address(),
                    engine.address(),
                    other.address())
                .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000"));
  }

  @AfterEach
  void end() throws IOException {
    gateway.close();
    engine.close();
    other.close();
    changeLog.close();
  }

  private static byte[] bytes(ByteBuffer message) {
    byte[] all = new byte[message.remaining()];
    message.get(all);
    return all;
  }

  private static byte[] execute(int seq, String id, String verb, String statement) {
    return bytes(
        ThriftMessages.execute(
            seq, Map.of("verb", verb, "txn", id, "limit", "20000", "team", "one"), statement));
  }

  // ---- Many messages, and gone ----

  /**
   * Sends a flood of held requests that ends at once; gives when it had gone, by the Unix clock.
   */
  private long flood(int number, boolean reset, int requests) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 1; i <= requests; i++) {
      all.write(execute(i, String.format("%08x%08x", number, i), HELD, LONG));
    }
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      c.raw(all.toByteArray());
      if (reset) {
        c.reset();
      }
    }
    return gateway.loop.now();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void ofAFloodThatSendsMuchAndGoesNothingBeginsOnceItHasGone(boolean reset) throws Exception {
    gateway.sendTo = q -> q.queryClass() == 0 ? OTHER : ENGINE;
    AtomicBoolean over = new AtomicBoolean();
    CompletableFuture<Integer> meanwhile = new CompletableFuture<>();
    FakeEngine.daemon(
        () -> {
          try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
            int served = 0;
            for (; !over.get() || served == 0; served++) {
              assertEquals(FakeEngine.ROW, c.run("select 1", "limit", "20000").body());
            }
            meanwhile.complete(served);
          } catch (IOException | AssertionError e) {
            meanwhile.completeExceptionally(e);
          }
        });
    long best = Long.MAX_VALUE;
    int floods = 0;
    // A busy machine may come late to all of it; a gateway that begins what has gone does so each
    // time.
    for (int round = 0; round < MAX_ROUNDS && best > LATEST; round++) {
      List<Long> goneAt = new ArrayList<>();
      int first = floods;
      for (int i = 0; i < 8; i++) {
        goneAt.add(flood(floods++, reset, 2 * MAX_OPEN)); // half of it is refused
      }
      gateway.allHasBeenDealtWith(); // another client's words, sent after the last one had gone
      await(() -> gateway.held("clients") == 1); // and all that goings are read behind
      assertTrue(gateway.held("requests") <= 1, "of the floods nothing is left that could begin");
      long latest = 0;
      for (Map.Entry<String, Long> begun : gateway.begun.entrySet()) {
        int number = Integer.parseUnsignedInt(begun.getKey().substring(0, 8), 16);
        if (number >= first && number < floods) {
          latest = Math.max(latest, begun.getValue() - goneAt.get(number - first));
        }
      }
      best = Math.min(best, latest);
    }
    assertTrue(best <= LATEST, "an attempt began " + best + " ns after its client had gone");
    assertEquals(
        Set.of(), gateway.begunTooLate, "nothing begins once the going has been dealt with");
    over.set(true);
    assertTrue(meanwhile.get() > 0);
    gateway.assertNothingKept();
    // The engine has read of each request that it has to run it, and then that it is given up.
    await(() -> engine.count("ASK") == engine.count("QUIT"));
    await(() -> gateway.held("deadlines") < 30);
    assertTrue(gateway.held("connections") <= 16);
  }

  @Test
  void aFloodThatHasGoneBeforeItIsReadIsNotTaken() throws Exception {
    gateway.sendTo = q -> ENGINE;
    CountDownLatch go = gateway.hold();
    CompletableFuture<Void> filled = new CompletableFuture<>();
    FakeEngine.daemon(
        () -> {
          try (ThriftClient filler = new ThriftClient(gateway.config.listen())) {
            byte[] words = bytes(ThriftMessages.interrupt(1, 1)); // of nothing: owed no answer
            byte[] many = new byte[words.length * 10_000];
            for (int at = 0; at < many.length; at += words.length) {
              System.arraycopy(words, 0, many, at, words.length);
            }
            for (int sent = 0;
                sent < 6 << 20;
                sent += many.length) { // more than may wait for the loop
              filler.raw(many);
            }
            filled.complete(null);
          } catch (IOException e) {
            filled.completeExceptionally(e);
          }
        });
    gateway.awaitFull();
    for (int i = 0; i < 8; i++) {
      flood(i, false, MAX_OPEN / 2); // no more than the system takes at once
    }
    go.countDown();
    filled.get();
    gateway.allHasBeenDealtWith();
    gateway.assertNothingKept();
    assertNull(gateway.told.stream().filter(Query.class::isInstance).findFirst().orElse(null));
  }

  // ---- In pieces, all at once, slowly ----

  /**
   * What a client says: a query, one that is given up again, whether the gateway is ready, and no
   * method.
   */
  private static List<byte[]> words(long ids) {
    return List.of(
        execute(1, String.format("%016x", ids), "quick", "select 1 /* pages */ from sales_1.a"),
        execute(2, String.format("%016x", ids + 1), HELD, "select 2"),
        bytes(ThriftMessages.interrupt(3, 2)),
        bytes(ThriftMessages.check(4)),
        bytes(ThriftMessages.unknown(5)),
        execute(6, String.format("%016x", ids + 2), "strange", "select 3"));
  }

  private static Map<Integer, Reply> replies(ThriftClient c, int count) throws IOException {
    Map<Integer, Reply> replies = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      Reply reply = c.reply();
      assertNull(replies.put(reply.seq(), reply), "one answer to each");
    }
    return replies;
  }

  @Test
  void messagesInPiecesOfOneByteAreAnsweredAsWholeOnes() throws Exception {
    gateway.sendTo = q -> q.queryClass() == 0 ? OTHER : ENGINE;
    Map<Integer, Reply> whole;
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      for (byte[] message : words(0x100)) {
        c.raw(message);
      }
      whole = replies(c, 4);
    }
    assertEquals(Set.of(1, 4, 5, 6), whole.keySet(), "what was given up is owed nothing");
    assertEquals(FakeEngine.ROW.repeat(6), whole.get(1).body());
    try (ThriftClient c = new ThriftClient(gateway.config.listen());
        ThriftClient fence = new ThriftClient(gateway.config.listen())) {
      for (byte[] message : words(0x200)) {
        for (int i = 0; i < message.length; i++) {
          c.raw(new byte[] {message[i]});
          if (i <= Integer.BYTES || i % 16 == 0 || i == message.length - 2) {
            fence.check(); // so that it is read alone, as in allHasBeenDealtWith
            fence.check();
          }
        }
      }
      assertEquals(whole, replies(c, 4));
    }
  }

  @Test
  void fortyMessagesInOnePieceAreAnsweredEachOnce() throws Exception {
    gateway.sendTo = q -> OTHER;
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      ByteArrayOutputStream piece = new ByteArrayOutputStream();
      for (int i = 1; i <= 40; i++) {
        piece.write(execute(i, String.format("%016x", i), "quick", "select 1"));
      }
      c.raw(piece.toByteArray());
      Map<Integer, Reply> replies = replies(c, 40);
      long served = replies.values().stream().filter(r -> r.body().equals(FakeEngine.ROW)).count();
      long refused = replies.values().stream().filter(r -> r.kind().equals("BUSY")).count();
      assertTrue(served >= MAX_OPEN, served + " served");
      assertEquals(
          40, served + refused, "those that there was no room for are refused, and nothing else");
      piece.reset();
      for (int i = 41; i <= 80; i++) {
        piece.write(
            i % 5 == 0
                ? bytes(ThriftMessages.check(i))
                : execute(i, String.format("%016x", i), "quick", "select 1"));
      }
      c.raw(piece.toByteArray());
      replies = replies(c, 40);
      assertEquals(8, replies.values().stream().filter(r -> r.body().isEmpty()).count());
      assertEquals(
          32, replies.values().stream().filter(r -> r.body().equals(FakeEngine.ROW)).count());
    }
  }

  @Test
  void aClientThatWritesSlowlyIsAnsweredAndTakesNobodysTime() throws Exception {
    gateway.sendTo = q -> OTHER;
    boolean answered = false;
    for (int attempt = 0; attempt < 10 && !answered; attempt++) {
      long start = System.nanoTime();
      try (ThriftClient slow = new ThriftClient(gateway.config.listen());
          ThriftClient c = new ThriftClient(gateway.config.listen())) {
        byte[] message = execute(1, String.format("%016x", attempt), "quick", "select 1");
        for (int i = 0; i < message.length; i++) {
          slow.raw(new byte[] {message[i]});
          if (i % 20 == 0) { // while it is in the middle of its words, others ask and are answered
            assertEquals("ANSWER", c.run("select 1", "limit", "20000").kind());
          }
        }
        assertEquals(FakeEngine.ROW, slow.reply().body());
        answered = true;
      } catch (IOException e) {
        // One that takes 2 s for its words is closed: then this machine was too busy to tell.
        assertTrue(System.nanoTime() - start > 1_500 * MILLISECOND, "ended: " + e);
      }
    }
    assertTrue(answered);
  }

  @Test
  void aClientThatReadsSlowlyGetsAllOfItsAnswersAndTakesNobodysTime() throws Exception {
    gateway.sendTo = q -> q.queryClass() == 0 ? ENGINE : OTHER;
    String result = RecordingEngine.PAGE.repeat(RecordingEngine.PAGES);
    try (Socket slow = new Socket();
        ThriftClient c = new ThriftClient(gateway.config.listen())) {
      slow.setReceiveBufferSize(4 * 1024); // so that little is on its way unread
      slow.connect(gateway.config.listen());
      slow.setSoTimeout(15_000);
      int asked = 4 * MAX_OPEN; // more bytes of answers than the system holds for a connection
      for (int i = 1; i <= asked; i++) {
        slow.getOutputStream().write(execute(i, String.format("%016x", i), "quick", "select 1"));
        if (i % MAX_OPEN == 0) {
          int served = i;
          await(() -> engine.count("FREE") == served); // and none is read
        }
      }
      for (int i = 0; i < 100; i++) {
        assertEquals(FakeEngine.ROW, c.run("select 1", "verb", HELD, "limit", "20000").body());
      }
      Set<Integer> answered = new HashSet<>();
      DataInputStream in = new DataInputStream(slow.getInputStream());
      for (int i = 1; i <= asked; i++) {
        byte[] frame = new byte[in.readInt()];
        for (int at = 0; at < frame.length; at += 997) {
          in.readFully(frame, at, Math.min(997, frame.length - at));
        }
        Reply reply = ThriftMessages.reply(frame);
        assertEquals(result, reply.body());
        answered.add(reply.seq());
        assertEquals(FakeEngine.ROW, c.run("select 1", "verb", HELD, "limit", "20000").body());
      }
      assertEquals(asked, answered.size());
    }
    gateway.assertNothingKept();
  }

  // ---- Nothing at all for a while ----

  /**
   * A gateway as it is run, with connections that rest for 0.4 s at most, so that 3 s are as a
   * minute is. Its classes have so much time that a busy machine gives no reason to refuse.
   */
  @Test
  void aGatewayThatHadNothingToDoServesABurstAtOnce() throws Exception {
    try (FakeEngine late = new FakeEngine();
        FakeChangeLog log = new FakeChangeLog(1)) {
      log.speaksEach(100);
      String text =
          GatewayProcess.config(GatewayProcess.freeAddress(), log, other)
              .replace("\"keepalive\":30000000000", "\"keepalive\":500000000")
              .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000")
              .replace("\"giveUp\":3000000000", "\"giveUp\":20000000000")
              .replace("\"quotaPerS\":1000", "\"quotaPerS\":100000");
      serveAfterIdling(text, log, late);
    }
  }

  private void serveAfterIdling(String text, FakeChangeLog log, FakeEngine late) throws Exception {
    Path own = Files.createDirectory(folder.resolve("idle"));
    try (GatewayProcess process = new GatewayProcess(own, text);
        ThriftClient resting = process.ready()) {
      for (byte b : bytes(ThriftMessages.check(1))) {
        resting.raw(new byte[] {b});
      }
      assertTrue(resting.reply().good());
      burst(process);
      int hellos = log.hellos.size();
      long until =
          System.nanoTime() + 3_000 * MILLISECOND; // longer than a silent watch counts as alive
      await(
          () -> System.nanoTime() > until && other.open() == 0); // none is left that could be stale
      int before = other.connections();
      burst(process);
      assertTrue(other.connections() > before, "by connections of its own");
      assertEquals(
          "ANSWER", resting.run("select 1", "limit", "20000").kind(), "one that has only rested");
      assertEquals(hellos, log.hellos.size(), "the watch was kept, since the log went on speaking");
      log.add(2, late, 0);
      log.add(1, other, 2);
      try (ThriftClient c = process.ready()) {
        await(
            () -> {
              try {
                return c.run("select 1", "limit", "20000").kind().equals("ANSWER")
                    && late.count("ASK") > 0;
              } catch (IOException e) {
                return false;
              }
            });
      }
    }
  }

  private static void burst(GatewayProcess process) throws Exception {
    List<ThriftClient> clients = new ArrayList<>();
    try {
      for (int i = 0; i < 8; i++) {
        ThriftClient c = new ThriftClient(process.listen);
        clients.add(c);
        for (int k = 0; k < MAX_OPEN; k++) {
          c.execute("select 1", "limit", "20000");
        }
      }
      for (ThriftClient c : clients) {
        for (int k = 0; k < MAX_OPEN; k++) {
          assertEquals("ANSWER", c.reply().kind(), "no early refusal");
        }
        assertTrue(c.check());
      }
    } finally {
      for (ThriftClient c : clients) {
        c.close();
      }
    }
  }
}
