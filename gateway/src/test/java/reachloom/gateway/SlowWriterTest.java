package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import reachloom.scheduler.api.Query;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * Guards against requests that go unanswered because another message of their connection arrives
 * slowly, or stops arriving.
 */
@Timeout(60)
class SlowWriterTest {
  /** The pieces in which a slow client writes a message, and the time between two of them. */
  private static final int PIECES = 30;

  private static final long PIECE_INTERVAL_MS = 100;

  /** A client that sends nothing for this long within a message is disconnected. */
  private static final long MAX_SILENCE_MS = 2_000;

  /** What sweeps and a busy machine may add to that. */
  private static final long TOLERANCE_MS = 3_000;

  private static final String SERVED_LATER = "15000";
  private static final String LOAD = "insert into sales_17.results values ('" + "x".repeat(30_000);

  @TempDir Path folder;

  private FakeEngine engine;
  private FakeChangeLog changeLog;
  private OrderingHarness gateway;
  private ThriftClient client;

  @BeforeEach
  void start() throws Exception {
    engine = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    gateway =
        new OrderingHarness(
            folder,
            GatewayProcess.config(
                GatewayProcess.freeAddress(), changeLog.address(), engine.address()));
    client = new ThriftClient(gateway.config.listen());
  }

  @AfterEach
  void end() throws IOException {
    client.close();
    gateway.close();
    engine.close();
    changeLog.close();
  }

  private void writeSlowly(byte[] message) throws Exception {
    int size = message.length / PIECES + 1;
    for (int from = 0; from < message.length; from += size) {
      client.raw(Arrays.copyOfRange(message, from, Math.min(message.length, from + size)));
      Thread.sleep(PIECE_INTERVAL_MS);
    }
  }

  private void failOnLoop(Query query) {
    gateway.runOnLoop(() -> gateway.actions.fail(query.id()));
  }

  /** A message that took over 2 s ended its connection, and the other request went unanswered. */
  @Test
  void answersOpenRequestWhileNextMessageArrivesSlowly() throws Exception {
    int first = client.execute("select 1", "limit", SERVED_LATER);
    Query open = gateway.nextEvent(Query.class);
    writeSlowly(client.message(LOAD, "limit", SERVED_LATER));
    Query slow = gateway.nextEvent(Query.class);
    failOnLoop(open);
    assertEquals(first, client.reply().seq());
    failOnLoop(slow);
    assertEquals(first + 1, client.reply().seq());
  }

  /** A first message that took over 2 s counted as silence, so that it could never be sent. */
  @Test
  void acceptsSlowFirstMessageOfNewConnection() throws Exception {
    writeSlowly(client.message(LOAD, "limit", SERVED_LATER));
    failOnLoop(gateway.nextEvent(Query.class));
    assertEquals(1, client.reply().seq());
  }

  /** A client that stopped within a message lost the answer to its other request. */
  @Test
  void closesStalledConnectionOnlyAfterItsOpenRequest() throws Exception {
    int first = client.execute("select 1", "limit", SERVED_LATER);
    Query open = gateway.nextEvent(Query.class);
    client.begin(LOAD);
    Thread.sleep(MAX_SILENCE_MS + MAX_SILENCE_MS / 2);
    failOnLoop(open);
    assertEquals(first, client.reply().seq());
    long answeredAtNanos = System.nanoTime();
    assertTrue(client.ended(), "closed gracefully: a reset would throw an exception");
    long stalledMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredAtNanos);
    assertTrue(stalledMs < MAX_SILENCE_MS + TOLERANCE_MS, "closed after " + stalledMs + " ms");
  }

  /** A client that stops within its first message must not hold its descriptor. */
  @Test
  void closesNewConnectionThatStallsWithinMessage() throws Exception {
    long begunAtNanos = System.nanoTime();
    client.begin(LOAD);
    try {
      assertTrue(client.ended(), "closed gracefully: a reset would throw an exception");
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the connection is still open", e);
    }
    long stalledMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAtNanos);
    assertTrue(stalledMs >= MAX_SILENCE_MS - PIECE_INTERVAL_MS, "closed after " + stalledMs);
    assertTrue(stalledMs < MAX_SILENCE_MS + TOLERANCE_MS, "closed after " + stalledMs + " ms");
  }
}
