package reachloom.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.scheduler.SchedulerHarness.KEYED;
import static reachloom.scheduler.SchedulerHarness.LONG;
import static reachloom.scheduler.SchedulerHarness.MILLISECOND;
import static reachloom.scheduler.SchedulerHarness.QUICK;
import static reachloom.scheduler.SchedulerHarness.SECOND;
import static reachloom.scheduler.SchedulerHarness.engine;
import static reachloom.scheduler.SchedulerHarness.up;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.DeduplicationScope;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.TenantQuota;

/** Decisions of the scheduler: scripted events, and the actions that they must lead to. */
class QuerySchedulerTest {

  private static long count(List<String> actions, String start) {
    return actions.stream().filter(a -> a.startsWith(start)).count();
  }

  /** Reports engines as busy until their limits have decreased to the minimum. */
  private static void putUnderPressure(SchedulerHarness harness, String... engines) {
    for (int i = 0; i < 60; i++) {
      for (String e : engines) {
        harness.report(e, 1);
      }
      harness.advance(100 * MILLISECOND);
    }
    harness.actions.removeIf(a -> a.startsWith("check"));
  }

  @Test
  void forwardsQueryThatFitsImmediately() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"));
    harness.arrive("q", QUICK, 0.1);
    assertEquals(List.of("forward q a"), harness.takeActions());
  }

  @Test
  void usesEngineWithoutAnswersBesideOthers() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"), up("b"));
    Map<String, Integer> forwarded = new TreeMap<>();
    for (int i = 0; i < 1_000; i++) {
      harness.arrive("q" + i, QUICK, 0);
      String engine = harness.takeActions().get(0).split(" ")[2];
      forwarded.merge(engine, 1, Integer::sum);
      harness.served(
          "q" + i, engine, i == 0 ? 0.1 : 0.0004); // the first query waits for a connection
      harness.advance(5 * MILLISECOND);
      harness.takeActions();
    }
    assertEquals(Set.of("a", "b"), forwarded.keySet(), forwarded.toString());
  }

  @Test
  void rejectsQueryThatCannotMeetItsDeadline() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 20; i++) { // initially service time is the latency objective
      harness.arrive("usual" + i, LONG, 1);
    }
    harness.takeActions();
    harness.arrive("huge", LONG, 100);
    assertEquals(List.of("reject huge 1s"), harness.takeActions());
  }

  @Test
  void enforcesLimitOnlyUnderPressure() {
    SchedulerHarness calm = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 100; i++) {
      calm.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(100, count(calm.takeActions(), "forward"));

    SchedulerHarness busy = new SchedulerHarness();
    busy.loadReports = true;
    busy.start(up("a"));
    putUnderPressure(busy, "a");
    for (int i = 0; i < 100; i++) {
      busy.arrive("q" + i, LONG, 1);
    }
    long sent = count(busy.takeActions(), "forward");
    assertTrue(sent > 0 && sent < 20, "sent " + sent);
  }

  @Test
  void queuesBrieflyThenRejects() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.loadReports = true;
    harness.start(up("a"));
    putUnderPressure(harness, "a");
    harness.actions.clear();
    while (count(harness.actions, "forward") == harness.actions.size()) {
      int before = harness.actions.size();
      harness.arrive("q" + before, LONG, 1);
      if (harness.actions.size() == before) {
        break; // queued
      }
    }
    harness.takeActions();
    for (int i = 0; i < 25; i++) {
      harness.report("a", 1);
      harness.advance(100 * MILLISECOND);
    }
    assertEquals(
        1,
        count(harness.takeActions(), "reject"),
        "one queued query, rejected after a tenth of its remaining time");
  }

  @Test
  void releasesOldestQueryFirst() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.loadReports = true;
    harness.start(up("a"));
    putUnderPressure(harness, "a");
    int sent = 0;
    while (true) {
      harness.arrive("q" + sent, LONG, 1);
      if (count(harness.actions, "forward q" + sent + " ") == 0) {
        break;
      }
      sent++;
    }
    harness.arrive("next", LONG, 1);
    harness.takeActions();
    for (int i = 0; i < sent; i++) {
      harness.served("q" + i, "a", 1);
    }
    List<String> released = harness.takeActions();
    assertEquals("forward q" + sent + " a", released.get(0));
    assertTrue(released.indexOf("forward next a") > 0, released.toString());
  }

  @Test
  void forwardsNothingToDrainingOrRemovedEngines() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"), up("b"));
    harness.listEndpoints(engine("a", EngineState.DRAINING, 0, 0), up("b"));
    for (int i = 0; i < 20; i++) {
      harness.arrive("d" + i, QUICK, 0.1);
    }
    assertEquals(20, count(harness.takeActions(), "forward d") - harness.actions.size());
    harness.listEndpoints(up("a"));
    harness.arrive("q", QUICK, 0.1);
    assertEquals(List.of("forward q a"), harness.takeActions());
  }

  @Test
  void rejectsQueryWhenAllAllowedEnginesAreRemoved() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.kindsOfLongClass = List.of(1);
    harness.start(up("a"), engine("b", EngineState.UP, 1, 0));
    harness.arrive("q", LONG, 1);
    assertEquals(List.of("forward q b"), harness.takeActions());
    harness.listEndpoints(up("a"));
    harness.arrive("r", LONG, 1);
    harness.advance(3 * SECOND);
    assertEquals(List.of("reject r 1s"), harness.takeActions());
  }

  @Test
  void preservesKeyOrder() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.ordered = true;
    harness.orderSettleNanos = 500 * MILLISECOND;
    harness.start(up("a"), up("b"));
    harness.arrive("first", KEYED, 0.1, 0, "k");
    harness.arrive("second", KEYED, 0.1, 0, "k");
    harness.arrive("other", KEYED, 0.1, 0, "x");
    List<String> sent = harness.takeActions();
    assertEquals(1, count(sent, "forward first"));
    assertEquals(0, count(sent, "forward second"));
    assertEquals(1, count(sent, "forward other"), "a blocked key does not block other keys");
    String engine = sent.get(0).substring("forward first ".length());
    harness.end("first", 0, engine, AttemptOutcome.TIMEOUT, 1, true);
    harness.advance(400 * MILLISECOND);
    assertEquals(
        0, count(harness.takeActions(), "forward second"), "the key is blocked after a timeout");
    harness.advance(200 * MILLISECOND);
    assertEquals(1, count(harness.takeActions(), "forward second"));
  }

  @Test
  void retriesKeyedQueryOnlyWithinIdempotencyWindow() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.start(up("a"), up("b"));
    harness.arrive("early", KEYED, 0.1);
    harness.arrive("late", KEYED, 0.1);
    List<String> sent = harness.takeActions();
    harness.end(
        "early",
        0,
        sent.get(0).substring("forward early ".length()),
        AttemptOutcome.ERROR,
        0,
        false);
    assertEquals(1, count(harness.takeActions(), "forward early"));
    harness.advance(15 * SECOND);
    harness.takeActions();
    harness.end(
        "late",
        0,
        sent.get(1).substring("forward late ".length()),
        AttemptOutcome.ERROR,
        15,
        false);
    assertEquals(List.of("reject late 1s"), harness.takeActions());
  }

  @Test
  void retryMayNotStartAfterIdempotencyWindow() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.start(pool(3, 0));
    harness.arrive("q", SchedulerHarness.KEYED, 0.1, 0, "k");
    String first = harness.takeActions().get(0).split(" ")[2];
    harness.end("q", 0, first, AttemptOutcome.RESET, 0.1, false);
    assertEquals(1, count(harness.takeActions(), "forward q"));
    assertTrue(harness.scheduler.mayStart(harness.nowNanos, "q", 1));
    assertFalse(
        harness.scheduler.mayStart(harness.nowNanos + harness.idempotencyWindowNanos, "q", 1),
        "the engines no longer recognize its key");
  }

  @Test
  void failsNonIdempotentQueryThatMayHaveRun() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.idempotencyOfLongClass = Idempotency.NOT_IDEMPOTENT;
    harness.start(up("a"), up("b"));
    harness.arrive("q", LONG, 1);
    harness.takeActions();
    harness.end("q", 0, "a", AttemptOutcome.RESET, 0.1, false);
    assertEquals(List.of("fail q"), harness.takeActions());
    harness.arrive("r", LONG, 1);
    harness.takeActions();
    harness.end("r", 0, "a", AttemptOutcome.UNREACHED, 0.1, false);
    assertEquals(
        1, count(harness.takeActions(), "forward r"), "an attempt that did not run may be retried");
  }

  @Test
  void failsInsteadOfRejectingWhenOnlyACellDetectsDuplicates() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.deduplicationScope = DeduplicationScope.CELL;
    harness.start(up("a"), up("b"));
    harness.arrive("q", KEYED, 1);
    String engine = harness.takeActions().get(0).substring("forward q ".length());
    harness.listEndpoints(up(engine.equals("a") ? "b" : "a"));
    harness.end("q", 0, engine, AttemptOutcome.RESET, 0.1, false);
    assertEquals(List.of("fail q"), harness.takeActions());
  }

  @Test
  void sendsOneFinalAnswerAfterTimeoutAtDeadline() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"));
    harness.arrive("q", QUICK, 0.1);
    harness.takeActions();
    harness.advance(5 * SECOND);
    harness.end("q", 0, "a", AttemptOutcome.TIMEOUT, 5, false);
    assertEquals(1, harness.takeActions().size());
    harness.end("q", 0, "a", AttemptOutcome.TIMEOUT, 5, false);
    assertEquals(List.of(), harness.takeActions(), "one final answer only");
  }

  @Test
  void enforcesRetryBudget() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.retryBudgetWindowNanos = 10 * SECOND;
    harness.retryBudgetBase = 1;
    harness.start(up("a"), up("b"));
    harness.arrive("q", QUICK, 0.1);
    harness.arrive("r", QUICK, 0.1);
    harness.takeActions();
    harness.end("q", 0, "a", AttemptOutcome.FULL, 0, false);
    assertEquals(1, count(harness.takeActions(), "forward q"));
    harness.end("r", 0, "a", AttemptOutcome.FULL, 0, false);
    assertEquals(
        List.of("reject r 1s"), harness.takeActions(), "the retry budget of one is used up");
  }

  @Test
  void keepsBudgetOfWarmingEngine() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.start();
    harness.listEndpoints(engine("a", EngineState.UP, 0, harness.nowNanos - SECOND));
    for (int i = 0; i < 200; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
    }
    // Upper bound of the budget: 2.5 * 0.3 of eight cores for one second is 6 seconds of work.
    // With the factor 0.85 for cores at capacity, and at the age of 1 s, it is 5.2 seconds.
    long sent = count(harness.takeActions(), "forward");
    assertTrue(sent > 0 && sent * 0.1 < 6, "sent " + sent);
    harness.advance(10 * SECOND);
    harness.takeActions();
    for (int i = 200; i < 400; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(200, count(harness.takeActions(), "forward"), "the engine is warm");
  }

  @Test
  void engineWithErrorsGetsFewQueries() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"), up("b"), up("c"));
    for (int i = 0; i < 40; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
      String engine = harness.takeActions().get(0).substring(("forward q" + i + " ").length());
      harness.end(
          "q" + i,
          0,
          engine,
          engine.equals("a") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
          0.1,
          true);
    }
    for (int i = 0; i < 30; i++) {
      harness.arrive("r" + i, QUICK, 0.1);
    }
    long forwarded = harness.takeActions().stream().filter(a -> a.endsWith(" a")).count();
    assertTrue(forwarded < 8, forwarded + " of 30 to the engine with errors");
  }

  @Test
  void invalidQueriesDoNotEjectEngines() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"), up("b"), up("c"));
    for (int i = 0; i < 20; i++) { // invalid queries: an error on each engine
      harness.arrive("bad" + i, QUICK, 0.1);
      for (int n = 0; n < 5; n++) {
        String sent = harness.actions.get(harness.actions.size() - 1);
        harness.end(
            "bad" + i, n, sent.substring(sent.length() - 1), AttemptOutcome.ERROR, 0.001, false);
      }
      assertEquals("reject bad" + i + " 1s", harness.actions.get(harness.actions.size() - 1));
    }
    harness.takeActions();
    for (int i = 0; i < 60; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
    }
    for (String e : List.of("a", "b", "c")) {
      long sent = harness.actions.stream().filter(l -> l.endsWith(" " + e)).count();
      assertTrue(sent > 10, sent + " queries to " + e);
    }
  }

  @Test
  void ejectsEngineWhoseFailedQueriesOthersServe() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"));
    List<String> ids = IntStream.range(0, 3).mapToObj(i -> "q" + i).toList();
    ids.forEach(id -> harness.arrive(id, QUICK, 0.1));
    harness.listEndpoints(up("a"), up("b"));
    ids.forEach(id -> harness.end(id, 0, "a", AttemptOutcome.ERROR, 0.001, false));
    for (String id : ids) {
      assertTrue(harness.actions.contains("forward " + id + " b"), "retried on the other engine");
      harness.end(id, 1, "b", AttemptOutcome.SERVED, 0.1, true);
    }
    harness.takeActions();
    for (int i = 10; i < 40; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(
        0,
        harness.actions.stream().filter(l -> l.endsWith(" a")).count(),
        harness.actions.toString());
  }

  @Test
  void resetsOfOneConnectionCountOnce() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 10; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
    }
    harness.listEndpoints(up("a"), up("b"));
    harness.takeActions();
    for (int i = 0; i < 10; i++) {
      harness.end("q" + i, 0, "a", AttemptOutcome.RESET, 0.1, false);
    }
    for (int i = 10; i < 60; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
    }
    assertTrue(
        harness.actions.stream().anyMatch(l -> l.endsWith(" a")), "the engine is not ejected");
  }

  @Test
  void retriesAttemptThatItsEngineLost() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.progressPeriodNanos = 500 * MILLISECOND;
    harness.start(up("a"), up("b"));
    harness.arrive("lost", LONG, 1);
    String engine = harness.takeActions().get(0).substring("forward lost ".length());
    harness.advance(100 * MILLISECOND);
    // Another query on the same engine continues to report progress.
    int other = 0;
    do {
      harness.arrive("o" + other++, LONG, 1);
    } while (!harness.actions.get(harness.actions.size() - 1).endsWith(" " + engine));
    harness.takeActions();
    for (int i = 0; i < 3; i++) {
      harness.advance(350 * MILLISECOND);
      harness.progress("o" + (other - 1), engine, 0.1);
    }
    harness.advance(50 * MILLISECOND);
    assertEquals(1, count(harness.actions, "cancel lost 0"), harness.actions.toString());
    assertEquals(0, count(harness.takeActions(), "cancel o" + (other - 1)));
    harness.end("lost", 0, engine, AttemptOutcome.CANCELLED, 1, false);
    assertEquals(
        List.of("forward lost " + (engine.equals("a") ? "b" : "a")), harness.takeActions());
  }

  @Test
  void ejectsUnresponsiveEngine() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.progressPeriodNanos = 500 * MILLISECOND;
    harness.start(up("a"), up("b"));
    harness.arrive("q", LONG, 1);
    String unresponsive = harness.takeActions().get(0).substring("forward q ".length());
    harness.advance(2100 * MILLISECOND);
    assertEquals(List.of("cancel q 0"), harness.takeActions());
    for (int i = 0; i < 20; i++) {
      harness.arrive("r" + i, QUICK, 0.1);
    }
    assertFalse(harness.takeActions().stream().anyMatch(a -> a.endsWith(" " + unresponsive)));
  }

  @Test
  void abandonsAttemptsOfRestartedEngine() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.progressPeriodNanos = 500 * MILLISECOND;
    harness.start(up("a"));
    harness.arrive("q", LONG, 1);
    harness.takeActions();
    harness.listEndpoints(engine("a", EngineState.UP, 0, harness.nowNanos));
    assertEquals(List.of("cancel q 0"), harness.takeActions());
  }

  @Test
  void migratesBadPlanButNotSlowQuery() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.progressPeriodNanos = 500 * MILLISECOND;
    harness.start(up("a"), up("b"));
    for (int i = 0; i < 30; i++) { // the service time of the class becomes its cost
      harness.arrive("l" + i, LONG, 1);
      harness.served(
          "l" + i, harness.takeActions().get(0).substring(("forward l" + i + " ").length()), 1);
    }
    harness.arrive("bad", LONG, 1);
    String engine = harness.takeActions().get(0).substring("forward bad ".length());
    harness.advance(SECOND);
    harness.progress("bad", engine, 0.3);
    assertEquals(
        0, count(harness.takeActions(), "cancel"), "three times the predicted time is no bad plan");
    harness.advance(300 * MILLISECOND);
    harness.progress("bad", engine, 0.1);
    assertEquals(List.of("cancel bad 0"), harness.takeActions());
  }

  @Test
  void stallOfGatewayRejectsNoQueuedQueries() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.loadReports = true;
    harness.start(up("a"));
    putUnderPressure(harness, "a");
    int sent = 0;
    do {
      harness.arrive("q" + sent++, LONG, 0.5);
    } while (count(harness.actions, "forward q" + (sent - 1) + " ") == 1);
    harness.takeActions();
    harness.report("a", 1);
    harness.stall(5 * SECOND);
    assertEquals(0, count(harness.takeActions(), "reject"));
  }

  @Test
  void rejectsQueriesOverTenantQuotaUnderPressure() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.loadReports = true;
    harness.tenants = List.of(new TenantQuota(2), new TenantQuota(50));
    harness.start(up("a"));
    putUnderPressure(harness, "a");
    harness.actions.clear();
    for (int i = 0; i < 40; i++) {
      harness.arrive("big" + i, LONG, 1, 0, null);
    }
    assertTrue(count(harness.takeActions(), "reject big") > 20);
    harness.arrive("small", LONG, 1, 1, null);
    assertEquals(
        0, count(harness.takeActions(), "reject"), "a query within its tenant's quota is queued");
  }

  @Test
  void limitsBulkLoadsPerTableGroup() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 6; i++) {
      harness.arrive("l" + i, KEYED, 0.5);
    }
    assertEquals(2, count(harness.takeActions(), "forward l"));
    harness.served("l0", "a", 0.5);
    assertEquals(List.of("forward l2 a"), harness.takeActions());
  }

  @Test
  void migratesQueryBlockedByBulkLoad() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.start(up("a"), up("b"));
    harness.arrive("q", LONG, 0.5);
    String engine = harness.takeActions().get(0).substring("forward q ".length());
    harness.scheduler.onProgress(
        harness.nowNanos, new ProgressReport("q", 0, engine, ProgressKind.LOAD_WAIT, 2));
    assertEquals(List.of("cancel q 0"), harness.takeActions());
    harness.end("q", 0, engine, AttemptOutcome.CANCELLED, 0.1, false);
    assertEquals(List.of("forward q " + (engine.equals("a") ? "b" : "a")), harness.takeActions());
  }

  @Test
  void memoryWaitMarksEngineFullWithoutTimeout() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.progressPeriodNanos = 500 * MILLISECOND;
    harness.start(up("a"));
    for (int i = 0; i < 40; i++) {
      harness.arrive("q" + i, LONG, 1);
    }
    assertEquals(40, count(harness.takeActions(), "forward"));
    harness.scheduler.onProgress(
        harness.nowNanos, new ProgressReport("q0", 0, "a", ProgressKind.MEMORY_WAIT, 1));
    for (int round = 0; round < 3; round++) {
      harness.advance(400 * MILLISECOND);
      for (int i = 1; i < 40; i++) {
        harness.progress("q" + i, "a", 0.5);
      }
    }
    assertEquals(
        List.of(), harness.takeActions(), "q0 waits for memory at the engine and is not lost");
    harness.arrive("next", LONG, 1);
    assertEquals(0, count(harness.takeActions(), "forward"), "queued");
  }

  @Test
  void memoryLimitsConcurrency() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.memoryMb = 1000;
    harness.start(up("a"));
    for (int i = 0; i < 20; i++) {
      harness.arrive("l" + i, LONG, 2);
    }
    assertEquals(
        9,
        count(harness.takeActions(), "forward"),
        "950 of 1000 MB are planned for queries of 100 MB");
  }

  @Test
  void busyReportLimitsRestartedGatewayImmediately() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.loadReports = true;
    harness.start(up("a"));
    harness.arrive("first", LONG, 1);
    harness.advance(25 * MILLISECOND);
    assertEquals(List.of("forward first a", "check a"), harness.takeActions());
    harness.report("a", 1);
    harness.advance(25 * MILLISECOND);
    for (int i = 0; i < 40; i++) {
      harness.arrive("q" + i, LONG, 1);
    }
    assertEquals(7, count(harness.takeActions(), "forward"), "sixteen threads, two per core");
  }

  private static EngineEndpoint[] pool(int size, long since) {
    return IntStream.range(0, size)
        .mapToObj(i -> engine("e" + i, EngineState.UP, 0, since))
        .toArray(EngineEndpoint[]::new);
  }

  @Test
  void enforcesPoolLimitBelowEngineLimits() {
    for (int gateways : new int[] {1, 3, 300}) {
      SchedulerHarness harness = new SchedulerHarness();
      harness.gateways = gateways;
      harness.start(pool(30, 0));
      for (int i = 0; i < 20; i++) {
        harness.arrive("f" + i, QUICK, 0.1);
        harness.end(
            "f" + i, 0, harness.takeActions().get(0).split(" ")[2], AttemptOutcome.FULL, 0, true);
      }
      harness.advance(600 * MILLISECOND);
      harness.takeActions();
      for (int i = 0; i < 10; i++) {
        harness.arrive("q" + i, LONG, 1);
      }
      assertEquals(
          gateways == 300 ? 1 : 10,
          count(harness.takeActions(), "forward"),
          gateways + " gateways");
    }
  }

  @Test
  void checksTwoEnginesAndUsesTheOneThatAnswers() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.gateways = 300;
    harness.loadReports = true;
    harness.start(pool(30, 0));
    harness.advance(2 * SECOND);
    assertEquals(List.of(), harness.takeActions(), "no health checks without traffic");
    harness.arrive("q", LONG, 1);
    List<String> checks = harness.takeActions();
    assertEquals(2, count(checks, "check"));
    assertEquals(2, checks.size(), "queued until the reports arrive");
    harness.report(checks.get(1).substring("check ".length()), 0.5);
    assertEquals(List.of(), harness.takeActions());
    harness.advance(50 * MILLISECOND);
    assertEquals(
        List.of("forward q " + checks.get(1).substring("check ".length())), harness.takeActions());
  }

  private static SchedulerHarness gatewayWithHealthCheckPrice(double price) {
    SchedulerHarness harness = new SchedulerHarness();
    harness.gateways = 100;
    harness.loadReports = true;
    harness.healthCheckPrice = price;
    return harness.start(pool(30, 0));
  }

  @Test
  void checksOnlyForQueriesWorthThePrice() {
    for (double price : new double[] {0.01, 0.08}) {
      SchedulerHarness harness = gatewayWithHealthCheckPrice(price);
      int[] checks = new int[2];
      for (int i = 0; i < 40; i++) {
        harness.advance(SECOND); // too few queries for periodic checks
        harness.takeActions();
        boolean isValuable = i % 10 == 9; // weight 8; the mean of the three classes is 7
        harness.arrive("q" + i, isValuable ? LONG : QUICK, 0.1);
        List<String> taken = new ArrayList<>(harness.takeActions());
        checks[isValuable ? 1 : 0] += count(taken, "check");
        taken.stream()
            .filter(a -> a.startsWith("check"))
            .forEach(a -> harness.report(a.split(" ")[1], 0.95));
        harness.advance(50 * MILLISECOND);
        List<String> more =
            harness.takeActions(); // an engine with a check in flight is not checked again
        more.stream()
            .filter(a -> a.startsWith("check"))
            .forEach(a -> harness.report(a.split(" ")[1], 0.95));
        taken.addAll(more);
        taken.addAll(harness.takeActions());
        taken.stream()
            .filter(a -> a.startsWith("forward"))
            .map(a -> a.split(" "))
            .forEach(
                a ->
                    harness.end(
                        a[1],
                        0,
                        a[2],
                        AttemptOutcome.FULL,
                        0,
                        true)); // a signal of pressure: the pool is not calm
      }
      assertTrue(checks[1] >= 8, checks[1] + " checks for four valuable queries at price " + price);
      assertTrue(
          price < 0.05 ? checks[0] > 60 : checks[0] == 0,
          checks[0] + " checks for 36 queries of low weight at price " + price);
    }
  }

  @Test
  void periodicChecksRunOnlyIfQueriesPayForThem() {
    for (double price : new double[] {0.01, 0.08}) {
      SchedulerHarness harness = gatewayWithHealthCheckPrice(price);
      int checks = 0;
      for (int i = 0; i < 400; i++) {
        harness.arrive("q" + i, QUICK, 0.1);
        harness.advance(100 * MILLISECOND);
        List<String> taken = harness.takeActions();
        checks += count(taken, "check");
        taken.stream()
            .filter(a -> a.startsWith("check"))
            .forEach(a -> harness.report(a.split(" ")[1], 0.95));
        taken.stream()
            .filter(a -> a.startsWith("forward"))
            .map(a -> a.split(" "))
            .forEach(a -> harness.end(a[1], 0, a[2], AttemptOutcome.FULL, 0, true));
      }
      // Ten queries per second pay for periodic checks at the low price but not at the high one.
      assertTrue(
          price < 0.05 ? checks > 2_000 : checks < 400,
          checks + " checks in 40 s at price " + price);
    }
  }

  @Test
  void skipsChecksForQueryNearItsDeadline() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.gateways = 300;
    harness.loadReports = true;
    harness.start(pool(30, 0));
    harness.arrive("usual", QUICK, 0.1);
    harness.advance(50 * MILLISECOND);
    harness.takeActions();
    harness.scheduler.onQuery(
        harness.nowNanos,
        new Query("late", QUICK, 0, null, 45 * MILLISECOND, MILLISECOND, 100, 3, true));
    assertEquals(
        1,
        count(harness.takeActions(), "forward late "),
        "the reports may arrive after its deadline, so it is forwarded immediately");
  }

  @Test
  void checksTwoOtherEnginesWhenBothAreFull() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.gateways = 300;
    harness.loadReports = true;
    harness.start(up("a"));
    for (int i = 0; i < 5; i++) { // earn credit for two checks, the maximum with one engine
      harness.arrive("p" + i, QUICK, 0.1);
    }
    harness.listEndpoints(pool(30, 0));
    harness.takeActions();
    harness.arrive("q", LONG, 1);
    List<String> checks = harness.takeActions();
    checks.forEach(check -> harness.report(check.substring("check ".length()), 1));
    List<String> others = harness.takeActions();
    assertEquals(2, count(others, "check"), others.toString());
    assertTrue(
        others.stream().noneMatch(checks::contains), "same engines checked again: " + others);
  }

  @Test
  void gatewaysShareBudgetOfWarmingEngine() {
    double budget = 2.5 * 0.3 * 0.85 * 8;
    for (int gateways : new int[] {1, 3, 300}) {
      double work = 0;
      for (int g = 0; g < gateways; g++) {
        SchedulerHarness harness = new SchedulerHarness();
        harness.gateways = gateways;
        harness.seed = g;
        harness.selfIndex = g;
        harness.start(pool(1, harness.nowNanos));
        for (int i = 0; i < 40; i++) {
          harness.arrive("q" + i, QUICK, 0.1);
          harness.advance(25 * MILLISECOND);
        }
        work += count(harness.takeActions(), "forward") * 0.1;
      }
      assertTrue(work > 0.2 * budget && work < budget, gateways + " gateways sent " + work);
    }
  }

  @Test
  void allowsSmallBurstWithinTenantQuota() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.gateways = 300;
    harness.tenants = List.of(new TenantQuota(60));
    harness.start();
    for (int i = 0; i < 6; i++) {
      harness.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(
        List.of("reject q5 5s"),
        harness.takeActions(),
        "the sixth query is over the quota, the others are queued");
  }

  @Test
  void timeoutsStartOverAfterStall() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.progressPeriodNanos = 500 * MILLISECOND;
    harness.start(up("a"), up("b"));
    harness.arrive("q", LONG, 1);
    harness.takeActions();
    harness.stall(2 * SECOND);
    harness.advance(SECOND);
    assertEquals(List.of(), harness.takeActions(), "progress reports may not have been read yet");
    harness.advance(500 * MILLISECOND);
    assertEquals(
        List.of("cancel q 0"), harness.takeActions(), "no signal for 2.5 periods since the stall");
  }

  @Test
  void avoidsFullEngineForAWhile() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"), up("b"));
    harness.arrive("q", QUICK, 0.1);
    String full = harness.takeActions().get(0).substring("forward q ".length());
    harness.end("q", 0, full, AttemptOutcome.FULL, 0, false);
    for (int i = 0; i < 10; i++) {
      harness.arrive("r" + i, QUICK, 0.1);
    }
    assertFalse(harness.takeActions().stream().anyMatch(x -> x.endsWith(" " + full)));
  }

  @Test
  void peerReportsMakeEngineLastChoiceWithoutEjectingIt() {
    SchedulerHarness harness =
        new SchedulerHarness().start(SchedulerHarness.up("a"), SchedulerHarness.up("b"));
    harness.scheduler.onPeerReport(harness.nowNanos, "a", 0.9);
    for (int i = 0; i < 3; i++) {
      harness.arrive("q" + i, SchedulerHarness.QUICK, 0.2);
    }
    assertEquals(List.of("forward q0 b", "forward q1 b", "forward q2 b"), harness.takeActions());
    harness.listEndpoints(
        SchedulerHarness.up("a"), SchedulerHarness.engine("b", EngineState.DRAINING, 0, 0));
    harness.arrive("alone", SchedulerHarness.QUICK, 0.2);
    assertEquals(
        List.of("forward alone a"), harness.takeActions(), "the only remaining engine is used");
    harness.arrive("second", SchedulerHarness.QUICK, 0.2);
    assertEquals(List.of(), harness.takeActions(), "a suspected engine gets one query at a time");
    harness.served("alone", "a", 0.2);
    assertEquals(List.of("forward second a"), harness.takeActions());
    harness.scheduler.onPeerReport(harness.nowNanos, "a", 0);
    harness.arrive("third", SchedulerHarness.QUICK, 0.2);
    assertEquals(List.of("forward third a"), harness.takeActions());
    harness.scheduler.onPeerReport(harness.nowNanos, "unknown", 1);
  }

  @Test
  void checksEngineThatPeersSuspect() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.loadReports = true;
    harness.start(SchedulerHarness.up("a"), SchedulerHarness.up("b"));
    harness.arrive("q", SchedulerHarness.QUICK, 0.2); // queries pay for checks
    harness.takeActions();
    harness.scheduler.onPeerReport(harness.nowNanos, "a", 0.4);
    assertEquals(List.of(), harness.takeActions());
    harness.scheduler.onPeerReport(harness.nowNanos, "a", 0.6);
    assertEquals(List.of("check a"), harness.takeActions());
  }

  @Test
  void sameEventsLeadToSameActions() {
    List<String> first = actionsOfScenario();
    assertEquals(first, actionsOfScenario());
    assertTrue(first.size() > 50);
  }

  private static List<String> actionsOfScenario() {
    SchedulerHarness harness = new SchedulerHarness().start(up("a"), up("b"), up("c"));
    for (int i = 0; i < 120; i++) {
      harness.arrive("q" + i, i % 3, 0.2 + i % 5);
      harness.advance(30 * MILLISECOND);
    }
    return harness.takeActions();
  }

  @Test
  void busyGatewayIsNotLimitedToEqualShare() {
    // The settings name 50 gateways, and ten engines report 3% of their memory in use. This gateway
    // uses a fiftieth of it in the first run and a tenth in the second.
    int[] sent = new int[2];
    for (int run = 0; run < 2; run++) {
      SchedulerHarness harness = new SchedulerHarness();
      harness.loadReports = true;
      harness.gateways = 50;
      harness.memoryMb = 80_000; // enough not to limit any query
      String[] names = IntStream.range(0, 10).mapToObj(i -> "e" + i).toArray(String[]::new);
      harness.start(
          IntStream.range(0, 10).mapToObj(i -> up("e" + i)).toArray(EngineEndpoint[]::new));
      for (int k = 0; k < (run == 0 ? 5 : 25); k++) {
        harness.arrive("own" + k, LONG, 5);
      }
      harness.advance(100 * MILLISECOND);
      List<String> own =
          harness.takeActions().stream().filter(a -> a.startsWith("forward")).toList();
      for (int i = 0; i < 100; i++) { // all engines are busy in the second half
        harness.scheduler.onHealthCheck(
            harness.nowNanos, names[i % 10], true, new LoadReport(i < 50 ? 0.5 : 1, 0, 0.03, 0));
        harness.advance(100 * MILLISECOND);
      }
      harness.advance(2 * SECOND); // the busy reports are outdated, but the pool is under pressure
      own.stream().map(a -> a.split(" ")).forEach(a -> harness.served(a[1], a[2], 5));
      harness.takeActions();
      for (int i = 0; i < 100; i++) {
        harness.arrive("late" + i, LONG, 0.6);
      }
      harness.advance(50 * MILLISECOND);
      sent[run] = (int) count(harness.takeActions(), "forward late");
    }
    assertTrue(
        sent[0] > 0 && sent[1] >= 3 * sent[0],
        sent[0] + " queries with an equal share, " + sent[1] + " with a tenth of the pool's use");
  }

  @Test
  void gatewayUsesSubsetOfEngines() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.gateways = 100;
    harness.start(IntStream.range(0, 60).mapToObj(i -> up("e" + i)).toArray(EngineEndpoint[]::new));
    List<String> used = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      harness.arrive("q" + i, QUICK, 0.05);
      String engine = harness.takeActions().get(0).split(" ")[2];
      used.add(engine);
      harness.served("q" + i, engine, 0.05);
      harness.advance(25 * MILLISECOND);
    }
    long usedCount = used.stream().distinct().count();
    assertTrue(usedCount <= 8 && usedCount >= 4, "used " + usedCount + " engines");
    // With more in flight than these engines can serve, the gateway uses others as well.
    for (int i = 0; i < 200; i++) {
      harness.arrive("w" + i, LONG, 1);
    }
    long usedUnderLoad =
        harness.takeActions().stream().map(a -> a.split(" ")[2]).distinct().count();
    assertTrue(usedUnderLoad > 40, "used " + usedUnderLoad + " engines");
  }
}
