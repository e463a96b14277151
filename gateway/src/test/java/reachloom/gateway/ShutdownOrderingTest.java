package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.standin.ThriftMessages;

/**
 * Guards against lost responses and connection resets when the gateway closes client connections,
 * at shutdown, on eviction and on idle timeout, while a request is in transit. The request gets a
 * response, or it is not forwarded and its connection is closed gracefully.
 */
@Timeout(60)
class ShutdownOrderingTest extends GatewayHarness {
  private static final String ENGINE = "s-00000001";
  private static final String SERVED =
      " OK fetches=1 " + FakeEngine.ROW.length() + "\r\n" + FakeEngine.ROW + "\r\n";

  private PausedPeer engine;
  private FakeChangeLog changeLog;

  /** The gateway's only connection to its engine, on which the test reads what is forwarded. */
  private Connection engineConnection;

  private int healthChecks;

  @BeforeEach
  void start() throws Exception {
    engine = new PausedPeer();
    changeLog = new FakeChangeLog(1);
    String text =
        GatewayProcess.config(GatewayProcess.freeAddress(), changeLog.address(), engine.address())
            .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000")
            .replace("\"sockets\":1024", "\"sockets\":96");
    startGateway(text, a -> scriptedScheduler());
    nextEvent(SchedulerSettings.class);
    nextEvent(List.class);
    forwardImmediatelyTo = ENGINE; // as the production scheduler does
    runOnLoop(() -> actions.checkHealth(ENGINE));
    engineConnection = engine.accept();
    assertNothingForwarded();
  }

  @AfterEach
  void end() throws IOException {
    engine.close();
    changeLog.close();
  }

  /**
   * Runs two health checks, after which everything sent before has been read, and asserts that
   * nothing but the health checks was sent to the engine.
   */
  private void assertNothingForwarded() throws Exception {
    for (int i = 0; i < 2; i++) {
      if (healthChecks > 0) {
        runOnLoop(() -> actions.checkHealth(ENGINE));
      }
      String tag = "p" + healthChecks++;
      assertEquals(List.of("INFO " + tag), engineConnection.readLinesUntil("INFO"));
      engineConnection.write(tag + " UP - 0\r\n\r\n");
      assertEquals(List.of(ENGINE, true), nextEvent(List.class));
    }
  }

  /**
   * Asserts that the gateway did not reset a connection on which the client sent a message after
   * the gateway had ended it: a write after a reset fails. Called once the gateway has read that
   * message.
   */
  private static void assertNoReset(ThriftClient client) {
    assertDoesNotThrow(() -> client.execute("select 'after the end'"));
  }

  private void answerQuery(Query query) throws Exception {
    assertTrue(engineConnection.readRequest().startsWith("ASK " + query.id()));
    engineConnection.write(query.id() + SERVED);
  }

  /**
   * What is queued for the loop behind the shutdown: a request on an open connection, one on a
   * connection opened after the shutdown, or the second half of a request.
   */
  enum RequestPosition {
    ON_OPEN_CONNECTION,
    ON_NEW_CONNECTION,
    HALF_READ
  }

  @ParameterizedTest
  @EnumSource(RequestPosition.class)
  void requestQueuedAfterShutdownIsDiscardedWithoutReset(RequestPosition position)
      throws Exception {
    ThriftClient client = new ThriftClient(config.listen());
    assertFalse(client.check());
    if (position == RequestPosition.HALF_READ) {
      client.begin("select 1");
    }
    CountDownLatch resume = pauseLoop();
    if (position == RequestPosition.HALF_READ) {
      awaitSocketsRead();
    }
    runOnLoop(gateway::close);
    if (position == RequestPosition.ON_NEW_CONNECTION) {
      client.close();
      client = new ThriftClient(config.listen());
    }
    if (position == RequestPosition.HALF_READ) {
      client.finish();
    } else {
      client.execute("select 1");
    }
    awaitSocketsRead();
    resume.countDown();
    assertTrue(client.ended(), "no response, and no reset");
    assertNothingForwarded();
    client.close();
    await(() -> tableSize("clients") == 0 && tableSize("requests") == 0);
  }

  @Test
  void inputDuringCloseIsDiscardedWithoutReset() throws Exception {
    List<ThriftClient> all = new ArrayList<>();
    try {
      // More connections than may be closing while new ones need descriptors.
      for (int i = 0; i < 12; i++) {
        all.add(new ThriftClient(config.listen()));
        assertFalse(all.get(i).check());
      }
      all.get(0).execute("select 1");
      answerQuery(nextEvent(Query.class));
      assertEquals("ANSWER", all.get(0).reply().kind());
      nextEvent(AttemptResult.class);
      ThriftClient half = all.remove(1);
      half.begin("select 2");
      assertNothingForwarded(); // the first half has been read
      runOnLoop(gateway::close);
      assertTrue(half.ended());
      half.finish();
      for (ThriftClient client : all) {
        assertTrue(client.ended());
        client.execute("select 3");
      }
      all.add(half);
      assertNothingForwarded();
      all.forEach(ShutdownOrderingTest::assertNoReset);
    } finally {
      for (ThriftClient client : all) {
        client.close();
      }
    }
    await(() -> closingConnections() == 0);
  }

