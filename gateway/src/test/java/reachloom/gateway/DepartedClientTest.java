package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import reachloom.gateway.RecordingEngine.Line;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.time.MonotonicClock;

/** Guards against work for clients that have left, and against work that is done twice for them. */
@Timeout(90)
class DepartedClientTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final String HELD_CLASS = "once";
  private static final String OTHER_ENGINE = "s-00000002";

  /** An attempt may begin 100 ms after its client has left, and 50 ms more on sockets. */
  private static final long MAX_START_DELAY_NANOS = 150 * NANOS_PER_MILLI;

  private static final int FLOODS = 60;
  private static final int FLOOD_REQUESTS = 900;
  private static final String FLOOD_STATEMENT = "select '" + "x".repeat(2_000) + "'";
  private static final int ROUNDS = 40;

  @TempDir Path folder;

  private final MonotonicClock clock = new MonotonicClock();
  private RecordingEngine engine;
  private RecordingEngine other;
  private FakeChangeLog changeLog;

  @BeforeEach
  void start() throws Exception {
    engine = new RecordingEngine(HELD_CLASS);
    other = new RecordingEngine(HELD_CLASS);
    changeLog = new FakeChangeLog(1);
  }

  @AfterEach
  void end() throws IOException {
    engine.close();
    other.close();
    changeLog.close();
  }

  private String config() throws IOException {
    return GatewayProcess.config(
        GatewayProcess.freeAddress(), changeLog.address(), engine.address(), other.address());
  }

  // ---- A client that leaves with much unread ----

  /** Sends many requests in one write and leaves; returns when it had left. */
  private long flood(GatewayProcess gateway, int number, CountDownLatch start) {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int i = 0; i < FLOOD_REQUESTS; i++) {
        String id = String.format("%08x%08x", number, i);
        all.write(client.message(FLOOD_STATEMENT, "verb", HELD_CLASS, "txn", id, "limit", "5000"));
      }
      start.countDown();
      start.await();
      client.raw(all.toByteArray());
    } catch (IOException e) {
      // the gateway has ended the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return clock.now();
  }

  /** Requests of clients that had left were forwarded up to 0.5 s later: 24 of 24 attempts. */
  @Test
  void startsNoAttemptForClientsThatLeftWithMuchUnread() throws Exception {
    try (GatewayProcess gateway = new GatewayProcess(folder, config())) {
      gateway.ready().close();
      CountDownLatch start = new CountDownLatch(FLOODS);
      Map<Integer, Long> goneAtNanos = new ConcurrentHashMap<>();
      List<CompletableFuture<Void>> floods = new ArrayList<>();
      for (int i = 0; i < FLOODS; i++) {
        int number = i;
        floods.add(
            CompletableFuture.runAsync(
                () -> goneAtNanos.put(number, flood(gateway, number, start)),
                Executors.newSingleThreadExecutor()));
      }
      floods.forEach(CompletableFuture::join);
      try (ThriftClient client = new ThriftClient(gateway.listen)) {
        assertTrue(client.check(), "the gateway has handled what was read before");
      }
      Thread.sleep(MAX_START_DELAY_NANOS / NANOS_PER_MILLI * 10);
      List<Long> lateMs = new ArrayList<>();
      for (Line line : allLines("ASK ")) {
        int number = Integer.parseUnsignedInt(line.text().substring(4, 12), 16);
        Long goneAt = goneAtNanos.get(number);
        if (goneAt != null && line.at() - goneAt > MAX_START_DELAY_NANOS) {
          lateMs.add((line.at() - goneAt) / NANOS_PER_MILLI);
        }
      }
      assertEquals(List.of(), lateMs, "ms between a client's end and the start of its attempt");
    }
  }

  private List<Line> allLines(String prefix) {
    List<Line> all = new ArrayList<>(engine.lines);
    all.addAll(other.lines);
    return all.stream().filter(line -> line.text().startsWith(prefix)).toList();
  }

  // ---- An id that comes again ----

  private long atNanos(RecordingEngine at, String prefix) throws InterruptedException {
    AtomicReference<Line> found = new AtomicReference<>();
    GatewayHarness.await(
        () -> {
          at.lines.stream()
              .filter(line -> line.text().startsWith(prefix))
              .findFirst()
              .ifPresent(found::set);
          return found.get() != null;
        });
    return found.get().at();
  }

  /** The next engine received 1 to 7 of 60 such requests before the first one had its QUIT. */
  @Test
  void repeatedIdStartsOnlyAfterFirstAttemptIsCancelled() throws Exception {
    try (OrderingHarness gateway = new OrderingHarness(folder, config())) {
      int early = 0;
      for (int round = 0; round < ROUNDS; round++) {
        String id = String.format("%016x", round + 1);
        gateway.forwardTo = query -> OrderingHarness.ENGINE;
        ThriftClient leaving = new ThriftClient(gateway.config.listen());
        leaving.execute("select 1", "verb", HELD_CLASS, "txn", id, "limit", "20000");
        atNanos(engine, "ASK " + id);
        gateway.forwardTo = query -> OTHER_ENGINE;
        try (ThriftClient next = new ThriftClient(gateway.config.listen())) {
          next.check();
          leaving.close();
          next.execute("select 1", "verb", "quick", "txn", id, "limit", "20000");
          assertEquals("ANSWER", next.reply().kind(), "round " + round);
        }
        long cancelledAtNanos = atNanos(engine, "QUIT " + id);
        early += atNanos(other, "ASK " + id) < cancelledAtNanos ? 1 : 0;
      }
      assertEquals(0, early, "attempts of " + ROUNDS + " that started before the cancel arrived");
    }
  }
}
