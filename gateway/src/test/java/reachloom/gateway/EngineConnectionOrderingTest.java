package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.gateway.OrderingHarness.ENGINE;
import static reachloom.gateway.OrderingHarness.OTHER_ENGINE;
import static reachloom.gateway.OrderingHarness.await;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.Query;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * Guards against wrong outcomes and mixed-up responses when engines and change logs end a
 * connection directly after the accept, without sending a byte, or within a line, and when the
 * gateway closes a connection within a line. See docs/design/endings.md.
 */
@Timeout(60)
class EngineConnectionOrderingTest {
  private static final int CHANGES_EVENT = 2;
  private static final String NEW_ENGINE = "s-00000003";

  /** Longer than the interval of the gateway's sweeps, the first deadline that is late then. */
  private static final long STALL_MS = 500;

  /** Longer than the loop waits for further tasks once the sockets are read. */
  private static final long SOCKET_DELAY_MS = 40;

  @TempDir Path folder;

  private PausedPeer engine;
  private FakeEngine other;
  private PausedPeer changeLog;
  private OrderingHarness gateway;

  /** How a peer that has read nothing ends. */
  enum Kill {
    /** Its process has accepted the connection, which is closed gracefully. */
    CLOSE,
    /** Its process has accepted the connection, which is reset. */
    RESET,
    /**
     * Only the operating system has accepted the connection, which is reset when the listening
     * socket is closed.
     */
    NEVER_ACCEPTED;

    void of(PausedPeer peer) throws IOException {
      if (this == RESET) {
        peer.accept().socket.setSoLinger(true, 0);
      } else if (this == CLOSE) {
        peer.accept();
      }
      peer.close();
    }
  }

  @BeforeEach
  void start() throws IOException {
    engine = new PausedPeer();
    other = new FakeEngine();
    changeLog = new PausedPeer();
  }

  @AfterEach
  void end() throws IOException {
    gateway.close();
    engine.close();
    other.close();
    changeLog.close();
  }

  private String config(InetSocketAddress... engines) throws IOException {
    return GatewayProcess.config(GatewayProcess.freeAddress(), changeLog.address(), engines)
        .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000");
  }

  /**
   * Starts a gateway that knows both engines and has connected to the change log; returns the
   * connection of the change log.
   */
  private Connection startGatewayAndLog() throws Exception {
    gateway = new OrderingHarness(folder, config(engine.address(), other.address()));
    return expectSubscription(changeLog.accept());
  }

  private static Connection expectSubscription(Connection log) throws IOException {
    assertEquals(1, log.readEventNumber());
    return log;
  }

  /**
   * Returns an event with one engine that is up, at the given address and since the given Unix time
   * in milliseconds.
   */
  private static byte[] up(int id, InetSocketAddress address, long since) {
    return ByteBuffer.allocate(4 + 9 + 27)
        .putInt(9 + 27)
        .putLong(2)
        .put((byte) CHANGES_EVENT)
        .putInt(id)
        .put(address.getAddress().getAddress())
        .putShort((short) address.getPort())
        .put(new byte[5])
        .putInt(1000)
        .putLong(since)
        .array();
  }

  private Query submitQuery(ThriftClient client, String statement, String... changes)
      throws Exception {
    client.execute(statement, changes);
    return gateway.nextEvent(Query.class);
  }

  private AttemptResult nextEnd() throws InterruptedException {
    return gateway.nextEvent(AttemptResult.class);
  }

  private static String answer(String id, String body) {
    return id + " OK fetches=1,effort=5,high=1 " + body.length() + "\r\n" + body + "\r\n";
  }

  // ---- Accepted, then killed ----

