package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.SteppedClock;
import reachloom.standin.ThriftClient;
import reachloom.standin.ThriftMessages.Reply;

/**
 * Guards against windows, deadlines and timers that depend on the wall clock, by stepping the wall
 * clock of a gateway process while it serves: they are spans of real time.
 */
@Timeout(60)
class SteppedClockTest {
  private static final Duration HOUR = Duration.ofHours(1);
  private static final Duration STEP = Duration.ofSeconds(5);
  private static final long WINDOW_MS = 1_000;

  @TempDir Path folder;

  private SteppedClock clock;
  private FakeChangeLog changeLog;
  private FakeEngine engine;

  @BeforeEach
  void start() throws Exception {
    clock = new SteppedClock(folder);
    changeLog = new FakeChangeLog(1);
    engine = new FakeEngine();
  }

  @AfterEach
  void end() throws IOException {
    changeLog.close();
    engine.close();
  }

  /**
   * Starts a gateway with the given engine, a retry window of 1 s for keyed requests, and long
   * deadlines.
   */
  private GatewayProcess gateway(InetSocketAddress of) throws IOException {
    String text = GatewayProcess.config(GatewayProcess.freeAddress(), changeLog.address(), of);
    return new GatewayProcess(
        folder,
        text.replace("\"giveUp\":3000000000", "\"giveUp\":20000000000")
            .replace("\"keyTtl\":5000000000", "\"keyTtl\":" + WINDOW_MS + "000000"),
        clock.environment());
  }

  private void awaitAsk() throws InterruptedException {
    while (engine.count("ASK") == 0) {
      Thread.sleep(5);
    }
  }

  @Test
  void doesNotRetryKeyedRequestPastWindowAfterBackwardStep() throws Exception {
    try (PausedPeer peer = new PausedPeer();
        GatewayProcess gateway = gateway(peer.address());
        ThriftClient client = gateway.ready()) {
      client.execute("load", "verb", "keyed", "unique", "key-1", "limit", "15000");
      Connection first = peer.accept();
      for (String line = first.readRequest(); !line.startsWith("ASK"); line = first.readRequest()) {
        assertTrue(line.startsWith("INFO"), line);
      }
      clock.step(STEP.negated());
      AtomicInteger retries = new AtomicInteger();
      FakeEngine.daemon(() -> serveFurtherRequests(peer, retries));
      // Until the wall clock shows the time of the first attempt again, plus 0.2 s.
      Thread.sleep(STEP.toMillis() + 200);
      first.socket.setSoLinger(true, 0);
      first.socket.close();
      Reply reply = client.reply();
      assertEquals(0, retries.get(), "retried past its window");
      assertNotEquals("ANSWER", reply.kind());
    }
  }

  /** Counts the requests on further connections, and responds to them at once. */
  private static void serveFurtherRequests(PausedPeer peer, AtomicInteger requests) {
    try {
      while (true) {
        Connection connection = peer.accept();
        for (String line = connection.readRequest();
            line != null;
            line = connection.readRequest()) {
          if (line.startsWith("ASK")) {
            requests.incrementAndGet();
            connection.write(line.split(" ")[1] + " OK fetches=1 6\r\na\tb\tc\n\r\n");
          }
        }
      }
    } catch (IOException e) {
      // the test is over
    }
  }

  @Test
  void respondsInTimeAfterBackwardStep() throws Exception {
    try (GatewayProcess gateway = gateway(engine.address());
        ThriftClient client = gateway.ready()) {
      long start = System.nanoTime();
      client.execute("select 1 /* hang */", "limit", "900");
      awaitAsk();
      clock.step(HOUR.negated());
      assertNotEquals("ANSWER", client.reply().kind());
      long ms = (System.nanoTime() - start) / 1_000_000;
      assertTrue(ms < 5_000, "after " + ms + " ms");
    }
  }

  @Test
  void keepsDeadlineAfterForwardStep() throws Exception {
    try (GatewayProcess gateway = gateway(engine.address());
        ThriftClient client = gateway.ready()) {
      client.execute("select 1 /* late */", "limit", "10000"); // its response takes 300 ms
      awaitAsk();
      clock.step(HOUR);
      assertEquals(FakeEngine.ROW, client.reply().body());
    }
  }

  @Test
  void slowReaderGetsAllResponsesAfterForwardStep() throws Exception {
    long wanted = 100; // responses of 48 KB: more than the socket buffers hold
    try (RecordingEngine pages = new RecordingEngine("none");
        GatewayProcess gateway = gateway(pages.address());
        ThriftClient client = gateway.ready()) {
      int requests = 0;
      for (; pages.count("FREE") < wanted; requests++) {
        client.execute("select 1", "limit", "15000");
        Thread.sleep(10); // the engine has served most of them, and the responses are unread
      }
      clock.step(HOUR);
      Thread.sleep(1_500); // the sockets' own timers run once a second
      int answers = 0;
      for (int i = 0; i < requests; i++) {
        answers += client.reply().kind().equals("ANSWER") ? 1 : 0;
      }
      assertTrue(answers >= wanted, answers + " answers");
    }
  }
}
