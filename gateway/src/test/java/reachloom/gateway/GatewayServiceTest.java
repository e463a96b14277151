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
 * The events that the gateway on sockets reports to the scheduler: the same as the simulator
 * adapter reports, in the same units.
 */
class GatewayServiceTest extends GatewayHarness {
  /** The table group of queries on which the scheduler throws an exception. */
  private static final int FAILING_TABLE_GROUP = 666;

  private FakeEngine engine;
  private FakeChangeLog changeLog;

  /** A scheduler that records events and takes no action by itself. */
  static class RecordingScheduler implements SchedulerEvents {
    private final java.util.Collection<Object> events;

    RecordingScheduler(java.util.Collection<Object> events) {
      this.events = events;
    }

    @Override
    public void onStart(long now, long seed, SchedulerSettings settings) {
      events.add(settings);
    }

    @Override
    public void onEndpoints(long now, boolean complete, List<EngineEndpoint> entries) {
      events.add(entries);
    }

    @Override
    public void onEndpointsUnavailable(long now) {
      events.add("unavailable");
    }

    @Override
    public void onQuery(long now, Query query) {
      events.add(query);
      if (query.tableGroup() == FAILING_TABLE_GROUP) {
        throw new IllegalStateException("as scripted");
      }
    }

    @Override
    public void onStreaming(long now, String query, int attempt) {
      events.add("streaming");
    }

    @Override
    public void onProgress(long now, ProgressReport note) {
      events.add(note);
    }

    @Override
    public void onAttemptEnded(long now, AttemptResult end) {
      events.add(end);
    }

    @Override
    public void onClientGone(long now, String query) {
      events.add("clientGone " + query);
    }

    @Override
    public void onTimer(long now, long token) {
      events.add("timer " + token);
    }

    @Override
    public void onPeerReport(long now, String engine, double level) {
      events.add("peerReport " + engine + " " + level);
    }

    @Override
    public void onHealthCheck(long now, String engine, boolean answered, LoadReport report) {
      events.add(report == null ? List.of(engine, answered) : List.of(engine, answered, report));
    }
  }

