package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.simulator.SimulatorAdapterProbe;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.standin.ThriftMessages;

/**
 * What the front on sockets tells the module: the same as the simulator's front, in the same units.
 */
class GatewayServiceTest extends GatewayHarness {
  /** The table group of queries that the module fails on. */
  private static final int BROKEN = 666;

  private FakeEngine node;
  private FakeChangeLog changeLog;

  /** A module that notes what it is told, and does nothing by itself. */
  static class Recorder implements SchedulerEvents {
    private final java.util.Collection<Object> told;

    Recorder(java.util.Collection<Object> told) {
      this.told = told;
    }

    @Override
    public void onStart(long now, long seed, SchedulerSettings settings) {
      told.add(settings);
    }

    @Override
    public void onEndpoints(long now, boolean complete, List<EngineEndpoint> entries) {
      told.add(entries);
    }

    @Override
    public void onEndpointsUnavailable(long now) {
      told.add("unavailable");
    }

    @Override
    public void onQuery(long now, Query query) {
      told.add(query);
      if (query.tableGroup() == BROKEN) {
        throw new IllegalStateException("as scripted");
      }
    }

    @Override
    public void onStreaming(long now, String query, int attempt) {
      told.add("streaming");
    }

    @Override
    public void onProgress(long now, ProgressReport note) {
      told.add(note);
    }

    @Override
    public void onAttemptEnded(long now, AttemptResult end) {
      told.add(end);
    }

    @Override
    public void onClientGone(long now, String query) {
      told.add("leave " + query);
    }

    @Override
    public void onTimer(long now, long token) {
      told.add("wake " + token);
    }

    @Override
    public void onPeerReport(long now, String engine, double level) {
      told.add("hearsay " + engine + " " + level);
    }

    @Override
    public void onHealthCheck(long now, String engine, boolean answered, LoadReport report) {
      told.add(report == null ? List.of(engine, answered) : List.of(engine, answered, report));
    }
  }

