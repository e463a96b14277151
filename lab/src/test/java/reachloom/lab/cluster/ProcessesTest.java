package reachloom.lab.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the processes of gateways can be started and asked for by several threads. */
@Timeout(60)
class ProcessesTest {
  private static final long ANSWER_TIMEOUT_S = 10;

  @TempDir Path folder;

  private final AtomicBoolean answered = new AtomicBoolean();
  private Processes processes;

  /** As the scheduler's thread does, which writes configurations and asks who was killed. */
  private String configurationThatNeedsAnotherThread(int gateway) {
    try {
      CompletableFuture.supplyAsync(() -> processes.wasKilled(gateway))
          .get(ANSWER_TIMEOUT_S, TimeUnit.SECONDS);
      answered.set(true);
    } catch (TimeoutException e) {
      // the test fails
    } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
      throw new IllegalStateException(e);
    }
    return "{}";
  }

  /** A start and the scheduler's thread waited for each other, until the run failed after 60 s. */
  @Test
  void startWaitsForConfigurationWithoutBlockingOtherThreads() throws Exception {
    processes =
        new Processes(
            folder, null, 1, 24, this::configurationThatNeedsAnotherThread, g -> List.of());
    try {
      processes.start(0);
      assertTrue(answered.get());
    } finally {
      processes.close();
    }
  }
}
