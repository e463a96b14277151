package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.standin.ThriftMessages;

/**
 * Requests that meet the end of a connection which this side wants: at the shutdown, and where a
 * client that rests is ended. They get their answers, or they are not sent on and their connections
 * end in order.
 */
@Timeout(60)
class ShutdownOrderingTest extends GatewayHarness {
  private static final String ENGINE = "s-00000001";
  private static final String SERVED =
      " OK fetches=1 " + FakeEngine.ROW.length() + "\r\n" + FakeEngine.ROW + "\r\n";

  private PausedPeer engine;
  private FakeChangeLog changeLog;

  /** The gateway's one connection to its engine; it tells what was sent on, and in which order. */
  private Connection sentOn;

  private int probes;

  @BeforeEach
  void start() throws Exception {
    engine = new PausedPeer();
    changeLog = new FakeChangeLog(1);
    String text =
        GatewayProcess.config(GatewayProcess.freeAddress(), changeLog.address(), engine.address())
            .replace("\"dialTimeout\":250000000", "\"dialTimeout\":9000000000")
            .replace("\"sockets\":1024", "\"sockets\":96");
    serve(text, a -> scripted());
    next(SchedulerSettings.class);
    next(List.class);
    sendAtOnceTo = ENGINE; // as the module does in service
    act(() -> actions.checkHealth(ENGINE));
    sentOn = engine.accept();
    nothingSentOn();
  }

  @AfterEach
  void end() throws IOException {
    engine.close();
    changeLog.close();
  }

  /**
   * Twice round by way of the engine: all that was sent before has been read, and none of it was
   * sent on.
   */
  private void nothingSentOn() throws Exception {
    for (int i = 0; i < 2; i++) {
      if (probes > 0) {
        act(() -> actions.checkHealth(ENGINE));
      }
      String tag = "p" + probes++;
      assertEquals(List.of("INFO " + tag), sentOn.linesUpTo("INFO"));
      sentOn.say(tag + " UP - 0\r\n\r\n");
      assertEquals(List.of(ENGINE, true), next(List.class));
    }
  }

  /**
   * Once what was sent before has been read: a reset would tell at the next word, if not by the
   * first.
   */
  private static void assertNoReset(ThriftClient c) {
    assertDoesNotThrow(() -> c.execute("select 'after the end'"));
  }

  private void answer(Query q) throws Exception {
    assertTrue(sentOn.request().startsWith("ASK " + q.id()));
    sentOn.say(q.id() + SERVED);
  }

  /** Where the request lies when the loop comes to the shutdown. */
  enum Lying {
    READ,
    READ_BEHIND_ITS_CONNECTION,
    READ_IN_HALF
  }

  @ParameterizedTest
  @EnumSource(Lying.class)
  void aRequestThatLiesBehindTheShutdownIsNotSentOnAndItsConnectionEndsInOrder(Lying where)
      throws Exception {
    ThriftClient c = new ThriftClient(config.listen());
    assertFalse(c.check());
    if (where == Lying.READ_IN_HALF) {
      c.begin("select 1");
    }
    CountDownLatch go = hold();
    if (where == Lying.READ_IN_HALF) {
      allHasBeenRead();
    }
    act(gateway::close);
    if (where == Lying.READ_BEHIND_ITS_CONNECTION) {
      c.close();
      c = new ThriftClient(config.listen());
    }
    if (where == Lying.READ_IN_HALF) {
      c.finish();
    } else {
      c.execute("select 1");
    }
    allHasBeenRead();
    go.countDown();
    assertTrue(c.ended(), "no answer, and no reset");
    nothingSentOn();
    c.close();
    await(() -> held("clients") == 0 && held("requests") == 0);
  }

  @Test
  void whatComesWhileTheCloseIsOnItsWayIsReadAndDroppedWithoutAReset() throws Exception {
    List<ThriftClient> all = new ArrayList<>();
    try {
      for (int i = 0;
          i < 12;
          i++) { // more than may be on their way to their end while others need room
        all.add(new ThriftClient(config.listen()));
        assertFalse(all.get(i).check());
      }
      all.get(0).execute("select 1");
      answer(next(Query.class));
      assertEquals("ANSWER", all.get(0).reply().kind());
      next(AttemptResult.class);
      ThriftClient half = all.remove(1);
      half.begin("select 2");
      nothingSentOn(); // the half is read
      act(gateway::close);
      assertTrue(half.ended());
      half.finish();
      for (ThriftClient c : all) {
        assertTrue(c.ended());
        c.execute("select 3");
      }
      all.add(half);
      nothingSentOn();
      all.forEach(ShutdownOrderingTest::assertNoReset);
    } finally {
      for (ThriftClient c : all) {
        c.close();
      }
    }
    await(() -> pending() == 0);
  }

