package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.gateway.OrderingHarness.ENGINE;
import static reachloom.gateway.OrderingHarness.OTHER;
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
 * Engines and change logs that end in a bad moment, on real connections: right behind an accept,
 * without a byte, and within a line, by their own close and by the gateway's. See
 * docs/design/endings.md.
 */
@Timeout(60)
class EngineConnectionOrderingTest {
  private static final int CHANGES = 2;

  @TempDir Path folder;

  private PausedPeer engine;
  private FakeEngine other;
  private PausedPeer changeLog;
  private OrderingHarness gateway;

  /** How a peer ends that has read nothing. */
  enum Kill {
    /** Its process has taken the connection, and the system ends it in order. */
    CLOSE,
    /** The same, by a reset. */
    RESET,
    /**
     * Only the system has taken the connection: the process that listened ends, and it is reset.
     */
    NEVER_TAKEN;

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
   * A gateway that knows both engines and has asked the change log; gives the connection to the
   * latter.
   */
  private Connection started() throws Exception {
    gateway = new OrderingHarness(folder, config(engine.address(), other.address()));
    return asked(changeLog.accept());
  }

  private static Connection asked(Connection log) throws IOException {
    assertEquals(1, log.number());
    return log;
  }

  /**
   * An event that tells of one engine that is up, at that address and since that Unix millisecond.
   */
  private static byte[] up(int id, InetSocketAddress address, long since) {
    return ByteBuffer.allocate(4 + 9 + 27)
        .putInt(9 + 27)
        .putLong(2)
        .put((byte) CHANGES)
        .putInt(id)
        .put(address.getAddress().getAddress())
        .putShort((short) address.getPort())
        .put(new byte[5])
        .putInt(1000)
        .putLong(since)
        .array();
  }

  private Query taken(ThriftClient c, String statement, String... changes) throws Exception {
    c.execute(statement, changes);
    return gateway.next(Query.class);
  }

  private AttemptResult nextEnd() throws InterruptedException {
    return gateway.next(AttemptResult.class);
  }

  private static String answer(String id, String body) {
    return id + " OK fetches=1,effort=5,high=1 " + body.length() + "\r\n" + body + "\r\n";
  }

  // ---- Accepted, then killed ----

  @ParameterizedTest
  @EnumSource(Kill.class)
  void anAttemptWhoseEngineIsKilledBehindItsAcceptNeverRanWhereNothingWasWritten(Kill kill)
      throws Exception {
    started();
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      Query q = taken(c, "select 1", "verb", "once");
      // The dial comes up and breaks before the loop hears of either.
      CountDownLatch go = gateway.holdAfter(() -> gateway.actions.forward(q.id(), ENGINE, 0));
      gateway.awaitQueued(1);
      kill.of(engine);
      gateway.awaitQueued(2);
      go.countDown();
      assertEquals(AttemptOutcome.UNREACHED, nextEnd().outcome());
      gateway.act(() -> gateway.actions.forward(q.id(), OTHER, 0));
      assertEquals(AttemptOutcome.SERVED, nextEnd().outcome());
      assertEquals(FakeEngine.ROW, c.reply().body());
      gateway.nothingMore(AttemptResult.class);
    }
  }

