package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * Guards against requests sent after their end and lost responses, by forcing a critical order of
 * events on real connections: a connect that succeeds after the client has gone, a blocked
 * connection, a cancellation received before its request is handled, input on a connection that is
 * being closed. See docs/design/endings.md.
 */
@Timeout(60)
class ConnectionCloseTest extends GatewayHarness {
  private static final String ENGINE = "s-00000001";
  private static final String OTHER_ENGINE = "s-00000002";

  /** A statement so long that a few of them fill the buffers of a blocked connection. */
  private static final String LONG_STATEMENT = "select '" + "x".repeat(60_000) + "'";

  private PausedPeer engine;
  private FakeEngine other;
  private FakeChangeLog changeLog;

  /** How a client abandons its request. */
  enum Departure {
    CLOSE,
    RESET,
    HALF_CLOSE,
    INTERRUPT;

    void apply(ThriftClient client, int seq) throws IOException {
      switch (this) {
        case CLOSE -> client.close();
        case RESET -> client.reset();
        case HALF_CLOSE -> client.halfClose();
        default -> client.interrupt(seq);
      }
    }
  }

  @BeforeEach
  void start() throws Exception {
    engine = new PausedPeer();
    other = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    String text =
        GatewayProcess.config(
                GatewayProcess.freeAddress(),
                changeLog.address(),
                engine.address(),
                other.address())
            .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000");
    startGateway(text, a -> scriptedScheduler());
    nextEvent(SchedulerSettings.class);
    nextEvent(List.class);
  }

  @AfterEach
  void end() throws IOException {
    engine.close();
    other.close();
    changeLog.close();
  }

  @ParameterizedTest
  @EnumSource(Departure.class)
  void doesNotSendQueryOfClientGoneDuringConnect(Departure departure) throws Exception {
    engine.blockConnects();
    ThriftClient client = new ThriftClient(config.listen());
    int seq = client.execute("select 1");
    Query query = nextEvent(Query.class);
    runOnLoop(() -> actions.forward(query.id(), ENGINE, 0));
    departure.apply(client, seq);
    assertEquals("clientGone " + query.id(), nextEvent(String.class));
    runOnLoop(() -> actions.checkHealth(ENGINE));
    engine.unblockConnects();
    // The health check waited for the same connection: a query would be sent before it.
    assertEquals(List.of("INFO p0"), engine.accept().readLinesUntil("INFO"));
    client.close();
  }

  @Test
  void listChangeDuringConnectEndsAttemptAsNotSent() throws Exception {
    engine.blockConnects();
    try (ThriftClient client = new ThriftClient(config.listen())) {
      client.execute("select 1", "verb", "once");
      Query query = nextEvent(Query.class);
      runOnLoop(() -> actions.forward(query.id(), ENGINE, 0));
      await(() -> tableSize("connections") == 1);
      startAllowed = false;
      changeLog.add(1, other, 1);
      assertEquals(EngineEndpoint.class, nextEvent(List.class).get(0).getClass());
      AttemptResult end = nextEvent(AttemptResult.class);
      assertEquals(
          AttemptOutcome.NOT_SENT,
          end.outcome(),
          "reported when the list changes, not when the connect succeeds");
      startAllowed = true;
      runOnLoop(() -> actions.forward(query.id(), OTHER_ENGINE, 0));
      assertEquals(FakeEngine.ROW, client.reply().body());
      engine.unblockConnects();
      runOnLoop(() -> actions.checkHealth(ENGINE));
      assertEquals(List.of("INFO p0"), engine.accept().readLinesUntil("INFO"));
    }
  }

  @ParameterizedTest
  @EnumSource(Departure.class)
  void doesNotSendQueryCancelledBeforeHandling(Departure departure) throws Exception {
    // The scheduler forwards the query as soon as it arrives, as in production.
    forwardImmediatelyTo = ENGINE;
    ThriftClient client = new ThriftClient(config.listen());
    runOnLoop(() -> actions.checkHealth(ENGINE));
    Connection connection = engine.accept(); // established: no attempt waits for a connect
    assertEquals(List.of("INFO p0"), connection.readLinesUntil("INFO"));
    CountDownLatch resume = pauseLoop();
    int seq = client.execute("select 1");
    awaitSocketsRead();
    departure.apply(client, seq);
    awaitSocketsRead();
    resume.countDown();
    nextEvent(Query.class);
    assertTrue(nextEvent(String.class).startsWith("clientGone "));
    runOnLoop(() -> actions.checkHealth(ENGINE));
    assertEquals(
        List.of("INFO p1"), connection.readLinesUntil("INFO"), "received events are handled first");
    client.close();
  }

