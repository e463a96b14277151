package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.discovery.EndpointWatch;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineState;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * A list of engines that changes just as it may not be heard of, with the module that decides in
 * service: a configuration that moves the log while an engine begins to drain, and a watch that
 * falls silent.
 */
@Timeout(60)
class EndpointListOrderingTest extends GatewayHarness {
  private FakeEngine drains;
  private FakeEngine stays;
  private PausedPeer log;
  private Connection watch;
  private ThriftClient client;

  @BeforeEach
  void start() throws Exception {
    drains = new FakeEngine();
    stays = new FakeEngine();
    log = new PausedPeer();
    observer =
        new EngineOutcomeListener() {
          @Override
          public void onEndpoints(boolean whole, List<EngineMember> members) {
            told.add(members);
          }

          @Override
          public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean judged) {
            // not looked at
          }
        };
    serve(text(GatewayProcess.freeAddress(), log), QueryScheduler::new);
    assertEquals(2, next(List.class).size());
    watch = log.accept();
    assertEquals(1, watch.number());
    client = new ThriftClient(config.listen());
    await(
        () ->
            alive()
                && ask()
                && drains.count("ASK") > 0
                && stays.count("ASK") > 0); // both are in use
  }

  @AfterEach
  void end() throws IOException {
    client.close();
    drains.close();
    stays.close();
    log.close();
  }

  private String text(InetSocketAddress listen, PausedPeer changeLog) {
    return GatewayProcess.config(listen, changeLog.address(), drains.address(), stays.address());
  }

  /** The log says that nothing is new: its watch is alive. */
  private boolean alive() {
    try {
      watch.say(WatchSocketsTest.frame(1, WatchSocketsTest.NOTHING));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private boolean ask() {
    try {
      return client.run("select 1").kind().equals("ANSWER");
    } catch (IOException e) {
      return false;
    }
  }

  /** A frame that tells of both engines, one of which has that state. */
  private byte[] list(long number, int kind, int state) {
    ByteBuffer frame =
        ByteBuffer.allocate(4 + 9 + 2 * 27).putInt(9 + 2 * 27).putLong(number).put((byte) kind);
    byte[] here = drains.address().getAddress().getAddress();
    WatchSocketsTest.record(frame, 1, here, drains.address().getPort(), state);
    WatchSocketsTest.record(frame, 2, here, stays.address().getPort(), WatchSocketsTest.UP);
    return frame.array();
  }

  /** The same while the loop is held; returns once it is read. */
  private void drainsAndIsRead(Connection told) throws Exception {
    int before = loop.queuedBytes();
    told.say(list(2, WatchSocketsTest.CHANGES, WatchSocketsTest.DRAINING));
    await(() -> loop.queuedBytes() > before);
  }

  private void assertNothingNewWhereItDrains(long before) {
    for (int i = 0; i < 20; i++) {
      assertTrue(ask());
    }
    assertEquals(before, drains.count("ASK"));
  }

  /**
   * What the loop comes to first, or that the log told of in the configuration is the one that
   * tells.
   */
  enum First {
    DRAIN,
    CONFIGURATION,
    CONFIGURATION_THEN_THE_NEW_LOG
  }

  @ParameterizedTest
  @EnumSource(First.class)
  void nothingNewGoesToAnEngineThatDrainsAsTheLogIsMovedWhicheverIsFirst(First first)
      throws Exception {
    try (PausedPeer moved = new PausedPeer()) {
      GatewayConfig next = config(text(config.listen(), moved));
      CountDownLatch go = hold();
      for (int i = 0; i < 20; i++) {
        client.execute("select 1"); // decided in the same turn, before all of it
      }
      allHasBeenRead();
      long before = drains.count("ASK");
      if (first == First.DRAIN) {
        drainsAndIsRead(watch);
      }
      act(() -> gateway.reload(next));
      if (first == First.CONFIGURATION) {
        drainsAndIsRead(watch);
      }
      go.countDown();
      if (first == First.CONFIGURATION_THEN_THE_NEW_LOG) {
        for (int i = 0; i < 20; i++) {
          assertEquals("ANSWER", client.reply().kind());
        }
        Connection later = moved.accept();
        assertEquals(1, later.number());
        later.say(list(2, WatchSocketsTest.CHANGES, WatchSocketsTest.DRAINING));
        assertEquals(
            EngineState.DRAINING, ((EngineMember) next(List.class).get(0)).endpoint().state());
        before = drains.count("ASK");
        assertNothingNewWhereItDrains(before);
      } else {
        for (int i = 0; i < 20; i++) {
          assertEquals("ANSWER", client.reply().kind());
        }
        assertNothingNewWhereItDrains(before); // though the new log has told nothing
        assertEquals(2, moved.accept().number(), "from the last event held");
      }
    }
  }

  @Test
  void aWatchThatFallsSilentWithinAListIsDialledAgainInTimeAndAListCountsOnceItIsWhole()
      throws Exception {
    for (int i = 0;
        i < 14;
        i++) { // it speaks for long, as a log does that says something each second
      assertTrue(alive());
    }
    long silentFrom = System.nanoTime();
    byte[] list = list(2, WatchSocketsTest.WHOLE, WatchSocketsTest.DRAINING);
    CountDownLatch go = hold();
    for (int i = 0; i < list.length - 1; i++) {
      watch.say(new byte[] {list[i]});
    }
    allHasBeenRead();
    go.countDown();
    act(() -> told.add("all that is read is dealt with"));
    next(String.class); // and not a list, of which the last byte is missing
    Connection again = log.accept();
    long took = System.nanoTime() - silentFrom;
    assertTrue(
        took < 2 * EndpointWatch.MAX_SILENCE_NANOS,
        "dialled again after " + took + " ns, though bytes had come");
    assertEquals(1, again.number(), "from the last event held");
    for (byte b : list) {
      again.say(new byte[] {b});
    }
    assertEquals(EngineState.DRAINING, ((EngineMember) next(List.class).get(0)).endpoint().state());
    assertNothingNewWhereItDrains(drains.count("ASK"));
  }
}