  @ParameterizedTest
  @EnumSource(Kill.class)
  void anAttemptThatWasWrittenToAnEngineKilledBehindItsAcceptMayHaveRun(Kill kill)
      throws Exception {
    started();
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      Query q = taken(c, "select 1", "verb", "once");
      gateway.act(() -> gateway.actions.forward(q.id(), ENGINE, 0));
      await(() -> gateway.held("unsentAttempts") == 0);
      gateway.allHasBeenDealtWith(); // so that it is written
      kill.of(engine);
      assertEquals(
          AttemptOutcome.RESET, nextEnd().outcome(), "the gateway can't tell that nobody read it");
      gateway.act(() -> gateway.actions.fail(q.id()));
      assertEquals("FAILED", c.reply().kind());
      gateway.nothingMore(AttemptResult.class);
      await(() -> gateway.held("connections") == 0);
    }
  }

  @ParameterizedTest
  @CsvSource({"once,FAILED,0", "quick,ANSWER,1", "keyed,ANSWER,1"})
  void whatWasWrittenToAnEngineThatIsKilledUnreadEndsByTheRuleOfItsClass(
      String verb, String kind, int asks) throws Exception {
    gateway = new OrderingHarness(folder, config(engine.address()), QueryScheduler::new);
    Connection log = asked(changeLog.accept());
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      c.execute("select 1", "verb", verb, "unique", "k1", "limit", "20000");
      Connection connection = engine.accept();
      await(() -> connection.unread() > 0);
      log.say(up(2, other.address(), 0));
      gateway.allHasBeenDealtWith();
      connection.socket.setSoLinger(true, 0);
      connection.socket.close();
      assertEquals(kind, c.reply().kind());
      assertEquals(asks, other.count("ASK"));
    }
  }

  @Test
  void aChangeLogThatIsKilledBehindItsAcceptsIsDialledAgainEachTime() throws Exception {
    gateway = new OrderingHarness(folder, config(engine.address(), other.address()));
    InetSocketAddress address = changeLog.address();
    long start = System.nanoTime();
    for (int i = 0; i < 3; i++) {
      killUnread(changeLog.accept().socket, i % 2 == 0);
    }
    changeLog.close(); // and now also what only the system has accepted
    for (int i = 0; i < 2; i++) {
      try (ServerSocket again = new ServerSocket()) {
        again.bind(address, 1);
        again.setSoTimeout(10_000);
        try (Socket taken = again.accept()) {
          if (i == 0) {
            killUnread(taken, true);
          } else {
            assertEquals(
                1, new DataInputStream(taken.getInputStream()).readLong(), "after the same event");
            taken.getOutputStream().write(up(3, other.address(), 0));
            assertEquals("s-00000003", ((EngineEndpoint) gateway.next(List.class).get(0)).name());
          }
        }
      }
    }
    // By silence alone each of the four would have taken 2.5 s.
    assertTrue(System.nanoTime() - start < 9_000_000_000L);
  }

  /**
   * Ends a connection on which the other side is up and has spoken, with nothing read and nothing
   * said.
   */
  private static void killUnread(Socket taken, boolean reset) throws Exception {
    Connection connection = new Connection(taken);
    await(() -> connection.unread() > 0);
    taken.setSoLinger(reset, 0);
    taken.close();
  }

  // ---- Half a line ----

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void halfALineOfAnEngineThatEndsCostsItsAttemptOnceAndGoesNowhereElse(boolean reset)
      throws Exception {
    started();
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      String whole = answer("0123456789abcdef", "a\tb\tc\n");
      for (int cut :
          new int[] {1, 16, 19, 40, whole.indexOf('\n'), whole.length() - 5, whole.length() - 1}) {
        Query q = taken(c, "select 1", "verb", "once");
        gateway.act(() -> gateway.actions.forward(q.id(), ENGINE, 0));
        Connection first = engine.accept();
        assertTrue(first.request().startsWith("ASK " + q.id()));
        first.say(answer(q.id(), "a\tb\tc\n").substring(0, cut));
        first.socket.setSoLinger(reset, 0);
        first.socket.close();
        AttemptResult end = nextEnd();
        assertEquals(AttemptOutcome.RESET, end.outcome());
        assertEquals(0, end.attempt());
        gateway.act(() -> gateway.actions.cancelAttempt(q.id(), 0)); // too late: it has ended
        gateway.act(() -> gateway.actions.forward(q.id(), ENGINE, 0)); // under the same id
        Connection second = engine.accept();
        assertTrue(second.request().startsWith("ASK " + q.id()));
        second.say(answer(q.id(), "x\ty\tz\n"));
        end = nextEnd();
        assertEquals(AttemptOutcome.SERVED, end.outcome());
        assertEquals(1, end.attempt());
        assertEquals("x\ty\tz\n", c.reply().body());
        gateway.nothingMore(AttemptResult.class);
        second.socket.close();
        await(() -> gateway.held("connections") == 0);
      }
    }
  }

  @Test
  void halfALineThatLiesThereAsTheGatewayEndsAConnectionIsNotMadeWhole() throws Exception {
    Connection log = started();
    gateway.sendAgainTo = ENGINE;
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      Query q = taken(c, "select 1", "verb", "once");
      gateway.act(() -> gateway.actions.forward(q.id(), ENGINE, 0));
      Connection first = engine.accept();
      assertTrue(first.request().startsWith("ASK " + q.id()));
      String whole = answer(q.id(), "a\tb\tc\n");
      first.say(whole.substring(0, 30));
      gateway.allHasBeenDealtWith();
      CountDownLatch go = gateway.hold();
      log.say(
          up(
              1,
              engine.address(),
              System.currentTimeMillis())); // another process, at the same address
      gateway.allHasBeenRead();
      go.countDown();
      assertNull(first.line(), "ended in order");
      Connection second = engine.accept(); // the same id, and the place that the first one had
      assertTrue(second.request().startsWith("ASK " + q.id()));
      first.say(whole.substring(30)); // the rest comes to a connection that is being closed
      gateway.allHasBeenDealtWith();
      second.say(answer(q.id(), "x\ty\tz\n"));
      assertEquals("x\ty\tz\n", c.reply().body());
      assertEquals(EngineEndpoint.class, gateway.next(List.class).get(0).getClass());
      AttemptResult end = nextEnd();
      assertEquals(AttemptOutcome.RESET, end.outcome());
      assertEquals(0, end.attempt());
      end = nextEnd();
      assertEquals(AttemptOutcome.SERVED, end.outcome());
      assertEquals(1, end.attempt());
      gateway.nothingMore(AttemptResult.class);
    }
  }

  @Test
  void halfALineOnARestingConnectionDoesNotReachWhatIsSentAfterTheGatewaysClose() throws Exception {
    gateway =
        new OrderingHarness(
            folder,
            config(engine.address(), other.address())
                .replace("\"keepalive\":30000000000", "\"keepalive\":500000000"));
    try (ThriftClient c = new ThriftClient(gateway.config.listen())) {
      Query q = taken(c, "select 1");
      gateway.act(() -> gateway.actions.forward(q.id(), ENGINE, 0));
      Connection first = engine.accept();
      assertTrue(first.request().startsWith("ASK " + q.id()));
      first.say(answer(q.id(), "a\tb\tc\n") + "00000000000000ff NO");
      assertEquals(AttemptOutcome.SERVED, nextEnd().outcome());
      assertEquals("a\tb\tc\n", c.reply().body());
      assertNull(first.line(), "it rests until the gateway ends it, in order");
      first.say("TE - 0\r\n\r\n");
      Query next = taken(c, "select 2", "verb", "once");
      gateway.act(() -> gateway.actions.forward(next.id(), ENGINE, 0));
      Connection second = engine.accept();
      assertTrue(second.request().startsWith("ASK " + next.id()));
      second.say(answer(next.id(), "x\ty\tz\n"));
      assertEquals(AttemptOutcome.SERVED, nextEnd().outcome());
      assertEquals("x\ty\tz\n", c.reply().body());
      gateway.nothingMore(AttemptResult.class);
    }
  }
}