  @Test
  void whatIsOnItsWayWhenSigtermComesIsAnswered() throws Exception {
    Path own = Files.createDirectory(folder.resolve("process"));
    try (FakeEngine node = new FakeEngine();
        GatewayProcess process =
            new GatewayProcess(own, changeLog, GatewayProcess.freeAddress(), node);
        ThriftClient open = process.ready();
        ThriftClient half = new ThriftClient(process.listen)) {
      assertTrue(half.check());
      half.begin("select 1");
      process.standStill();
      int hanging =
          open.execute("select 1 /* hang */", "limit", "1300"); // longer than new ones come
      int plain = open.execute("select 1");
      try (ThriftClient late = new ThriftClient(process.listen)) {
        late.execute("select 1");
        process.terminate();
        process.goOn();
        assertEquals("ANSWER", late.reply().kind());
        await(() -> stopping(process));
        half.finish();
        assertEquals("ANSWER", half.reply().kind());
        ThriftMessages.Reply first = open.reply();
        assertEquals(plain, first.seq());
        assertEquals("ANSWER", first.kind());
        ThriftMessages.Reply second = open.reply();
        assertEquals(hanging, second.seq());
        assertTrue(Set.of("BUSY", "FAILED").contains(second.kind()));
        assertTrue(open.ended() && half.ended() && late.ended(), "no reset");
      }
      assertEquals(0, process.exit());
    }
  }

  private static boolean stopping(GatewayProcess process) {
    try (ThriftClient c = new ThriftClient(process.listen)) {
      return !c.check();
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void aRequestReadBeforeItsConnectionHasToGiveWayIsTakenAndOneThatComesLaterIsNotReadNorReset()
      throws Exception {
    List<ThriftClient> resting = new ArrayList<>();
    try {
      for (int i = 0; i < 32; i++) { // all that there is room for
        resting.add(new ThriftClient(config.listen()));
        assertFalse(resting.get(i).check());
      }
      ThriftClient asks = resting.get(0); // the one idle for longest
      ThriftClient givesWay = resting.get(1);
      CountDownLatch go = hold();
      try (ThriftClient newcomer = new ThriftClient(config.listen())) {
        allHasBeenRead();
        asks.execute("select 1");
        allHasBeenRead();
        go.countDown();
        answer(next(Query.class));
        assertEquals("ANSWER", asks.reply().kind());
        next(AttemptResult.class);
        assertTrue(givesWay.ended(), "no reset");
        givesWay.execute("select 2");
        nothingSentOn();
        assertNoReset(givesWay);
        assertFalse(newcomer.check(), "it is in");
        assertTrue(held("clients") <= 32);
      }
    } finally {
      for (ThriftClient c : resting) {
        c.close();
      }
    }
  }

  @Test
  void clientsThatRestUntilTheyAreEndedGetNoResetAndWhatCrossesThatIsAnsweredOrNotSentOn()
      throws Exception {
    List<ThriftClient> resting = new ArrayList<>();
    try {
      for (int i = 0; i < 8; i++) {
        resting.add(new ThriftClient(config.listen()));
        assertFalse(resting.get(i).check());
      }
      assertTrue(resting.get(0).ended(), "after ten seconds");
      for (ThriftClient c : resting) {
        c.execute("select 1", "limit", "8000");
      }
      int taken = 0;
      int served = 0;
      for (int i = 0; i < 2; i++) { // twice round by way of the engine: all has been read
        act(() -> actions.checkHealth(ENGINE));
        String line = sentOn.request();
        for (; line.startsWith("ASK"); line = sentOn.request()) {
          served++;
          sentOn.say(line.split(" ")[1] + SERVED);
        }
        sentOn.say(line.split(" ")[1] + " UP - 0\r\n\r\n");
        for (Object event = next(Object.class);
            !(event instanceof List<?>);
            event = next(Object.class)) {
          taken += event instanceof Query ? 1 : 0;
        }
      }
      for (; served < taken; served++) { // a probe may overtake what leaves at the end of a turn
        sentOn.say(sentOn.request().split(" ")[1] + SERVED);
      }
      int answered = 0;
      for (ThriftClient c : resting) {
        if (c.ended()) {
          assertNoReset(c);
        } else {
          answered++;
        }
      }
      assertEquals(taken, answered);
    } finally {
      for (ThriftClient c : resting) {
        c.close();
      }
    }
  }

  private int pending() {
    int[] pending = new int[1];
    CountDownLatch asked = new CountDownLatch(1);
    act(
        () -> {
          pending[0] = gateway.closingConnections();
          asked.countDown();
        });
    try {
      asked.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return pending[0];
  }
}