  @Test
  void requestsInTransitAtSigtermGetResponses() throws Exception {
    Path own = Files.createDirectory(folder.resolve("process"));
    try (FakeEngine fakeEngine = new FakeEngine();
        GatewayProcess process =
            new GatewayProcess(own, changeLog, GatewayProcess.freeAddress(), fakeEngine);
        ThriftClient open = process.ready();
        ThriftClient half = new ThriftClient(process.listen)) {
      assertTrue(half.check());
      half.begin("select 1");
      process.suspend();
      // A deadline beyond the end of admission.
      int hanging = open.execute("select 1 /* hang */", "limit", "1300");
      int plain = open.execute("select 1");
      try (ThriftClient late = new ThriftClient(process.listen)) {
        late.execute("select 1");
        process.terminate();
        process.resume();
        assertEquals("ANSWER", late.reply().kind());
        await(() -> isShuttingDown(process));
        half.finish();
        assertEquals("ANSWER", half.reply().kind());
        ThriftMessages.Reply first = open.reply();
        assertEquals(plain, first.seq());
        assertEquals("ANSWER", first.kind());
        ThriftMessages.Reply second = open.reply();
        assertEquals(hanging, second.seq());
        assertTrue(Set.of("BUSY", "FAILED").contains(second.kind()), second.kind());
        assertTrue(open.ended() && half.ended() && late.ended(), "no reset");
      }
      assertEquals(0, process.exit());
    }
  }

  private static boolean isShuttingDown(GatewayProcess process) {
    try (ThriftClient client = new ThriftClient(process.listen)) {
      return !client.check();
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void evictionServesReadRequestAndDiscardsLaterOne() throws Exception {
    List<ThriftClient> idleClients = new ArrayList<>();
    try {
      for (int i = 0; i < 32; i++) { // the most clients admitted
        idleClients.add(new ThriftClient(config.listen()));
        assertFalse(idleClients.get(i).check());
      }
      ThriftClient requester = idleClients.get(0); // idle for longest
      ThriftClient evicted = idleClients.get(1);
      CountDownLatch resume = pauseLoop();
      try (ThriftClient newcomer = new ThriftClient(config.listen())) {
        awaitSocketsRead();
        requester.execute("select 1");
        awaitSocketsRead();
        resume.countDown();
        answerQuery(nextEvent(Query.class));
        assertEquals("ANSWER", requester.reply().kind());
        nextEvent(AttemptResult.class);
        assertTrue(evicted.ended(), "no reset");
        evicted.execute("select 2");
        assertNothingForwarded();
        assertNoReset(evicted);
        assertFalse(newcomer.check(), "the new client is admitted");
        assertTrue(tableSize("clients") <= 32);
      }
    } finally {
      for (ThriftClient client : idleClients) {
        client.close();
      }
    }
  }

  @Test
  void idleTimeoutNeverResetsClientsWithRequestsInTransit() throws Exception {
    List<ThriftClient> idleClients = new ArrayList<>();
    try {
      for (int i = 0; i < 8; i++) {
        idleClients.add(new ThriftClient(config.listen()));
        assertFalse(idleClients.get(i).check());
      }
      assertTrue(idleClients.get(0).ended(), "the gateway closes an idle client after 10 s");
      for (ThriftClient client : idleClients) {
        client.execute("select 1", "limit", "8000");
      }
      int accepted = 0;
      int served = 0;
      for (int i = 0; i < 2; i++) { // after two health checks everything has been read
        runOnLoop(() -> actions.checkHealth(ENGINE));
        String line = engineConnection.readRequest();
        for (; line.startsWith("ASK"); line = engineConnection.readRequest()) {
          served++;
          engineConnection.write(line.split(" ")[1] + SERVED);
        }
        engineConnection.write(line.split(" ")[1] + " UP - 0\r\n\r\n");
        for (Object event = nextEvent(Object.class);
            !(event instanceof List<?>);
            event = nextEvent(Object.class)) {
          accepted += event instanceof Query ? 1 : 0;
        }
      }
      // A health check may overtake an attempt, which is sent at the end of the loop's iteration.
      for (; served < accepted; served++) {
        engineConnection.write(engineConnection.readRequest().split(" ")[1] + SERVED);
      }
      int answered = 0;
      for (ThriftClient client : idleClients) {
        if (client.ended()) {
          assertNoReset(client);
        } else {
          answered++;
        }
      }
      assertEquals(accepted, answered);
    } finally {
      for (ThriftClient client : idleClients) {
        client.close();
      }
    }
  }

  private int closingConnections() {
    int[] count = new int[1];
    CountDownLatch counted = new CountDownLatch(1);
    runOnLoop(
        () -> {
          count[0] = gateway.closingConnections();
          counted.countDown();
        });
    try {
      counted.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return count[0];
  }
}
