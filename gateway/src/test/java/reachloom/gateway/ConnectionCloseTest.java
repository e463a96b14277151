package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * What is owed when something ends, on real connections, with the bad order made to happen: a dial
 * that is up only after the client has left, a connection that takes nothing, a cancel that has
 * come before the request is dealt with, bytes that come to a connection that is being closed. See
 * docs/design/endings.md.
 */
@Timeout(60)
class ConnectionCloseTest extends GatewayHarness {
  private static final String ENGINE = "s-00000001";
  private static final String OTHER = "s-00000002";

  /** Statements so long that a few of them fill a connection which takes nothing. */
  private static final String LONG = "select '" + "x".repeat(60_000) + "'";

  private PausedPeer engine;
  private FakeEngine other;
  private FakeChangeLog changeLog;

  /** How a client goes. */
  enum Leaving {
    CLOSE,
    RESET,
    HALF_CLOSE,
    INTERRUPT;

    void go(ThriftClient c, int seq) throws IOException {
      switch (this) {
        case CLOSE -> c.close();
        case RESET -> c.reset();
        case HALF_CLOSE -> c.halfClose();
        default -> c.interrupt(seq);
      }
    }
  }

  @BeforeEach
  void start() throws Exception {
    engine = new PausedPeer();
    other = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    String text =
        GatewayProcess.config(
                GatewayProcess.freeAddress(),
                changeLog.address(),
                engine.address(),
                other.address())
            .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000");
    serve(text, a -> scripted());
    next(SchedulerSettings.class);
    next(List.class);
  }

