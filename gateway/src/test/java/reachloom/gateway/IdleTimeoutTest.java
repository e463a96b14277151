package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * The idle timeout of clients in a gateway process: the default without a setting, otherwise the
 * configured one.
 */
@Timeout(120)
class IdleTimeoutTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** The idle timeout without a setting. */
  private static final long DEFAULT_TIMEOUT_NANOS = 10 * NANOS_PER_SECOND;

  /** What sweeps and a busy machine may add before the close is observed. */
  private static final long TOLERANCE_NANOS = NANOS_PER_SECOND;

  @TempDir Path folder;

  private Path settings(String inside) throws Exception {
    Path next =
        Files.writeString(
            folder.resolve("next.xml"),
            "<reachloom xmlns=\"urn:reachloom:settings:1\">" + inside + "</reachloom>");
    return Files.move(next, folder.resolve("settings.xml"), StandardCopyOption.REPLACE_EXISTING);
  }

  private static void sleepUntil(long from, long nanos) throws InterruptedException {
    Thread.sleep(Math.max(0, (from + nanos - System.nanoTime()) / 1_000_000));
  }

  /** Tests both gateways in parallel, since each client has to be idle for the default timeout. */
  @Test
  void appliesDefaultAndConfiguredIdleTimeouts() throws Exception {
    Path file = settings("<clients idleTimeoutMs=\"600000\"/>");
    Path empty =
        Files.writeString(
            Files.createDirectory(folder.resolve("usual")).resolve("settings.xml"),
            "<reachloom xmlns=\"urn:reachloom:settings:1\"/>");
    try (FakeEngine engine = new FakeEngine();
        FakeChangeLog changeLog = new FakeChangeLog(1);
        GatewayProcess gateway =
            new GatewayProcess(
                folder,
                GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine),
                List.of("--settings", file.toString()));
        GatewayProcess defaultGateway =
            new GatewayProcess(
                empty.getParent(),
                GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine),
                List.of("--settings", empty.toString()))) {
      gateway.ready().close();
      defaultGateway.ready().close();
      try (ThriftClient client = new ThriftClient(gateway.listen);
          ThriftClient clientOfDefault = new ThriftClient(defaultGateway.listen)) {
        assertTrue(client.check());
        long from = System.nanoTime();
        assertEquals(FakeEngine.ROW, clientOfDefault.run("select 1").body());
        assertTrue(clientOfDefault.ended(), "closed gracefully: a reset would throw an exception");
        long idleNanos = System.nanoTime() - from;
        assertTrue(
            idleNanos >= DEFAULT_TIMEOUT_NANOS - TOLERANCE_NANOS / 2
                && idleNanos < DEFAULT_TIMEOUT_NANOS + 4 * TOLERANCE_NANOS,
            idleNanos + " ns");
        sleepUntil(from, DEFAULT_TIMEOUT_NANOS + TOLERANCE_NANOS);
        assertEquals(FakeEngine.ROW, client.run("select 1").body(), "the connection is still open");
        settings("<clients idleTimeoutMs=\"1000\"/>");
        from = System.nanoTime();
        gateway.hangUp();
        assertTrue(client.ended(), "closed gracefully");
        assertTrue(System.nanoTime() - from >= NANOS_PER_SECOND / 2, "not before the timeout");
      }
      try (ThriftClient next = new ThriftClient(gateway.listen)) {
        assertEquals(FakeEngine.ROW, next.run("select 1").body());
        long from = System.nanoTime();
        assertTrue(next.ended());
        long idleNanos = System.nanoTime() - from;
        assertTrue(
            idleNanos >= NANOS_PER_SECOND * 9 / 10
                && idleNanos < DEFAULT_TIMEOUT_NANOS - TOLERANCE_NANOS,
            idleNanos + " ns");
      }
    }
  }

  @Test
  void invalidReloadKeepsPreviousIdleTimeout() throws Exception {
    Path file = settings("<clients idleTimeoutMs=\"2000\"/>");
    try (FakeEngine engine = new FakeEngine();
        FakeChangeLog changeLog = new FakeChangeLog(1);
        GatewayProcess gateway =
            new GatewayProcess(
                folder,
                GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine),
                List.of("--settings", file.toString()))) {
      gateway.ready().close();
      settings("<clients idleTimeoutMs=\"never\"/>");
      gateway.hangUp();
      for (int i = 0; i < 400 && !Files.readString(gateway.log).contains("stays as it is"); i++) {
        Thread.sleep(25);
      }
      String log = Files.readString(gateway.log);
      assertTrue(log.contains("settings.xml:1: ") && log.contains("idleTimeoutMs"), log);
      try (ThriftClient client = new ThriftClient(gateway.listen)) {
        assertTrue(client.check());
        long from = System.nanoTime();
        assertTrue(client.ended());
        long idleNanos = System.nanoTime() - from;
        assertTrue(
            idleNanos >= NANOS_PER_SECOND * 3 / 2
                && idleNanos < DEFAULT_TIMEOUT_NANOS - TOLERANCE_NANOS,
            idleNanos + " ns");
      }
    }
  }
}