  /**
   * Sends requests until the connection is blocked: one request is partly written, and one waits
   * behind it.
   */
  private Connection blockConnection(List<ThriftClient> fillers) throws Exception {
    Connection connection = null;
    String first = null;
    for (int retries = 0; retries < 40 && fillers.size() < 120; ) {
      if (tableSize("unsentAttempts") > 0) {
        // The operating system reports free buffer space late; a further command makes it accept
        // what it can.
        String query = first;
        int priority = 2 + retries++ % 2;
        runOnLoop(() -> actions.setResources(query, 0, priority));
        Thread.sleep(5);
        continue;
      }
      retries = 0;
      ThriftClient filler = new ThriftClient(config.listen());
      fillers.add(filler);
      filler.execute(LONG_STATEMENT, "limit", "60000");
      Query query = nextEvent(Query.class);
      first = first == null ? query.id() : first;
      runOnLoop(() -> actions.forward(query.id(), ENGINE, 0));
      connection = connection == null ? engine.accept() : connection;
    }
    assertEquals(1, tableSize("unsentAttempts"));
    return connection;
  }

  @Test
  void cancelsAttemptWaitingBehindBlockedConnection() throws Exception {
    List<ThriftClient> fillers = new ArrayList<>();
    try {
      Connection connection = blockConnection(fillers);
      // Connects only now, since a client that is silent for 2 s is closed.
      ThriftClient client = new ThriftClient(config.listen());
      fillers.add(client);
      int seq = client.execute("select 'the one'");
      Query query = nextEvent(Query.class);
      runOnLoop(() -> actions.forward(query.id(), ENGINE, 0));
      client.interrupt(seq);
      assertEquals("clientGone " + query.id(), nextEvent(String.class));
      runOnLoop(() -> actions.checkHealth(ENGINE));
      List<String> lines = connection.readLinesUntil("INFO");
      assertTrue(lines.size() > 2, "the connection stays open: " + lines.size());
      assertTrue(
          lines.stream().noneMatch(l -> l.contains(query.id())),
          "neither the request nor its cancellation is sent");
    } finally {
      for (ThriftClient f : fillers) {
        f.close();
      }
    }
  }

  @Test
  void withdrawnPartlyWrittenRequestDoesNotArrive() throws Exception {
    List<ThriftClient> fillers = new ArrayList<>();
    try {
      Connection connection = blockConnection(fillers);
      int total = fillers.size();
      for (ThriftClient f : fillers) {
        f.close();
      }
      // The gateway has closed the connection, since the rest of the request could not be
      // withdrawn.
      await(() -> tableSize("connections") == 0);
      int requests = 0;
      String line;
      try {
        while ((line = connection.readRequest()) != null) {
          requests += line.startsWith("ASK") ? 1 : 0;
        }
      } catch (IOException e) {
        // a reset: nothing more is received
      }
      assertTrue(requests < total, requests + " of " + total + " were received completely");
    } finally {
      for (ThriftClient f : fillers) {
        f.close();
      }
    }
  }

  @Test
  void writesPendingResponseBeforeClosingOnUndecodableInput() throws Exception {
    for (int i = 0; i < 3; i++) {
      try (ThriftClient client = new ThriftClient(config.listen())) {
        CountDownLatch resume = pauseLoop();
        client.checkThenGarbage(2_000);
        awaitSocketsRead();
        resume.countDown();
        // More than the socket buffers hold: a reset would make a write fail.
        for (int mb = 0; mb < 16; mb++) {
          client.raw(new byte[1 << 20]);
        }
        assertFalse(client.reply().good(), "the response to the valid message");
        assertTrue(client.ended(), "then closed without a reset");
      }
    }
  }

  @Test
  void cancelReachesEngineThatSentUndecodableData() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      client.execute("select 1");
      Query query = nextEvent(Query.class);
      runOnLoop(() -> actions.forward(query.id(), ENGINE, 0));
      Connection connection = engine.accept();
      assertTrue(connection.readRequest().startsWith("ASK"));
      CountDownLatch resume = pauseLoop();
      runOnLoop(() -> actions.cancelAttempt(query.id(), 0));
      FakeEngine.daemon(
          () -> {
            try {
              connection.write("nonsense\r\n" + "x".repeat(500_000));
            } catch (IOException e) {
              // the gateway closes the connection before all is read
            }
          });
      resume.countDown();
      assertEquals("QUIT " + query.id(), connection.readLine());
      assertNull(connection.readLine(), "then closed without a reset");
      assertEquals(AttemptOutcome.CANCELLED, nextEvent(AttemptResult.class).outcome());
    }
  }
}
