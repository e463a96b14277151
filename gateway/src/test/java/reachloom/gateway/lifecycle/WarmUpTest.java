package reachloom.gateway.lifecycle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.GatewayConfig;
import reachloom.scheduler.QueryScheduler;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;

/** The simulated queries of the warm-up. */
class WarmUpTest {
  private static final int QUERIES = 300;

  @TempDir Path folder;

  @Test
  void servesQueriesWithLongLatencyObjectives() throws Exception {
    try (FakeChangeLog changeLog = new FakeChangeLog(1);
        FakeEngine engine = new FakeEngine()) {
      String text = GatewayProcess.config(new InetSocketAddress("127.0.0.1", 1), changeLog, engine);
      for (String objectiveNanos : new String[] {"500000000", "2000000000"}) {
        Path file =
            Files.writeString(
                folder.resolve("config.json"),
                text.replace("\"goalTime\":500000000", "\"goalTime\":" + objectiveNanos));
        WarmUp warmUp = new WarmUp(GatewayConfig.fromFile(file, Map.of()), QueryScheduler::new);
        int[] remaining = {QUERIES};
        int served = warmUp.simulateQueries(() -> remaining[0]-- > 0);
        assertTrue(
            served > QUERIES / 2,
            served + " of " + QUERIES + " served with objectives of " + objectiveNanos + " ns");
      }
    }
  }
}
