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

/**
 * Guards against a leak of state over a long run in which engines, connections and request ids
 * change all the time.
 */
class StateCleanupTest {
  private static final int ROUNDS = 400;

  @TempDir Path folder;

  private final EventLoop loop = new EventLoop();
  private QueryScheduler scheduler;

  private Map<String, Integer> tableSizes(GatewayService gateway) throws Exception {
    CompletableFuture<Map<String, Integer>> tableSizes = new CompletableFuture<>();
    loop.post(0, () -> tableSizes.complete(gateway.tableSizes()));
    return tableSizes.get(10, TimeUnit.SECONDS);
  }

  /** Returns a table of the scheduler, read on the loop's thread and thus never within an event. */
  private Set<String> schedulerTable(Function<QueryScheduler, Set<String>> table) throws Exception {
    CompletableFuture<Set<String>> names = new CompletableFuture<>();
    loop.post(0, () -> names.complete(table.apply(scheduler)));
    return names.get(10, TimeUnit.SECONDS);
  }

  @Test
  void removesStateOfRemovedEnginesAndClosedRequests() throws Exception {
    try (FakeEngine engine = new FakeEngine();
        FakeChangeLog changeLog = new FakeChangeLog(1)) {
      Path file =
          Files.writeString(
              folder.resolve("config.json"),
              GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine));
      GatewayConfig config = GatewayConfig.fromFile(file, Map.of());
      GatewayService gateway =
          new GatewayService(config, loop, a -> scheduler = new QueryScheduler(a));
      gateway.listen();
      loop.post(0, gateway::start);
      FakeEngine.daemon(loop);
      int served = 0;
      for (int i = 1; i <= ROUNDS; i++) { // each engine is replaced by another one at its address
        changeLog.add(i + 1, engine, 0);
        changeLog.add(i, engine, 2);
        try (ThriftClient client = new ThriftClient(config.listen())) {
          client.execute("select 1 /* hang */"); // gets no response
          served +=
              client
                      .run("select 1", "verb", i % 2 == 0 ? "quick" : "keyed", "unique", "k" + i)
                      .kind()
                      .equals("ANSWER")
                  ? 1
                  : 0;
        }
      }
      assertTrue(served > ROUNDS / 2, served + " served");
      // The gateway receives the events of the change log with a delay: wait for the last one.
      Set<String> remainingEngine = Set.of(String.format("s-%08x", ROUNDS + 1));
      Map<String, Integer> sizes = tableSizes(gateway);
      for (int i = 0;
          i < 200
              && !(sizes.get("requests") == 0
                  && sizes.get("engines") == 1
                  && schedulerTable(QueryScheduler::engineNames).equals(remainingEngine));
          i++) {
        Thread.sleep(50);
        sizes = tableSizes(gateway);
      }
      for (String table :
          new String[] {"requests", "ids", "heldIds", "keys", "clients", "statements"}) {
        assertEquals(0, sizes.get(table), table);
      }
      assertEquals(1, sizes.get("engines"));
      assertTrue(sizes.get("connections") <= 8, sizes.toString());
      assertTrue(sizes.get("deadlines") < 30, sizes.toString());
      assertEquals(
          remainingEngine, schedulerTable(QueryScheduler::engineNames), "engines of the scheduler");
      assertEquals(Set.of(), schedulerTable(QueryScheduler::queryIds));
      assertEquals(Set.of(), schedulerTable(QueryScheduler::pendingQueryIds));
      loop.post(0, loop::end);
    }
  }
}
