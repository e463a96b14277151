package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.gateway.OrderingHarness.ENGINE;
import static reachloom.gateway.OrderingHarness.OTHER_ENGINE;
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
 * Guards against attempts that start after their client has disconnected, lost or duplicated
 * responses, and clients that delay others. Clients send many requests and disconnect, send
 * messages byte by byte or all at once, read or write slowly, or stay idle. See
 * docs/design/endings.md.
 */
@Timeout(60)
class ClientConnectionOrderingTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_OPEN = 32;

  /**
   * By the gateway's rules, an attempt may still start this long after its client has disconnected.
   */
  private static final long MAX_START_DELAY_NANOS = 100 * NANOS_PER_MILLI;

  private static final int MAX_ROUNDS = 20;
  private static final String HELD_CLASS = "once";
  private static final String LONG_STATEMENT = "select '" + "x".repeat(1_000) + "'";

  @TempDir Path folder;

  private RecordingEngine engine;
  private FakeEngine other;
  private FakeChangeLog changeLog;
  private OrderingHarness gateway;

  @BeforeEach
  void start() throws Exception {
    engine = new RecordingEngine(HELD_CLASS);
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

  // ---- Many messages, then disconnect ----

  /**
   * Sends many requests that the engine never answers, and disconnects at once; returns when it had
   * disconnected, on the event loop's clock.
   */
  private long flood(int number, boolean reset, int requests) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 1; i <= requests; i++) {
      all.write(execute(i, String.format("%08x%08x", number, i), HELD_CLASS, LONG_STATEMENT));
    }
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      client.raw(all.toByteArray());
      if (reset) {
        client.reset();
      }
    }
    return gateway.loop.now();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void startsNoAttemptForDisconnectedClients(boolean reset) throws Exception {
    gateway.forwardTo = query -> query.queryClass() == 0 ? OTHER_ENGINE : ENGINE;
    AtomicBoolean over = new AtomicBoolean();
    CompletableFuture<Integer> servedMeanwhile = new CompletableFuture<>();
    FakeEngine.daemon(
        () -> {
          try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
            int served = 0;
            for (; !over.get() || served == 0; served++) {
              assertEquals(FakeEngine.ROW, client.run("select 1", "limit", "20000").body());
            }
            servedMeanwhile.complete(served);
          } catch (IOException | AssertionError e) {
            servedMeanwhile.completeExceptionally(e);
          }
        });
    long best = Long.MAX_VALUE;
    int floods = 0;
    // On a busy machine one round may be late; a gateway with the fault fails in every round.
    for (int round = 0; round < MAX_ROUNDS && best > MAX_START_DELAY_NANOS; round++) {
      List<Long> goneAtNanos = new ArrayList<>();
      int firstFlood = floods;
      for (int i = 0; i < 8; i++) {
        goneAtNanos.add(flood(floods++, reset, 2 * MAX_OPEN)); // half of it is rejected
      }
      gateway.awaitHandled(); // messages of another client, sent after the last disconnect
      await(() -> gateway.tableSize("clients") == 1); // all disconnects are handled
      assertTrue(gateway.tableSize("requests") <= 1, "no request of the gone clients is open");
      long latest = 0;
      for (Map.Entry<String, Long> started : gateway.startedAtNanos.entrySet()) {
        int number = Integer.parseUnsignedInt(started.getKey().substring(0, 8), 16);
        if (number >= firstFlood && number < floods) {
          latest = Math.max(latest, started.getValue() - goneAtNanos.get(number - firstFlood));
        }
      }
      best = Math.min(best, latest);
    }
    assertTrue(
        best <= MAX_START_DELAY_NANOS,
        "an attempt started " + best + " ns after its client had disconnected");
    assertEquals(
        Set.of(),
        gateway.startedAfterClientGone,
        "no attempt starts once the disconnect has been handled");
    over.set(true);
    assertTrue(servedMeanwhile.get() > 0);
    gateway.assertTablesEmpty();
    // The engine receives a cancel command for each request that it received.
    await(() -> engine.count("ASK") == engine.count("QUIT"));
    await(() -> gateway.tableSize("deadlines") < 30);
    int connections = gateway.tableSize("connections");
    assertTrue(connections <= 16, connections + " connections to two engines, at most 8 each");
  }

  @Test
  void ignoresRequestsOfClientsGoneBeforeRead() throws Exception {
    gateway.forwardTo = query -> ENGINE;
    CountDownLatch resume = gateway.blockSockets();
    for (int i = 0; i < 8; i++) {
      flood(i, false, MAX_OPEN / 2); // no more than the socket buffers hold
    }
    resume.countDown();
    gateway.awaitHandled();
    gateway.assertTablesEmpty();
    assertNull(gateway.events.stream().filter(Query.class::isInstance).findFirst().orElse(null));
  }

  // ---- Byte by byte, all at once, slowly ----

  /**
   * Returns the messages of a client: a query, a query that is interrupted, a check, an unknown
   * method and a query of an unknown class.
   */
  private static List<byte[]> sampleMessages(long ids) {
    return List.of(
        execute(1, String.format("%016x", ids), "quick", "select 1 /* pages */ from sales_1.a"),
        execute(2, String.format("%016x", ids + 1), HELD_CLASS, "select 2"),
        bytes(ThriftMessages.interrupt(3, 2)),
        bytes(ThriftMessages.check(4)),
        bytes(ThriftMessages.unknown(5)),
        execute(6, String.format("%016x", ids + 2), "strange", "select 3"));
  }

  private static Map<Integer, Reply> replies(ThriftClient client, int count) throws IOException {
    Map<Integer, Reply> replies = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      Reply reply = client.reply();
      assertNull(replies.put(reply.seq(), reply), "one response to each");
    }
    return replies;
  }

  @Test
  void decodesMessagesReceivedByteByByte() throws Exception {
    gateway.forwardTo = query -> query.queryClass() == 0 ? OTHER_ENGINE : ENGINE;
    Map<Integer, Reply> expected;
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      for (byte[] message : sampleMessages(0x100)) {
        client.raw(message);
      }
      expected = replies(client, 4);
    }
    assertEquals(Set.of(1, 4, 5, 6), expected.keySet(), "an interrupted request gets no response");
    assertEquals(FakeEngine.ROW.repeat(6), expected.get(1).body());
    try (ThriftClient client = new ThriftClient(gateway.config.listen());
        ThriftClient fence = new ThriftClient(gateway.config.listen())) {
      for (byte[] message : sampleMessages(0x200)) {
        for (int i = 0; i < message.length; i++) {
          client.raw(new byte[] {message[i]});
          if (i <= Integer.BYTES || i % 16 == 0 || i == message.length - 2) {
            fence.check(); // so that the bytes are read separately, as in awaitHandled
            fence.check();
          }
        }
      }
      assertEquals(expected, replies(client, 4));
    }
  }

  @Test
  void respondsOnceToEachOfFortyPipelinedMessages() throws Exception {
    gateway.forwardTo = query -> OTHER_ENGINE;
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      ByteArrayOutputStream piece = new ByteArrayOutputStream();
      for (int i = 1; i <= 40; i++) {
        piece.write(execute(i, String.format("%016x", i), "quick", "select 1"));
      }
      client.raw(piece.toByteArray());
      Map<Integer, Reply> replies = replies(client, 40);
      long served = replies.values().stream().filter(r -> r.body().equals(FakeEngine.ROW)).count();
      long rejected = replies.values().stream().filter(r -> r.kind().equals("BUSY")).count();
      assertTrue(served >= MAX_OPEN, served + " served");
      assertEquals(
          40, served + rejected, "requests beyond the limit are rejected, and nothing else");
      piece.reset();
      for (int i = 41; i <= 80; i++) {
        piece.write(
            i % 5 == 0
                ? bytes(ThriftMessages.check(i))
                : execute(i, String.format("%016x", i), "quick", "select 1"));
      }
      client.raw(piece.toByteArray());
      replies = replies(client, 40);
      assertEquals(8, replies.values().stream().filter(r -> r.body().isEmpty()).count());
      assertEquals(
          32, replies.values().stream().filter(r -> r.body().equals(FakeEngine.ROW)).count());
    }
  }

  @Test
  void slowWriterDoesNotDelayOtherClients() throws Exception {
    gateway.forwardTo = query -> OTHER_ENGINE;
    boolean answered = false;
    for (int attempt = 0; attempt < 10 && !answered; attempt++) {
      long start = System.nanoTime();
      try (ThriftClient slow = new ThriftClient(gateway.config.listen());
          ThriftClient client = new ThriftClient(gateway.config.listen())) {
        byte[] message = execute(1, String.format("%016x", attempt), "quick", "select 1");
        for (int i = 0; i < message.length; i++) {
          slow.raw(new byte[] {message[i]});
          if (i % 20 == 0) { // other clients are served while the message is incomplete
            assertEquals("ANSWER", client.run("select 1", "limit", "20000").kind());
          }
        }
        assertEquals(FakeEngine.ROW, slow.reply().body());
        answered = true;
      } catch (IOException e) {
        // A client that takes 2 s for a message is closed: then this machine was too busy to judge.
        assertTrue(
            System.nanoTime() - start > 1_500 * NANOS_PER_MILLI,
            "the slow client's connection ended before 1.5 s: " + e);
      }
    }
    assertTrue(answered, "no slow client finished its message within 2 s in 10 attempts");
  }

  @Test
  void slowReaderGetsAllResponsesWithoutDelayingOthers() throws Exception {
    gateway.forwardTo = query -> query.queryClass() == 0 ? ENGINE : OTHER_ENGINE;
    String result = RecordingEngine.PAGE.repeat(RecordingEngine.PAGES);
    try (Socket slow = new Socket();
        ThriftClient client = new ThriftClient(gateway.config.listen())) {
      slow.setReceiveBufferSize(4 * 1024); // so that few unread bytes are buffered
      slow.connect(gateway.config.listen());
      slow.setSoTimeout(15_000);
      int requests = 4 * MAX_OPEN; // more response bytes than the socket buffers hold
      for (int i = 1; i <= requests; i++) {
        slow.getOutputStream().write(execute(i, String.format("%016x", i), "quick", "select 1"));
        if (i % MAX_OPEN == 0) {
          int served = i;
          await(() -> engine.count("FREE") == served); // and no response is read
        }
      }
      for (int i = 0; i < 100; i++) {
        assertEquals(
            FakeEngine.ROW, client.run("select 1", "verb", HELD_CLASS, "limit", "20000").body());
      }
      Set<Integer> answered = new HashSet<>();
      DataInputStream in = new DataInputStream(slow.getInputStream());
      for (int i = 1; i <= requests; i++) {
        byte[] frame = new byte[in.readInt()];
        for (int at = 0; at < frame.length; at += 997) {
          in.readFully(frame, at, Math.min(997, frame.length - at));
        }
        Reply reply = ThriftMessages.reply(frame);
        assertEquals(result, reply.body());
        answered.add(reply.seq());
        assertEquals(
            FakeEngine.ROW, client.run("select 1", "verb", HELD_CLASS, "limit", "20000").body());
      }
      assertEquals(requests, answered.size());
    }
    gateway.assertTablesEmpty();
  }

  // ---- Idle periods ----

  /**
   * Runs a gateway process that closes engine connections after 0.4 s of idle time, so that 3 s
   * stand for a minute of idle time. Its classes have such long deadlines that a busy machine
   * causes no rejections.
   */
  @Test
  void servesBurstAfterIdlePeriod() throws Exception {
    try (FakeEngine replacement = new FakeEngine();
        FakeChangeLog log = new FakeChangeLog(1)) {
      log.setHeartbeatPeriod(100);
      String text =
          GatewayProcess.config(GatewayProcess.freeAddress(), log, other)
              .replace("\"keepalive\":30000000000", "\"keepalive\":500000000")
              .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000")
              .replace("\"giveUp\":3000000000", "\"giveUp\":20000000000")
              .replace("\"quotaPerS\":1000", "\"quotaPerS\":100000");
      assertServesAfterIdlePeriod(text, log, replacement);
    }
  }

  private void assertServesAfterIdlePeriod(String text, FakeChangeLog log, FakeEngine replacement)
      throws Exception {
    Path own = Files.createDirectory(folder.resolve("idle"));
    try (GatewayProcess process = new GatewayProcess(own, text);
        ThriftClient idleClient = process.ready()) {
      for (byte b : bytes(ThriftMessages.check(1))) {
        idleClient.raw(new byte[] {b});
      }
      assertTrue(idleClient.reply().good());
      runBurst(process);
      int hellos = log.hellos.size();
      // 3 s: longer than the 2.5 s after which a silent change log connection counts as dead.
      long until = System.nanoTime() + 3_000 * NANOS_PER_MILLI;
      // No connection is left that could be stale.
      await(() -> System.nanoTime() > until && other.open() == 0);
      int before = other.connections();
      runBurst(process);
      assertTrue(other.connections() > before, "the second burst uses new engine connections");
      assertEquals(
          "ANSWER",
          idleClient.run("select 1", "limit", "20000").kind(),
          "a client that was idle is served");
      assertEquals(
          hellos,
          log.hellos.size(),
          "the change log connection is kept, since the log sent events");
      log.add(2, replacement, 0);
      log.add(1, other, 2);
      try (ThriftClient client = process.ready()) {
        await(
            () -> {
              try {
                return client.run("select 1", "limit", "20000").kind().equals("ANSWER")
                    && replacement.count("ASK") > 0;
              } catch (IOException e) {
                return false;
              }
            });
      }
    }
  }

  private static void runBurst(GatewayProcess process) throws Exception {
    List<ThriftClient> clients = new ArrayList<>();
    try {
      for (int i = 0; i < 8; i++) {
        ThriftClient client = new ThriftClient(process.listen);
        clients.add(client);
        for (int k = 0; k < MAX_OPEN; k++) {
          client.execute("select 1", "limit", "20000");
        }
      }
      for (ThriftClient client : clients) {
        for (int k = 0; k < MAX_OPEN; k++) {
          assertEquals("ANSWER", client.reply().kind(), "no early rejection");
        }
        assertTrue(client.check());
      }
    } finally {
      for (ThriftClient client : clients) {
        client.close();
      }
    }
  }
}
