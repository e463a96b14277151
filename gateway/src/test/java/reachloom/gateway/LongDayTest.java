package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.GatewayConfig;
import reachloom.scheduler.QueryScheduler;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/** Engines, connections and ids are new all day: what is kept for them goes with them. */
class LongDayTest {
  private static final int ROUNDS = 400;

  @TempDir Path folder;

  private final EventLoop loop = new EventLoop();
  private QueryScheduler module;

  private Map<String, Integer> held(GatewayService gateway) throws Exception {
    CompletableFuture<Map<String, Integer>> held = new CompletableFuture<>();
    loop.post(0, () -> held.complete(gateway.tableSizes()));
    return held.get(10, TimeUnit.SECONDS);
  }

  /** What the scheduler knows; asked on the loop's thread, so that it is never within an event. */
  private Set<String> known(Function<QueryScheduler, Set<String>> table) throws Exception {
    CompletableFuture<Set<String>> names = new CompletableFuture<>();
    loop.post(0, () -> names.complete(table.apply(module)));
    return names.get(10, TimeUnit.SECONDS);
  }

  @Test
  void whatIsKeptGoesWithItsOwner() throws Exception {
    try (FakeEngine node = new FakeEngine();
        FakeChangeLog changeLog = new FakeChangeLog(1)) {
      Path file =
          Files.writeString(
              folder.resolve("config.json"),
              GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, node));
      GatewayConfig config = GatewayConfig.fromFile(file, Map.of());
      GatewayService gateway =
          new GatewayService(config, loop, a -> module = new QueryScheduler(a));
      gateway.listen();
      loop.post(0, gateway::start);
      FakeEngine.daemon(loop);
      int served = 0;
      for (int i = 1; i <= ROUNDS; i++) { // each engine is followed by another one at its address
        changeLog.add(i + 1, node, 0);
        changeLog.add(i, node, 2);
        try (ThriftClient c = new ThriftClient(config.listen())) {
          c.execute("select 1 /* hang */"); // left without an answer
          served +=
              c.run("select 1", "verb", i % 2 == 0 ? "quick" : "keyed", "unique", "k" + i)
                      .kind()
                      .equals("ANSWER")
                  ? 1
                  : 0;
        }
      }
      assertTrue(served > ROUNDS / 2, served + " served");
      // The log tells a little later than it is written: only with its last event heard is the day
      // over.
      Set<String> last = Set.of(String.format("s-%08x", ROUNDS + 1));
      Map<String, Integer> held = held(gateway);
      for (int i = 0;
          i < 200
              && !(held.get("requests") == 0
                  && held.get("engines") == 1
                  && known(QueryScheduler::engineNames).equals(last));
          i++) {
        Thread.sleep(50);
        held = held(gateway);
      }
      for (String table : new String[] {"requests", "ids", "clients", "statements"}) {
        assertEquals(0, held.get(table), table);
      }
      assertEquals(1, held.get("engines"));
      assertTrue(held.get("connections") <= 8, held.toString());
      assertTrue(held.get("deadlines") < 30, held.toString());
      assertEquals(last, known(QueryScheduler::engineNames), "in the module");
      assertEquals(Set.of(), known(QueryScheduler::queryIds));
      assertEquals(Set.of(), known(QueryScheduler::pendingQueryIds));
      loop.post(0, loop::end);
    }
  }
}
