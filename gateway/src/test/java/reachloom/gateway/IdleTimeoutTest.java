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
 * How long clients may rest, in the program as a process: as before without a setting, else as it
 * says.
 */
@Timeout(120)
class IdleTimeoutTest {
  private static final long SECOND = 1_000_000_000L;

  /** The bound without a setting, and what sweeps and a busy machine may add before it is told. */
  private static final long USUAL = 10 * SECOND;

  private static final long LOOKS = SECOND;

  @TempDir Path folder;

  private Path settings(String inside) throws Exception {
    Path next =
        Files.writeString(
            folder.resolve("next.xml"),
            "<reachloom xmlns=\"urn:reachloom:settings:1\">" + inside + "</reachloom>");
    return Files.move(next, folder.resolve("settings.xml"), StandardCopyOption.REPLACE_EXISTING);
  }

  private static void rest(long from, long time) throws InterruptedException {
    Thread.sleep(Math.max(0, (from + time - System.nanoTime()) / 1_000_000));
  }

  /** Side by side, since each has to rest for as long as the usual bound. */
  @Test
  void aClientRestsBeyondTheUsualBoundOnlyWhereTheSettingsLetItAndIsEndedInOrder()
      throws Exception {
    Path file = settings("<clients idleTimeoutMs=\"600000\"/>");
    Path empty =
        Files.writeString(
            Files.createDirectory(folder.resolve("usual")).resolve("settings.xml"),
            "<reachloom xmlns=\"urn:reachloom:settings:1\"/>");
    try (FakeEngine node = new FakeEngine();
        FakeChangeLog changeLog = new FakeChangeLog(1);
        GatewayProcess gateway =
            new GatewayProcess(
                folder,
                GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, node),
                List.of("--settings", file.toString()));
        GatewayProcess usual =
            new GatewayProcess(
                empty.getParent(),
                GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, node),
                List.of("--settings", empty.toString()))) {
      gateway.ready().close();
      usual.ready().close();
      try (ThriftClient rests = new ThriftClient(gateway.listen);
          ThriftClient restsToo = new ThriftClient(usual.listen)) {
        assertTrue(rests.check());
        long from = System.nanoTime();
        assertEquals(FakeEngine.ROW, restsToo.run("select 1").body());
        assertTrue(restsToo.ended(), "ended in order: a reset would be an exception");
        long rested = System.nanoTime() - from;
        assertTrue(rested >= USUAL - LOOKS / 2 && rested < USUAL + 4 * LOOKS, rested + " ns");
        rest(from, USUAL + LOOKS);
        assertEquals(FakeEngine.ROW, rests.run("select 1").body(), "its connection is still there");
        settings("<clients idleTimeoutMs=\"1000\"/>");
        from = System.nanoTime();
        gateway.hangUp();
        assertTrue(rests.ended(), "in order, too");
        assertTrue(System.nanoTime() - from >= SECOND / 2, "not before its time");
      }
      try (ThriftClient next = new ThriftClient(gateway.listen)) {
        assertEquals(FakeEngine.ROW, next.run("select 1").body());
        long from = System.nanoTime();
        assertTrue(next.ended());
        long rested = System.nanoTime() - from;
        assertTrue(rested >= SECOND * 9 / 10 && rested < USUAL - LOOKS, rested + " ns");
      }
    }
  }

  @Test
  void aBadSettingReadAnewLeavesTheOldOneInForce() throws Exception {
    Path file = settings("<clients idleTimeoutMs=\"2000\"/>");
    try (FakeEngine node = new FakeEngine();
        FakeChangeLog changeLog = new FakeChangeLog(1);
        GatewayProcess gateway =
            new GatewayProcess(
                folder,
                GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, node),
                List.of("--settings", file.toString()))) {
      gateway.ready().close();
      settings("<clients idleTimeoutMs=\"never\"/>");
      gateway.hangUp();
      for (int i = 0; i < 400 && !Files.readString(gateway.log).contains("stays as it is"); i++) {
        Thread.sleep(25);
      }
      String log = Files.readString(gateway.log);
      assertTrue(log.contains("settings.xml:1: ") && log.contains("idleTimeoutMs"), log);
      try (ThriftClient rests = new ThriftClient(gateway.listen)) {
        assertTrue(rests.check());
        long from = System.nanoTime();
        assertTrue(rests.ended());
        long rested = System.nanoTime() - from;
        assertTrue(rested >= SECOND * 3 / 2 && rested < USUAL - LOOKS, rested + " ns");
      }
    }
  }
}
