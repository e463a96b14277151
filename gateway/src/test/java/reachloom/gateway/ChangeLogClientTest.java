package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.GatewayConfig;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * The client of the change log on real connections, when the log is silent, skips events, goes back
 * or can't be reached.
 */
@Timeout(60)
class ChangeLogClientTest {
  static final int HEARTBEAT = 0;
  static final int COMPLETE = 1;
  static final int CHANGES = 2;
  static final int UP = 0;
  static final int DRAINING = 1;
  static final int REMOVED = 2;

  @TempDir Path folder;

  private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();

  static byte[] frame(long number, int kind, Integer... engines) throws IOException {
    ByteBuffer frame =
        ByteBuffer.allocate(4 + 9 + 27 * engines.length)
            .putInt(9 + 27 * engines.length)
            .putLong(number)
            .put((byte) kind);
    for (int id : engines) {
      record(
          frame,
          Math.abs(id),
          InetAddress.getLoopbackAddress().getAddress(),
          1,
          id < 0 ? REMOVED : UP);
    }
    return frame.array();
  }

  static void record(ByteBuffer frame, int id, byte[] address, int port, int state) {
    frame
        .putInt(id)
        .put(address)
        .putShort((short) port)
        .put((byte) state)
        .put((byte) 0)
        .put((byte) 0)
        .putShort((short) 0)
        .putInt(1000)
        .putLong(0);
  }

  private List<String> names() throws InterruptedException {
    Object event = events.poll(10, TimeUnit.SECONDS);
    assertTrue(event instanceof List<?>, "received " + event);
    return ((List<?>) event)
        .stream().map(e -> ((EngineEndpoint) e).name().substring(9)).sorted().toList();
  }

  private EventLoop start(PausedPeer log) throws Exception {
    String text = GatewayProcess.config(GatewayProcess.freeAddress(), log.address());
    GatewayConfig config =
        GatewayConfig.fromFile(Files.writeString(folder.resolve("config.json"), text), Map.of());
    EventLoop loop = new EventLoop();
    GatewayService gateway =
        new GatewayService(config, loop, a -> new GatewayServiceTest.RecordingScheduler(events));
    loop.post(0, gateway::start);
    FakeEngine.daemon(loop);
    assertTrue(events.poll(10, TimeUnit.SECONDS) instanceof SchedulerSettings);
    assertEquals(List.of(), names());
    return loop;
  }

  @Test
  void reconnectsAfterSilenceAndIgnoresOldConnection() throws Exception {
    try (PausedPeer log = new PausedPeer()) {
      EventLoop loop = start(log);
      Connection first = log.accept();
      assertEquals(1, first.readEventNumber());
      first.write(frame(2, CHANGES, 1));
      assertEquals(List.of("1"), names());
      long silentFrom = System.nanoTime();
      Connection second = log.accept(); // though the connection did not break
      assertEquals(2, second.readEventNumber(), "from the last applied event");
      assertTrue(System.nanoTime() - silentFrom < 5_000_000_000L);
      try {
        first.write(frame(3, CHANGES, 9)); // too late: the gateway has reconnected
      } catch (IOException e) {
        // the connection is closed
      }
      second.write(frame(3, CHANGES, 2));
      assertEquals(List.of("2"), names());
      loop.post(0, loop::end);
    }
  }

  @Test
  void requestsCompleteListAfterMissingEvents() throws Exception {
    try (PausedPeer log = new PausedPeer()) {
      EventLoop loop = start(log);
      Connection first = log.accept();
      assertEquals(1, first.readEventNumber());
      first.write(frame(4, CHANGES, 4));
      Connection second = log.accept();
      assertEquals(0, second.readEventNumber(), "the complete list");
      second.write(frame(1, COMPLETE, 1));
      second.write(frame(2, CHANGES, 2));
      second.write(frame(3, CHANGES, -1));
      second.write(frame(3, HEARTBEAT));
      assertNull(events.poll(300, TimeUnit.MILLISECONDS), "an older list is never applied");
      second.write(frame(4, CHANGES, 4));
      assertEquals(List.of("2", "4"), names());
      second.write(frame(2, CHANGES, 7)); // an event that was sent before
      second.write(frame(5, CHANGES, 5));
      assertEquals(List.of("5"), names());
      loop.post(0, loop::end);
    }
  }

  @Test
  void gatewaysStartInTimeWithoutChangeLog() throws Exception {
    List<GatewayProcess> gateways = new ArrayList<>();
    try (PausedPeer log = new PausedPeer()) {
      log.blockConnects();
      long start = System.nanoTime();
      for (int i = 0; i < 5; i++) {
        Path own = Files.createDirectory(folder.resolve("g" + i));
        String text = GatewayProcess.config(GatewayProcess.freeAddress(), log.address());
        gateways.add(new GatewayProcess(own, text));
      }
      for (GatewayProcess g : gateways) {
        g.ready().close();
      }
      assertTrue(System.nanoTime() - start < 10_000_000_000L);
    } finally {
      for (GatewayProcess g : gateways) {
        g.close();
      }
    }
  }

  @Test
  void reconnectsToChangeLogWithMoreClientsThanDescriptors() throws Exception {
    List<ThriftClient> idle = new ArrayList<>();
    try (PausedPeer log = new PausedPeer();
        FakeEngine engine = new FakeEngine()) {
      log.blockConnects();
      String text =
          GatewayProcess.config(GatewayProcess.freeAddress(), log.address())
              .replace("\"sockets\":1024", "\"sockets\":256");
      List<String> limited = List.of("sh", "-c", "ulimit -n 256 && exec \"$0\" \"$@\"");
      try (GatewayProcess gateway = new GatewayProcess(folder, text, limited, List.of())) {
        gateway.ready().close();
        for (int i = 0; i < 300; i++) { // more than there are descriptors
          ThriftClient client = new ThriftClient(gateway.listen);
          idle.add(client);
          assertTrue(client.check(), "each client is admitted in place of an idle one");
        }
        log.unblockConnects();
        Connection subscribed = null;
        for (int i = 0; subscribed == null; i++) {
          Connection accepted = log.accept(); // some of the connects were abandoned meanwhile
          try {
            assertEquals(1, accepted.readEventNumber());
            subscribed = accepted;
          } catch (IOException e) {
            assertTrue(i < 100);
          }
        }
        ByteBuffer event =
            ByteBuffer.allocate(4 + 9 + 27).putInt(9 + 27).putLong(2).put((byte) CHANGES);
        record(
            event, 1, engine.address().getAddress().getAddress(), engine.address().getPort(), UP);
        subscribed.write(event.array());
        try (ThriftClient client = new ThriftClient(gateway.listen)) {
          String kind = "";
          for (int i = 0; i < 100 && !kind.equals("ANSWER"); i++) {
            kind = client.run("select 1").kind();
            Thread.sleep(20);
          }
          assertEquals("ANSWER", kind, "the engine that the log sent is reached");
        }
      }
    } finally {
      for (ThriftClient client : idle) {
        client.close();
      }
    }
  }
}
