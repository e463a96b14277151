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
 * The program as a process whose wall clock is stepped while it serves: windows, deadlines and
 * timers are spans of real time.
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
   * A gateway with that engine, a window for repeats of a second, and much time for each request.
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
  void aKeyedRequestIsNotRepeatedPastItsWindowAfterTheClockWentBack() throws Exception {
    try (PausedPeer peer = new PausedPeer();
        GatewayProcess gateway = gateway(peer.address());
        ThriftClient client = gateway.ready()) {
      client.execute("load", "verb", "keyed", "unique", "key-1", "limit", "15000");
      Connection first = peer.accept();
      for (String line = first.request(); !line.startsWith("ASK"); line = first.request()) {
        assertTrue(line.startsWith("INFO"), line);
      }
      clock.step(STEP.negated());
      AtomicInteger repeats = new AtomicInteger();
      FakeEngine.daemon(() -> answerAllThatComes(peer, repeats));
      Thread.sleep(
          STEP.toMillis()
              + 200); // the wall clock shows the time of the first send again, and 0.2 s
      first.socket.setSoLinger(true, 0);
      first.socket.close();
      Reply reply = client.reply();
      assertEquals(0, repeats.get(), "sent again past its window");
      assertNotEquals("ANSWER", reply.kind());
    }
  }

  /** Counts what is asked on further connections, and answers it at once. */
  private static void answerAllThatComes(PausedPeer peer, AtomicInteger asked) {
    try {
      while (true) {
        Connection c = peer.accept();
        for (String line = c.request(); line != null; line = c.request()) {
          if (line.startsWith("ASK")) {
            asked.incrementAndGet();
            c.say(line.split(" ")[1] + " OK fetches=1 6\r\na\tb\tc\n\r\n");
          }
        }
      }
    } catch (IOException e) {
      // the test is over
    }
  }

  @Test
  void aRequestIsAnsweredWithinItsTimeAfterTheClockWentBack() throws Exception {
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
  void aRequestKeepsItsTimeAfterTheClockWentForward() throws Exception {
    try (GatewayProcess gateway = gateway(engine.address());
        ThriftClient client = gateway.ready()) {
      client.execute("select 1 /* late */", "limit", "10000"); // its answer takes 300 ms
      awaitAsk();
      clock.step(HOUR);
      assertEquals(FakeEngine.ROW, client.reply().body());
    }
  }

  @Test
  void aClientThatReadsLateStillGetsAllItsAnswersAfterTheClockWentForward() throws Exception {
    long wanted = 100; // of 48 KB: more than the system's own buffers hold
    try (RecordingEngine pages = new RecordingEngine("none");
        GatewayProcess gateway = gateway(pages.address());
        ThriftClient client = gateway.ready()) {
      int asked = 0;
      for (; pages.count("FREE") < wanted; asked++) {
        client.execute("select 1", "limit", "15000");
        Thread.sleep(10); // the engine has served most of them, and their answers wait to be taken
      }
      clock.step(HOUR);
      Thread.sleep(1_500); // the sockets' own timers run once a second
      int answers = 0;
      for (int i = 0; i < asked; i++) {
        answers += client.reply().kind().equals("ANSWER") ? 1 : 0;
      }
      assertTrue(answers >= wanted, answers + " answers");
    }
  }
}