  @BeforeEach
  void start() throws Exception {
    engine = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    startGateway(
        GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine),
        a -> new RecordingScheduler(events));
    nextEvent(SchedulerSettings.class);
    nextEvent(List.class);
  }

  @Test
  void schedulerExceptionAffectsOnlyItsQuery() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      int broken = client.execute("select 1 from sales_666.a", "limit", "600");
      Query first = nextEvent(Query.class);
      int other = client.execute("select 1 from sales_1.a");
      Query second = nextEvent(Query.class);
      loop.post(0, () -> actions.reject(second.id(), 0));
      ThriftMessages.Reply reply = client.reply();
      assertEquals(other, reply.seq());
      assertEquals("BUSY", reply.kind());
      reply = client.reply();
      assertEquals(broken, reply.seq());
      assertEquals("BUSY", reply.kind(), "the query was never forwarded");
      assertEquals("clientGone " + first.id(), nextEvent(String.class));
    }
  }

  @AfterEach
  void end() throws IOException {
    engine.close();
    changeLog.close();
  }

  private Query submitQuery(ThriftClient client, String statement, String... changes)
      throws Exception {
    client.execute(statement, changes);
    return nextEvent(Query.class);
  }

  private void awaitAsk() throws InterruptedException {
    while (engine.count("ASK") == 0) {
      Thread.sleep(1);
    }
  }

  @Test
  void socketsAndSimulatorReportSameEvents() throws Exception {
    List<Object> sockets = new ArrayList<>();
    try (ThriftClient client = new ThriftClient(config.listen())) {
      Query query =
          submitQuery(client, "select 1 /* note */ from sales_3.a", "txn", "00000000000000ab");
      sockets.add(
          new Query(
              query.id(),
              query.queryClass(),
              query.tenant(),
              query.key(),
              0,
              query.estimatedCostNanos(),
              query.estimatedMemoryMb(),
              query.tableGroup(),
              query.clientRetry()));
      assertTrue(
          query.remainingNanos() > 1_000_000_000 && query.remainingNanos() <= 1_500_000_000,
          "remaining time in nanoseconds: " + query.remainingNanos());
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 0));
      sockets.add(nextEvent(ProgressReport.class));
      AttemptResult ended = nextEvent(AttemptResult.class);
      sockets.add(
          new AttemptResult(
              ended.queryId(),
              ended.attempt(),
              ended.engine(),
              ended.outcome(),
              0,
              ended.queryFinished(),
              ended.costMs(),
              ended.memoryMb(),
              ended.loadReport()));
      runOnLoop(() -> actions.checkHealth("s-00000001"));
      sockets.add(nextEvent(List.class));
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
        a -> new RecordingScheduler(simulator),
        new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8)),
        new ByteArrayOutputStream(),
        new PrintStream(System.err));
    assertEquals(simulator.subList(1, simulator.size()), sockets);
  }

  @Test
  void reportsCancelledAttemptAfterDelay() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      Query query = submitQuery(client, "select 1 /* hang */");
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 0));
      awaitAsk();
      long[] at = new long[1];
      runOnLoop(
          () -> {
            at[0] = System.nanoTime();
            actions.cancelAttempt(query.id(), 0);
          });
      AttemptResult end = nextEvent(AttemptResult.class);
      // Without the delay a further attempt could reach another engine before the QUIT reaches this
      // one.
      assertTrue(
          System.nanoTime() - at[0] >= 5_000_000,
          "the outcome is reported at least 5 ms after the cancellation");
      assertEquals(AttemptOutcome.CANCELLED, end.outcome());
      runOnLoop(() -> actions.reject(query.id(), 0));
      assertEquals("BUSY", client.reply().kind());
    }
  }

  @Test
  void reportsExactlyOneOutcomePerAttempt() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      Query query = submitQuery(client, "select 1 /* hang */");
      runOnLoop(() -> actions.forward(query.id(), "s-00000099", 0));
      assertEquals(
          AttemptOutcome.UNREACHED, nextEvent(AttemptResult.class).outcome(), "an unknown engine");
      // Long enough for the engine's connection to be established on a busy machine.
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 300_000_000));
      AttemptResult late = nextEvent(AttemptResult.class);
      assertEquals(AttemptOutcome.TIMEOUT, late.outcome());
      assertEquals(1, late.attempt());
      runOnLoop(
          () -> {
            actions.fail(query.id());
            actions.forward(query.id(), "s-00000001", 0);
          });
      assertEquals("FAILED", client.reply().kind());
      Query second = submitQuery(client, "select 1 /* err */");
      for (int i = 0; i < config.settings().limits().maxAttempts(); i++) {
        runOnLoop(() -> actions.forward(second.id(), "s-00000001", 0));
        assertEquals(AttemptOutcome.ERROR, nextEvent(AttemptResult.class).outcome());
      }
      runOnLoop(() -> actions.forward(second.id(), "s-00000001", 0));
      assertEquals(
          AttemptOutcome.NOT_SENT,
          nextEvent(AttemptResult.class).outcome(),
          "beyond the limit of attempts");
    }
  }

  @Test
  void retryAtSameEngineUsesAnotherConnection() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      Query query = submitQuery(client, "select 1 /* slow first */");
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 20_000_000));
      assertEquals(AttemptOutcome.TIMEOUT, nextEvent(AttemptResult.class).outcome());
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 0));
      assertEquals(AttemptOutcome.SERVED, nextEvent(AttemptResult.class).outcome());
      // The late response on the first connection must not be taken for the one to this attempt.
      assertEquals("second\t\t\n", client.reply().body());
      assertEquals(2, engine.connections());
    }
  }

  @Test
  void timersFireInOrderAndNeverWithinTheCall() throws Exception {
    runOnLoop(
        () -> {
          actions.setTimer(0, 1);
          actions.setTimer(0, 2);
          events.add("set");
        });
    assertEquals(
        List.of("set", "timer 1", "timer 2"),
        List.of(nextEvent(String.class), nextEvent(String.class), nextEvent(String.class)));
  }

  @Test
  void reportsProgressByKind() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      Query query = submitQuery(client, "select 1 /* allnotes */");
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 0));
      List<ProgressKind> kinds = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        kinds.add(nextEvent(ProgressReport.class).kind());
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
  void restartedEngineGetsNewConnections() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      Query query = submitQuery(client, "select 1 /* hang */");
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 0));
      awaitAsk();
      changeLog.add(1, engine, 0, System.currentTimeMillis());
      nextEvent(List.class);
      assertEquals(
          AttemptOutcome.RESET,
          nextEvent(AttemptResult.class).outcome(),
          "the attempt may have run on the old process");
      runOnLoop(() -> actions.forward(query.id(), "s-00000001", 20_000_000));
      assertEquals(AttemptOutcome.TIMEOUT, nextEvent(AttemptResult.class).outcome());
      assertEquals(2, engine.connections());
    }
  }

  @Test
  void attemptsTimeOutBeforeClientDeadline() throws Exception {
    try (ThriftClient client = new ThriftClient(config.listen())) {
      // The response has to be in time even if a wake-up is late by tens of milliseconds.
      for (String[] limit : new String[][] {{"1500", "1420"}, {"300", "270"}}) {
        engine.commands.clear();
        Query query = submitQuery(client, "select 1 /* hang */", "limit", limit[0]);
        runOnLoop(() -> actions.forward(query.id(), "s-00000001", 0));
        assertEquals(AttemptOutcome.TIMEOUT, nextEvent(AttemptResult.class).outcome());
        String ask =
            engine.commands.stream().filter(l -> l.startsWith("ASK")).findFirst().orElseThrow();
        long budget = Long.parseLong(ask.replaceAll(".*budget=(\\d+).*", "$1"));
        assertTrue(budget <= Long.parseLong(limit[1]), "budget " + budget);
        runOnLoop(() -> actions.fail(query.id()));
        assertEquals("FAILED", client.reply().kind());
      }
    }
  }
}
