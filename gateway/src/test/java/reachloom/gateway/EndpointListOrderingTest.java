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
 * Guards against requests to a draining engine, with the production scheduler, when the change of
 * the endpoint list is easily missed: the configuration changes the address of the change log while
 * the engine starts to drain, or the change log falls silent within a list.
 */
@Timeout(60)
class EndpointListOrderingTest extends GatewayHarness {
  private FakeEngine draining;
  private FakeEngine staying;
  private PausedPeer log;
  private Connection logConnection;
  private ThriftClient client;

  @BeforeEach
  void start() throws Exception {
    draining = new FakeEngine();
    staying = new FakeEngine();
    log = new PausedPeer();
    outcomeListener =
        new EngineOutcomeListener() {
          @Override
          public void onEndpoints(boolean complete, List<EngineMember> members) {
            events.add(members);
          }

          @Override
          public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted) {
            // not used
          }
        };
    startGateway(text(GatewayProcess.freeAddress(), log), QueryScheduler::new);
    assertEquals(2, nextEvent(List.class).size());
    logConnection = log.accept();
    assertEquals(1, logConnection.readEventNumber());
    client = new ThriftClient(config.listen());
    await(
        () ->
            sendsHeartbeat()
                && runsQuery()
                && draining.count("ASK") > 0
                && staying.count("ASK") > 0); // both are in use
  }

  @AfterEach
  void end() throws IOException {
    client.close();
    draining.close();
    staying.close();
    log.close();
  }

  private String text(InetSocketAddress listen, PausedPeer changeLog) {
    return GatewayProcess.config(
        listen, changeLog.address(), draining.address(), staying.address());
  }

  /** Sends a heartbeat of the change log; returns false if the connection is broken. */
  private boolean sendsHeartbeat() {
    try {
      logConnection.write(ChangeLogClientTest.frame(1, ChangeLogClientTest.HEARTBEAT));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private boolean runsQuery() {
    try {
      return client.run("select 1").kind().equals("ANSWER");
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns a frame with both engines, in which the draining one has the given state. */
  private byte[] listFrame(long number, int kind, int state) {
    ByteBuffer frame =
        ByteBuffer.allocate(4 + 9 + 2 * 27).putInt(9 + 2 * 27).putLong(number).put((byte) kind);
    byte[] here = draining.address().getAddress().getAddress();
    ChangeLogClientTest.record(frame, 1, here, draining.address().getPort(), state);
    ChangeLogClientTest.record(frame, 2, here, staying.address().getPort(), ChangeLogClientTest.UP);
    return frame.array();
  }

  /** While the loop is paused: sends that the engine drains, and waits until that is read. */
  private void sendDrainAndAwaitRead(Connection connection) throws Exception {
    int before = loop.queuedBytes();
    connection.write(listFrame(2, ChangeLogClientTest.CHANGES, ChangeLogClientTest.DRAINING));
    await(() -> loop.queuedBytes() > before);
  }

  private void assertDrainingEngineUnused(long before) {
    for (int i = 0; i < 20; i++) {
      assertTrue(runsQuery());
    }
    assertEquals(before, draining.count("ASK"));
  }

  /**
   * Which event the loop handles first, or that the change log of the new configuration sends the
   * drain.
   */
  enum FirstEvent {
    DRAIN_EVENT,
    CONFIGURATION,
    CONFIGURATION_THEN_NEW_LOG
  }

  @ParameterizedTest
  @EnumSource(FirstEvent.class)
  void drainingEngineGetsNoRequestsWhileLogAddressChanges(FirstEvent first) throws Exception {
    try (PausedPeer newLog = new PausedPeer()) {
      GatewayConfig next = config(text(config.listen(), newLog));
      CountDownLatch resume = pauseLoop();
      for (int i = 0; i < 20; i++) {
        client.execute("select 1"); // decided in the same iteration, before those events
      }
      awaitSocketsRead();
      long before = draining.count("ASK");
      if (first == FirstEvent.DRAIN_EVENT) {
        sendDrainAndAwaitRead(logConnection);
      }
      runOnLoop(() -> gateway.reload(next));
      if (first == FirstEvent.CONFIGURATION) {
        sendDrainAndAwaitRead(logConnection);
      }
      resume.countDown();
      if (first == FirstEvent.CONFIGURATION_THEN_NEW_LOG) {
        for (int i = 0; i < 20; i++) {
          assertEquals("ANSWER", client.reply().kind());
        }
        Connection newConnection = newLog.accept();
        assertEquals(1, newConnection.readEventNumber());
        newConnection.write(
            listFrame(2, ChangeLogClientTest.CHANGES, ChangeLogClientTest.DRAINING));
        assertEquals(
            EngineState.DRAINING, ((EngineMember) nextEvent(List.class).get(0)).endpoint().state());
        before = draining.count("ASK");
        assertDrainingEngineUnused(before);
      } else {
        for (int i = 0; i < 20; i++) {
          assertEquals("ANSWER", client.reply().kind());
        }
        assertDrainingEngineUnused(before); // though the new log has sent nothing
        assertEquals(2, newLog.accept().readEventNumber(), "from the last applied event");
      }
    }
  }

  @Test
  void reconnectsAfterSilenceWithinListAndAppliesOnlyCompleteList() throws Exception {
    // The log sends heartbeats for long, as one that sends something each second.
    for (int i = 0; i < 14; i++) {
      assertTrue(sendsHeartbeat());
    }
    long silentFrom = System.nanoTime();
    byte[] frame = listFrame(2, ChangeLogClientTest.COMPLETE, ChangeLogClientTest.DRAINING);
    CountDownLatch resume = pauseLoop();
    for (int i = 0; i < frame.length - 1; i++) {
      logConnection.write(new byte[] {frame[i]});
    }
    awaitSocketsRead();
    resume.countDown();
    runOnLoop(() -> events.add("everything read has been handled"));
    nextEvent(String.class); // and not a list, whose last byte is missing
    Connection again = log.accept();
    long took = System.nanoTime() - silentFrom;
    assertTrue(
        took < 2 * EndpointWatch.MAX_SILENCE_NANOS,
        "reconnected after " + took + " ns, though bytes had been received");
    assertEquals(1, again.readEventNumber(), "from the last applied event");
    for (byte b : frame) {
      again.write(new byte[] {b});
    }
    assertEquals(
        EngineState.DRAINING, ((EngineMember) nextEvent(List.class).get(0)).endpoint().state());
    assertDrainingEngineUnused(draining.count("ASK"));
  }
}