  @AfterEach
  void end() throws IOException {
    engine.close();
    other.close();
    changeLog.close();
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void aQueryWhoseClientLeavesWhileItsDialHangsIsNeverSent(Leaving how) throws Exception {
    engine.holdDials();
    ThriftClient c = new ThriftClient(config.listen());
    int seq = c.execute("select 1");
    Query q = next(Query.class);
    act(() -> actions.forward(q.id(), ENGINE, 0));
    how.go(c, seq);
    assertEquals("leave " + q.id(), next(String.class));
    act(() -> actions.checkHealth(ENGINE));
    engine.releaseDials();
    // The probe waited for the same connection: what was to be sent before it comes before it.
    assertEquals(List.of("INFO p0"), engine.accept().linesUpTo("INFO"));
    c.close();
  }

  @Test
  void aQueryWhoseEngineLeavesWhileItsDialHangsGoesBackAsOneThatNeverRan() throws Exception {
    engine.holdDials();
    try (ThriftClient c = new ThriftClient(config.listen())) {
      c.execute("select 1", "verb", "once");
      Query q = next(Query.class);
      act(() -> actions.forward(q.id(), ENGINE, 0));
      await(() -> held("connections") == 1);
      allowed = false;
      changeLog.add(1, other, 1);
      assertEquals(EngineEndpoint.class, next(List.class).get(0).getClass());
      AttemptResult end = next(AttemptResult.class);
      assertEquals(
          AttemptOutcome.NOT_SENT,
          end.outcome(),
          "told when the list tells, not when the dial comes up");
      allowed = true;
      act(() -> actions.forward(q.id(), OTHER, 0));
      assertEquals(FakeEngine.ROW, c.reply().body());
      engine.releaseDials();
      act(() -> actions.checkHealth(ENGINE));
      assertEquals(List.of("INFO p0"), engine.accept().linesUpTo("INFO"));
    }
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void aQueryThatIsGivenUpBeforeItIsDealtWithIsNeverSent(Leaving how) throws Exception {
    // The module asks for an attempt as soon as it hears of the query, as it does in service.
    sendAtOnceTo = ENGINE;
    ThriftClient c = new ThriftClient(config.listen());
    act(() -> actions.checkHealth(ENGINE));
    Connection connection = engine.accept(); // it is up: nothing waits for a dial
    assertEquals(List.of("INFO p0"), connection.linesUpTo("INFO"));
    CountDownLatch go = hold();
    int seq = c.execute("select 1");
    allHasBeenRead();
    how.go(c, seq);
    allHasBeenRead();
    go.countDown();
    next(Query.class);
    assertTrue(next(String.class).startsWith("leave "));
    act(() -> actions.checkHealth(ENGINE));
    assertEquals(List.of("INFO p1"), connection.linesUpTo("INFO"), "what has come counts first");
    c.close();
  }

  /**
   * Sends until the connection takes nothing: one request is on it in part, and one waits behind
   * it.
   */
  private Connection stuck(List<ThriftClient> fillers) throws Exception {
    Connection connection = null;
    String first = null;
    for (int quiet = 0; quiet < 40 && fillers.size() < 120; ) {
      if (held("unsentAttempts") > 0) {
        // The system tells late that it has room again; a further word makes it take what it can.
        String query = first;
        int priority = 2 + quiet++ % 2;
        act(() -> actions.setResources(query, 0, priority));
        Thread.sleep(5);
        continue;
      }
      quiet = 0;
      ThriftClient filler = new ThriftClient(config.listen());
      fillers.add(filler);
      filler.execute(LONG, "limit", "60000");
      Query q = next(Query.class);
      first = first == null ? q.id() : first;
      act(() -> actions.forward(q.id(), ENGINE, 0));
      connection = connection == null ? engine.accept() : connection;
    }
    assertEquals(1, held("unsentAttempts"));
    return connection;
  }

  @Test
  void whatWaitsBehindAConnectionThatTakesNothingCanStillBeEnded() throws Exception {
    List<ThriftClient> fillers = new ArrayList<>();
    try {
      Connection connection = stuck(fillers);
      ThriftClient c =
          new ThriftClient(config.listen()); // only now: one that is silent for 2 s is ended
      fillers.add(c);
      int seq = c.execute("select 'the one'");
      Query q = next(Query.class);
      act(() -> actions.forward(q.id(), ENGINE, 0));
      c.interrupt(seq);
      assertEquals("leave " + q.id(), next(String.class));
      act(() -> actions.checkHealth(ENGINE));
      List<String> lines = connection.linesUpTo("INFO");
      assertTrue(lines.size() > 2, "the connection goes on: " + lines.size());
      assertTrue(
          lines.stream().noneMatch(l -> l.contains(q.id())), "neither it nor that it is given up");
    } finally {
      for (ThriftClient f : fillers) {
        f.close();
      }
    }
  }

  @Test
  void aRequestGivenUpWhileItIsHalfWrittenDoesNotArriveLater() throws Exception {
    List<ThriftClient> fillers = new ArrayList<>();
    try {
      Connection connection = stuck(fillers);
      int whole = fillers.size();
      for (ThriftClient f : fillers) {
        f.close();
      }
      await(
          () -> held("connections") == 0); // it was ended, since it could not be kept from leaving
      int requests = 0;
      String line;
      try {
        while ((line = connection.request()) != null) {
          requests += line.startsWith("ASK") ? 1 : 0;
        }
      } catch (IOException e) {
        // a reset: nothing more comes, whole or not
      }
      assertTrue(requests < whole, requests + " of " + whole + " came whole");
    } finally {
      for (ThriftClient f : fillers) {
        f.close();
      }
    }
  }

  @Test
  void whatIsOwedIsWrittenBeforeAConnectionOnWhichNonsenseFollowsEnds() throws Exception {
    for (int i = 0; i < 3; i++) {
      try (ThriftClient c = new ThriftClient(config.listen())) {
        CountDownLatch go = hold();
        c.checkAndNonsense(2_000);
        allHasBeenRead();
        go.countDown();
        for (int mb = 0; mb < 16; mb++) { // more than the system holds unread: a reset would end it
          c.raw(new byte[1 << 20]);
        }
        assertFalse(c.reply().good(), "the answer to what could be read");
        assertTrue(c.ended(), "and then the end, no reset");
      }
    }
  }

  @Test
  void anEngineReadsThatARequestIsGivenUpThoughItsOwnWordsAreOnTheirWay() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      c.execute("select 1");
      Query q = next(Query.class);
      act(() -> actions.forward(q.id(), ENGINE, 0));
      Connection connection = engine.accept();
      assertTrue(connection.request().startsWith("ASK"));
      CountDownLatch go = hold();
      FakeEngine.daemon(
          () -> {
            try {
              connection.say("nonsense\r\n" + "x".repeat(500_000));
            } catch (IOException e) {
              // as far as it is read
            }
          });
      act(() -> actions.cancelAttempt(q.id(), 0));
      go.countDown();
      assertEquals("QUIT " + q.id(), connection.line());
      assertNull(connection.line(), "and then the end, no reset");
      assertEquals(AttemptOutcome.CANCELLED, next(AttemptResult.class).outcome());
    }
  }
}