  @ParameterizedTest
  @EnumSource(Kill.class)
  void unwrittenAttemptIsUnreachedWhenEngineDiesAfterAccept(Kill kill) throws Exception {
    startGatewayAndLog();
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      Query query = submitQuery(client, "select 1", "verb", "once");
      // The connection is established and lost before the loop handles either event.
      CountDownLatch resume =
          gateway.pauseLoopAfter(() -> gateway.actions.forward(query.id(), ENGINE, 0));
      gateway.awaitQueued(1);
      kill.of(engine);
      gateway.awaitQueued(2);
      resume.countDown();
      assertEquals(AttemptOutcome.UNREACHED, nextEnd().outcome());
      gateway.runOnLoop(() -> gateway.actions.forward(query.id(), OTHER_ENGINE, 0));
      assertEquals(AttemptOutcome.SERVED, nextEnd().outcome());
      assertEquals(FakeEngine.ROW, client.reply().body());
      gateway.assertNoFurther(AttemptResult.class);
    }
  }

  @ParameterizedTest
  @EnumSource(Kill.class)
  void writtenAttemptIsResetWhenEngineDiesAfterAccept(Kill kill) throws Exception {
    startGatewayAndLog();
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      Query query = submitQuery(client, "select 1", "verb", "once");
      gateway.runOnLoop(() -> gateway.actions.forward(query.id(), ENGINE, 0));
      await(() -> gateway.tableSize("unsentAttempts") == 0);
      gateway.awaitHandled(); // so that it is written
      kill.of(engine);
      assertEquals(
          AttemptOutcome.RESET,
          nextEnd().outcome(),
          "the gateway can't know that the request was not read");
      gateway.runOnLoop(() -> gateway.actions.fail(query.id()));
      assertEquals("FAILED", client.reply().kind());
      gateway.assertNoFurther(AttemptResult.class);
      await(() -> gateway.tableSize("connections") == 0);
    }
  }

  @ParameterizedTest
  @CsvSource({"once,FAILED,0", "quick,ANSWER,1", "keyed,ANSWER,1"})
  void retriesUnreadRequestOfKilledEngineByClassRule(String verb, String kind, int asks)
      throws Exception {
    gateway = new OrderingHarness(folder, config(engine.address()), QueryScheduler::new);
    Connection log = expectSubscription(changeLog.accept());
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      client.execute("select 1", "verb", verb, "unique", "k1", "limit", "20000");
      Connection connection = engine.accept();
      await(() -> connection.availableBytes() > 0);
      log.write(up(2, other.address(), 0));
      gateway.awaitHandled();
      connection.socket.setSoLinger(true, 0);
      connection.socket.close();
      assertEquals(kind, client.reply().kind());
      assertEquals(asks, other.count("ASK"));
    }
  }

  @Test
  void reconnectsToChangeLogKilledAfterAccept() throws Exception {
    gateway = new OrderingHarness(folder, config(engine.address(), other.address()));
    InetSocketAddress address = changeLog.address();
    long start = System.nanoTime();
    for (int i = 0; i < 3; i++) {
      killUnread(changeLog.accept().socket, i % 2 == 0);
    }
    changeLog.close(); // also resets connections that only the operating system has accepted
    for (int i = 0; i < 2; i++) {
      try (ServerSocket again = new ServerSocket()) {
        again.bind(address, 1);
        again.setSoTimeout(10_000);
        try (Socket accepted = again.accept()) {
          if (i == 0) {
            killUnread(accepted, true);
          } else {
            assertEquals(
                1,
                new DataInputStream(accepted.getInputStream()).readLong(),
                "after the same event");
            accepted.getOutputStream().write(up(3, other.address(), 0));
            assertEquals(
                "s-00000003", ((EngineEndpoint) gateway.nextEvent(List.class).get(0)).name());
          }
        }
      }
    }
    // By the silence timeout alone each of the four reconnects would have taken 2.5 s.
    assertTrue(System.nanoTime() - start < 9_000_000_000L);
  }

  /** Ends a connection on which the gateway has sent data, without reading or sending anything. */
  private static void killUnread(Socket socket, boolean reset) throws Exception {
    Connection connection = new Connection(socket);
    await(() -> connection.availableBytes() > 0);
    socket.setSoLinger(reset, 0);
    socket.close();
  }

  // ---- Partial responses ----

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void partialResponseOfEndedConnectionEndsOnlyItsAttempt(boolean reset) throws Exception {
    startGatewayAndLog();
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      String complete = answer("0123456789abcdef", "a\tb\tc\n");
      for (int cut :
          new int[] {
            1, 16, 19, 40, complete.indexOf('\n'), complete.length() - 5, complete.length() - 1
          }) {
        Query query = submitQuery(client, "select 1", "verb", "once");
        gateway.runOnLoop(() -> gateway.actions.forward(query.id(), ENGINE, 0));
        Connection first = engine.accept();
        assertTrue(first.readRequest().startsWith("ASK " + query.id()));
        first.write(answer(query.id(), "a\tb\tc\n").substring(0, cut));
        first.socket.setSoLinger(reset, 0);
        first.socket.close();
        AttemptResult end = nextEnd();
        assertEquals(AttemptOutcome.RESET, end.outcome());
        assertEquals(0, end.attempt());
        gateway.runOnLoop(
            () -> gateway.actions.cancelAttempt(query.id(), 0)); // no effect: it has ended
        gateway.runOnLoop(
            () -> gateway.actions.forward(query.id(), ENGINE, 0)); // under the same id
        Connection second = engine.accept();
        assertTrue(second.readRequest().startsWith("ASK " + query.id()));
        second.write(answer(query.id(), "x\ty\tz\n"));
        end = nextEnd();
        assertEquals(AttemptOutcome.SERVED, end.outcome());
        assertEquals(1, end.attempt());
        assertEquals("x\ty\tz\n", client.reply().body());
        gateway.assertNoFurther(AttemptResult.class);
        second.socket.close();
        await(() -> gateway.tableSize("connections") == 0);
      }
    }
  }

  @Test
  void partialResponseIsNotCompletedAfterGatewayClose() throws Exception {
    Connection log = startGatewayAndLog();
    gateway.retryAt = ENGINE;
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      Query query = submitQuery(client, "select 1", "verb", "once");
      gateway.runOnLoop(() -> gateway.actions.forward(query.id(), ENGINE, 0));
      Connection first = engine.accept();
      assertTrue(first.readRequest().startsWith("ASK " + query.id()));
      String complete = answer(query.id(), "a\tb\tc\n");
      first.write(complete.substring(0, 30));
      gateway.awaitHandled();
      CountDownLatch resume = gateway.pauseLoop();
      // Another process at the same address.
      log.write(up(1, engine.address(), System.currentTimeMillis()));
      gateway.awaitSocketsRead();
      resume.countDown();
      assertNull(first.readLine(), "closed gracefully");
      Connection second = engine.accept(); // the same id, in the reused slot of the first one
      assertTrue(second.readRequest().startsWith("ASK " + query.id()));
      first.write(complete.substring(30)); // the rest arrives on a closing connection
      gateway.awaitHandled();
      second.write(answer(query.id(), "x\ty\tz\n"));
      assertEquals("x\ty\tz\n", client.reply().body());
      assertEquals(EngineEndpoint.class, gateway.nextEvent(List.class).get(0).getClass());
      AttemptResult end = nextEnd();
      assertEquals(AttemptOutcome.RESET, end.outcome());
      assertEquals(0, end.attempt());
      end = nextEnd();
      assertEquals(AttemptOutcome.SERVED, end.outcome());
      assertEquals(1, end.attempt());
      gateway.assertNoFurther(AttemptResult.class);
    }
  }

  @Test
  void partialResponseOnIdleConnectionDoesNotAffectNextRequest() throws Exception {
    gateway =
        new OrderingHarness(
            folder,
            config(engine.address(), other.address())
                .replace("\"keepalive\":30000000000", "\"keepalive\":500000000"));
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      Query query = submitQuery(client, "select 1");
      gateway.runOnLoop(() -> gateway.actions.forward(query.id(), ENGINE, 0));
      Connection first = engine.accept();
      assertTrue(first.readRequest().startsWith("ASK " + query.id()));
      first.write(answer(query.id(), "a\tb\tc\n") + "00000000000000ff NO");
      assertEquals(AttemptOutcome.SERVED, nextEnd().outcome());
      assertEquals("a\tb\tc\n", client.reply().body());
      assertNull(first.readLine(), "idle until the gateway closes it gracefully");
      first.write("TE - 0\r\n\r\n");
      Query next = submitQuery(client, "select 2", "verb", "once");
      gateway.runOnLoop(() -> gateway.actions.forward(next.id(), ENGINE, 0));
      Connection second = engine.accept();
      assertTrue(second.readRequest().startsWith("ASK " + next.id()));
      second.write(answer(next.id(), "x\ty\tz\n"));
      assertEquals(AttemptOutcome.SERVED, nextEnd().outcome());
      assertEquals("x\ty\tz\n", client.reply().body());
      gateway.assertNoFurther(AttemptResult.class);
    }
  }

  // ---- Another process at the address ----

  /** Work for an engine that had gone went to the one that came up at its address. */
  @Test
  void engineWhoseAddressAnotherHasTakenGetsNoAttempts() throws Exception {
    Connection log = startGatewayAndLog();
    try (ThriftClient client = new ThriftClient(gateway.config.listen())) {
      Query first = submitQuery(client, "select 1", "verb", "once");
      gateway.runOnLoop(() -> gateway.actions.forward(first.id(), ENGINE, 0));
      Connection old = engine.accept();
      assertTrue(old.readRequest().startsWith("ASK " + first.id()));
      log.write(up(3, engine.address(), System.currentTimeMillis()));
      assertEquals(EngineEndpoint.class, gateway.nextEvent(List.class).get(0).getClass());
      assertEquals(AttemptOutcome.RESET, nextEnd().outcome(), "of the process that has gone");
      gateway.runOnLoop(() -> gateway.actions.forward(first.id(), ENGINE, 0));
      assertEquals(AttemptOutcome.UNREACHED, nextEnd().outcome());
      gateway.runOnLoop(() -> gateway.actions.forward(first.id(), NEW_ENGINE, 0));
      Connection taken = engine.accept();
      assertTrue(taken.readRequest().startsWith("ASK " + first.id()));
      taken.write(answer(first.id(), "x\ty\tz\n"));
      AttemptResult end = nextEnd();
      assertEquals(AttemptOutcome.SERVED, end.outcome());
      assertEquals(NEW_ENGINE, end.engine());
      assertEquals("x\ty\tz\n", client.reply().body());
    }
  }

  // ---- Sockets that are read late after a stall ----

  /** Queries went by a list that had been replaced, where the I/O thread ran late after a pause. */
  @Test
  void listIsAppliedBeforeEarlierTasksAlthoughReadLateAfterStall() throws Exception {
    Connection log = startGatewayAndLog();
    CountDownLatch resumeSockets = gateway.blockSockets();
    CountDownLatch resumeLoop = gateway.stallLoop();
    gateway.runOnLoop(() -> gateway.events.add("task"));
    log.write(up(1, engine.address(), System.currentTimeMillis()));
    Thread.sleep(STALL_MS);
    resumeLoop.countDown();
    Thread.sleep(SOCKET_DELAY_MS);
    resumeSockets.countDown();
    assertEquals(EngineEndpoint.class, gateway.nextEvent(List.class).get(0).getClass());
    assertEquals("task", gateway.nextEvent(String.class));
  }
}