  @BeforeEach
  void start() throws Exception {
    node = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    serve(
        GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, node),
        a -> new Recorder(told));
    next(SchedulerSettings.class);
    next(List.class);
  }

  @Test
  void aModuleThatFailsOnAnEventCostsThatQueryOnly() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      int broken = c.execute("select 1 from sales_666.a", "limit", "600");
      Query first = next(Query.class);
      int other = c.execute("select 1 from sales_1.a");
      Query second = next(Query.class);
      loop.post(0, () -> actions.reject(second.id(), 0));
      ThriftMessages.Reply reply = c.reply();
      assertEquals(other, reply.seq());
      assertEquals("BUSY", reply.kind());
      reply = c.reply();
      assertEquals(broken, reply.seq());
      assertEquals("BUSY", reply.kind(), "nothing was sent for it");
      assertEquals("leave " + first.id(), next(String.class));
    }
  }

  @AfterEach
  void end() throws IOException {
    node.close();
    changeLog.close();
  }

  private Query taken(ThriftClient c, String statement, String... changes) throws Exception {
    c.execute(statement, changes);
    return next(Query.class);
  }

  private void awaitAsk() throws InterruptedException {
    while (node.count("ASK") == 0) {
      Thread.sleep(1);
    }
  }

  @Test
  void bothFrontsTellTheSameStory() throws Exception {
    List<Object> sockets = new ArrayList<>();
    try (ThriftClient c = new ThriftClient(config.listen())) {
      Query q = taken(c, "select 1 /* note */ from sales_3.a", "txn", "00000000000000ab");
      sockets.add(
          new Query(
              q.id(),
              q.queryClass(),
              q.tenant(),
              q.key(),
              0,
              q.estimatedCostNanos(),
              q.estimatedMemoryMb(),
              q.tableGroup(),
              q.clientRetry()));
      assertTrue(
          q.remainingNanos() > 1_000_000_000 && q.remainingNanos() <= 1_500_000_000,
          "in nanoseconds");
      act(() -> actions.forward(q.id(), "s-00000001", 0));
      sockets.add(next(ProgressReport.class));
      AttemptResult e = next(AttemptResult.class);
      sockets.add(
          new AttemptResult(
              e.queryId(),
              e.attempt(),
              e.engine(),
              e.outcome(),
              0,
              e.queryFinished(),
              e.costMs(),
              e.memoryMb(),
              e.loadReport()));
      act(() -> actions.checkHealth("s-00000001"));
      sockets.add(next(List.class));
    }
    String batch =
        """
        {"moment":1,"batch":1,"items":[{"cmd":"NewInstance","gatewayId":"g","entropy":1,"bootInfo":{}},
        {"cmd":"Order","gatewayId":"g","handle":"00000000000000ab","qos":0,"billing":0,"dataGroup":3},
        {"cmd":"Progress","gatewayId":"g","handle":"00000000000000ab","node":"s-00000001","sendNo":0,"sort":1,
        "amount":0.5},
        {"cmd":"Finished","gatewayId":"g","handle":"00000000000000ab","node":"s-00000001","sendNo":0,
        "ending":"S","noMore":true,"bill":20482},
        {"cmd":"ProbeResult","gatewayId":"g","node":"s-00000001","ending":"S",
        "telemetry":{"util":0.1,"queue":0,"x0":0.1,"x1":0.1}}]}"""
                .replace("\n", "")
            + "\n";
    List<Object> simulator = new ArrayList<>();
    SimulatorAdapterProbe.serve(
        a -> new Recorder(simulator),
        new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8)),
        new ByteArrayOutputStream(),
        new PrintStream(System.err));
    assertEquals(simulator.subList(1, simulator.size()), sockets);
  }

  @Test
  void aGivenUpAttemptIsToldOnceItsQuitHasHadTimeToArrive() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      Query q = taken(c, "select 1 /* hang */");
      act(() -> actions.forward(q.id(), "s-00000001", 0));
      awaitAsk();
      long[] at = new long[1];
      act(
          () -> {
            at[0] = System.nanoTime();
            actions.cancelAttempt(q.id(), 0);
          });
      AttemptResult end = next(AttemptResult.class);
      // Without the pause a further attempt could come to another engine before the QUIT comes to
      // this one.
      assertTrue(System.nanoTime() - at[0] >= 5_000_000);
      assertEquals(AttemptOutcome.CANCELLED, end.outcome());
      act(() -> actions.reject(q.id(), 0));
      assertEquals("BUSY", c.reply().kind());
    }
  }

  @Test
  void oneEndIsToldForEachSendWhateverBecomesOfIt() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      Query q = taken(c, "select 1 /* hang */");
      act(() -> actions.forward(q.id(), "s-00000099", 0));
      assertEquals(
          AttemptOutcome.UNREACHED,
          next(AttemptResult.class).outcome(),
          "an engine that is not known");
      act(() -> actions.forward(q.id(), "s-00000001", 30_000_000));
      AttemptResult late = next(AttemptResult.class);
      assertEquals(AttemptOutcome.TIMEOUT, late.outcome());
      assertEquals(1, late.attempt());
      act(
          () -> {
            actions.fail(q.id());
            actions.forward(q.id(), "s-00000001", 0);
          });
      assertEquals("FAILED", c.reply().kind());
      Query second = taken(c, "select 1 /* err */");
      for (int i = 0; i < config.settings().limits().maxAttempts(); i++) {
        act(() -> actions.forward(second.id(), "s-00000001", 0));
        assertEquals(AttemptOutcome.ERROR, next(AttemptResult.class).outcome());
      }
      act(() -> actions.forward(second.id(), "s-00000001", 0));
      assertEquals(
          AttemptOutcome.NOT_SENT, next(AttemptResult.class).outcome(), "beyond the most attempts");
    }
  }

  @Test
  void anIdThatComesBackOnAnEngineUsesAnotherConnection() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      Query q = taken(c, "select 1 /* slow first */");
      act(() -> actions.forward(q.id(), "s-00000001", 20_000_000));
      assertEquals(AttemptOutcome.TIMEOUT, next(AttemptResult.class).outcome());
      act(() -> actions.forward(q.id(), "s-00000001", 0));
      assertEquals(AttemptOutcome.SERVED, next(AttemptResult.class).outcome());
      // The first connection's late answer is another one, and must not be taken for this one's.
      assertEquals("second\t\t\n", c.reply().body());
      assertEquals(2, node.connections());
    }
  }

  @Test
  void timersComeInTheOrderAskedAndNeverWithinTheCall() throws Exception {
    act(
        () -> {
          actions.setTimer(0, 1);
          actions.setTimer(0, 2);
          told.add("asked");
        });
    assertEquals(
        List.of("asked", "wake 1", "wake 2"),
        List.of(next(String.class), next(String.class), next(String.class)));
  }

  @Test
  void notesAreToldByTheirKind() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      Query q = taken(c, "select 1 /* allnotes */");
      act(() -> actions.forward(q.id(), "s-00000001", 0));
      List<ProgressKind> kinds = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        kinds.add(next(ProgressReport.class).kind());
      }
      assertEquals(
          List.of(
              ProgressKind.PROGRESS,
              ProgressKind.SPILL,
              ProgressKind.MEMORY_WAIT,
              ProgressKind.LOAD_WAIT,
              ProgressKind.OTHER),
          kinds);
    }
  }

  @Test
  void anEngineThatStartedAnewGetsConnectionsOfItsOwn() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      Query q = taken(c, "select 1 /* hang */");
      act(() -> actions.forward(q.id(), "s-00000001", 0));
      awaitAsk();
      changeLog.add(1, node, 0, System.currentTimeMillis());
      next(List.class);
      assertEquals(
          AttemptOutcome.RESET,
          next(AttemptResult.class).outcome(),
          "it may have run on the old process");
      act(() -> actions.forward(q.id(), "s-00000001", 20_000_000));
      assertEquals(AttemptOutcome.TIMEOUT, next(AttemptResult.class).outcome());
      assertEquals(2, node.connections());
    }
  }

  @Test
  void timeOutsAimAheadOfTheClientsDeadline() throws Exception {
    try (ThriftClient c = new ThriftClient(config.listen())) {
      // A wake-up that is late by tens of milliseconds must still leave the answer in time.
      for (String[] limit : new String[][] {{"1500", "1420"}, {"300", "270"}}) {
        node.commands.clear();
        Query q = taken(c, "select 1 /* hang */", "limit", limit[0]);
        act(() -> actions.forward(q.id(), "s-00000001", 0));
        assertEquals(AttemptOutcome.TIMEOUT, next(AttemptResult.class).outcome());
        String ask =
            node.commands.stream().filter(l -> l.startsWith("ASK")).findFirst().orElseThrow();
        long budget = Long.parseLong(ask.replaceAll(".*budget=(\\d+).*", "$1"));
        assertTrue(budget <= Long.parseLong(limit[1]), "budget " + budget);
        act(() -> actions.fail(q.id()));
        assertEquals("FAILED", c.reply().kind());
      }
    }
  }
}
