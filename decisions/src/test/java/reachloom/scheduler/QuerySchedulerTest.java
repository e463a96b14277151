package reachloom.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.scheduler.SchedulerHarness.KEYED;
import static reachloom.scheduler.SchedulerHarness.LONG;
import static reachloom.scheduler.SchedulerHarness.MS;
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

/** The decisions, by scripted events and asserted actions; no bench is needed. */
class QuerySchedulerTest {

  private static long count(List<String> actions, String start) {
    return actions.stream().filter(a -> a.startsWith(start)).count();
  }

  /** Presses an engine by a busy report until its bound has sunk to the floor. */
  private static void press(SchedulerHarness b, String... engines) {
    for (int i = 0; i < 60; i++) {
      for (String e : engines) {
        b.report(e, 1);
      }
      b.pass(100 * MS);
    }
    b.actions.removeIf(a -> a.startsWith("probe"));
  }

  @Test
  void forwardsQueryThatFitsImmediately() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"));
    b.arrive("q", QUICK, 0.1);
    assertEquals(List.of("send q a"), b.take());
  }

  @Test
  void usesEngineWithoutAnswersBesideOthers() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"), up("b"));
    Map<String, Integer> asked = new TreeMap<>();
    for (int i = 0; i < 1_000; i++) {
      b.arrive("q" + i, QUICK, 0);
      String engine = b.take().get(0).split(" ")[2];
      asked.merge(engine, 1, Integer::sum);
      b.served("q" + i, engine, i == 0 ? 0.1 : 0.0004); // the first one waits for a connection
      b.pass(5 * MS);
      b.take();
    }
    assertEquals(Set.of("a", "b"), asked.keySet(), asked.toString());
  }

  @Test
  void rejectsQueryThatCannotMeetItsDeadline() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 20; i++) { // a class's factor starts at its aim over its usual cost
      b.arrive("usual" + i, LONG, 1);
    }
    b.take();
    b.arrive("huge", LONG, 100);
    assertEquals(List.of("refuse huge 1s"), b.take());
  }

  @Test
  void enforcesLimitOnlyUnderPressure() {
    SchedulerHarness calm = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 100; i++) {
      calm.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(100, count(calm.take(), "send"));

    SchedulerHarness busy = new SchedulerHarness();
    busy.reports = true;
    busy.start(up("a"));
    press(busy, "a");
    for (int i = 0; i < 100; i++) {
      busy.arrive("q" + i, LONG, 1);
    }
    long sent = count(busy.take(), "send");
    assertTrue(sent > 0 && sent < 20, "sent " + sent);
  }

  @Test
  void queuesBrieflyThenRejects() {
    SchedulerHarness b = new SchedulerHarness();
    b.reports = true;
    b.start(up("a"));
    press(b, "a");
    b.actions.clear();
    while (count(b.actions, "send") == b.actions.size()) {
      int before = b.actions.size();
      b.arrive("q" + before, LONG, 1);
      if (b.actions.size() == before) {
        break; // held
      }
    }
    b.take();
    for (int i = 0; i < 25; i++) {
      b.report("a", 1);
      b.pass(100 * MS);
    }
    assertEquals(1, count(b.take(), "refuse"), "one held query, refused after a tenth of its time");
  }

  @Test
  void releasesOldestQueryFirst() {
    SchedulerHarness b = new SchedulerHarness();
    b.reports = true;
    b.start(up("a"));
    press(b, "a");
    int sent = 0;
    while (true) {
      b.arrive("q" + sent, LONG, 1);
      if (count(b.actions, "send q" + sent + " ") == 0) {
        break;
      }
      sent++;
    }
    b.arrive("next", LONG, 1);
    b.take();
    for (int i = 0; i < sent; i++) {
      b.served("q" + i, "a", 1);
    }
    List<String> released = b.take();
    assertEquals("send q" + sent + " a", released.get(0));
    assertTrue(released.indexOf("send next a") > 0, released.toString());
  }

  @Test
  void forwardsNothingToDrainingOrRemovedEngines() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"), up("b"));
    b.list(engine("a", EngineState.DRAINING, 0, 0), up("b"));
    for (int i = 0; i < 20; i++) {
      b.arrive("d" + i, QUICK, 0.1);
    }
    assertEquals(20, count(b.take(), "send d") - b.actions.size());
    b.list(up("a"));
    b.arrive("q", QUICK, 0.1);
    assertEquals(List.of("send q a"), b.take());
  }

  @Test
  void rejectsQueryWhenAllAllowedEnginesAreRemoved() {
    SchedulerHarness b = new SchedulerHarness();
    b.longKinds = List.of(1);
    b.start(up("a"), engine("b", EngineState.UP, 1, 0));
    b.arrive("q", LONG, 1);
    assertEquals(List.of("send q b"), b.take());
    b.list(up("a"));
    b.arrive("r", LONG, 1);
    b.pass(3 * SECOND);
    assertEquals(List.of("refuse r 1s"), b.take());
  }

  @Test
  void preservesKeyOrder() {
    SchedulerHarness b = new SchedulerHarness();
    b.ordered = true;
    b.orderSettle = 500 * MS;
    b.start(up("a"), up("b"));
    b.arrive("first", KEYED, 0.1, 0, "k");
    b.arrive("second", KEYED, 0.1, 0, "k");
    b.arrive("other", KEYED, 0.1, 0, "x");
    List<String> sent = b.take();
    assertEquals(1, count(sent, "send first"));
    assertEquals(0, count(sent, "send second"));
    assertEquals(1, count(sent, "send other"), "one blocked key holds up nobody else");
    String on = sent.get(0).substring("send first ".length());
    b.end("first", 0, on, AttemptOutcome.TIMEOUT, 1, true);
    b.pass(400 * MS);
    assertEquals(0, count(b.take(), "send second"), "the key rests after a time-out");
    b.pass(200 * MS);
    assertEquals(1, count(b.take(), "send second"));
  }

  @Test
  void retriesKeyedQueryOnlyWithinIdempotencyWindow() {
    SchedulerHarness b = new SchedulerHarness();
    b.start(up("a"), up("b"));
    b.arrive("early", KEYED, 0.1);
    b.arrive("late", KEYED, 0.1);
    List<String> sent = b.take();
    b.end("early", 0, sent.get(0).substring(11), AttemptOutcome.ERROR, 0, false);
    assertEquals(1, count(b.take(), "send early"));
    b.pass(15 * SECOND);
    b.take();
    b.end("late", 0, sent.get(1).substring(10), AttemptOutcome.ERROR, 15, false);
    assertEquals(List.of("refuse late 1s"), b.take());
  }

  @Test
  void retryMayNotStartAfterIdempotencyWindow() {
    SchedulerHarness b = new SchedulerHarness();
    b.start(pool(3, 0));
    b.arrive("q", SchedulerHarness.KEYED, 0.1, 0, "k");
    String first = b.take().get(0).split(" ")[2];
    b.end("q", 0, first, AttemptOutcome.RESET, 0.1, false);
    assertEquals(1, count(b.take(), "send q"));
    assertTrue(b.choice.mayStart(b.now, "q", 1));
    assertFalse(
        b.choice.mayStart(b.now + b.keyWindow, "q", 1), "the engines no longer know its key");
  }

  @Test
  void failsNonIdempotentQueryThatMayHaveRun() {
    SchedulerHarness b = new SchedulerHarness();
    b.longEffect = Idempotency.NOT_IDEMPOTENT;
    b.start(up("a"), up("b"));
    b.arrive("q", LONG, 1);
    b.take();
    b.end("q", 0, "a", AttemptOutcome.RESET, 0.1, false);
    assertEquals(List.of("fail q"), b.take());
    b.arrive("r", LONG, 1);
    b.take();
    b.end("r", 0, "a", AttemptOutcome.UNREACHED, 0.1, false);
    assertEquals(1, count(b.take(), "send r"), "an attempt that never ran leaves all open");
  }

  @Test
  void failsQueryWhenOnlyACellDetectsDuplicates() {
    SchedulerHarness b = new SchedulerHarness();
    b.scope = DeduplicationScope.CELL;
    b.start(up("a"), up("b"));
    b.arrive("q", KEYED, 1);
    String on = b.take().get(0).substring("send q ".length());
    b.list(up(on.equals("a") ? "b" : "a"));
    b.end("q", 0, on, AttemptOutcome.RESET, 0.1, false);
    assertEquals(List.of("fail q"), b.take());
  }

  @Test
  void sendsOneFinalAnswerAfterTimeoutAtDeadline() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"));
    b.arrive("q", QUICK, 0.1);
    b.take();
    b.pass(5 * SECOND);
    b.end("q", 0, "a", AttemptOutcome.TIMEOUT, 5, false);
    assertEquals(1, b.take().size());
    b.end("q", 0, "a", AttemptOutcome.TIMEOUT, 5, false);
    assertEquals(List.of(), b.take(), "one final answer only");
  }

  @Test
  void enforcesRetryBudget() {
    SchedulerHarness b = new SchedulerHarness();
    b.lookBack = 10 * SECOND;
    b.extraFree = 1;
    b.start(up("a"), up("b"));
    b.arrive("q", QUICK, 0.1);
    b.arrive("r", QUICK, 0.1);
    b.take();
    b.end("q", 0, "a", AttemptOutcome.FULL, 0, false);
    assertEquals(1, count(b.take(), "send q"));
    b.end("r", 0, "a", AttemptOutcome.FULL, 0, false);
    assertEquals(List.of("refuse r 1s"), b.take(), "the budget of one is spent");
  }

  @Test
  void keepsBudgetOfWarmingEngine() {
    SchedulerHarness b = new SchedulerHarness();
    b.start();
    b.list(engine("a", EngineState.UP, 0, b.now - SECOND));
    for (int i = 0; i < 200; i++) {
      b.arrive("q" + i, QUICK, 0.1);
    }
    // At most 2.5 x 0.3 of eight cores for one second may be sent: 6 seconds of work.
    long sent = count(b.take(), "send");
    assertTrue(sent > 0 && sent * 0.1 < 6, "sent " + sent);
    b.pass(10 * SECOND);
    b.take();
    for (int i = 200; i < 400; i++) {
      b.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(200, count(b.take(), "send"), "warm by now");
  }

  @Test
  void fastErrorsDoNotAttractQueries() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"), up("b"), up("c"));
    for (int i = 0; i < 40; i++) {
      b.arrive("q" + i, QUICK, 0.1);
      String on = b.take().get(0).substring(("send q" + i + " ").length());
      b.end(
          "q" + i, 0, on, on.equals("a") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED, 0.1, true);
    }
    for (int i = 0; i < 30; i++) {
      b.arrive("r" + i, QUICK, 0.1);
    }
    long drawn = b.take().stream().filter(a -> a.endsWith(" a")).count();
    assertTrue(drawn < 8, drawn + " of 30 to the engine of quick errors");
  }

  @Test
  void invalidQueryIsNotHeldAgainstEngines() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"), up("b"), up("c"));
    for (int i = 0; i < 20; i++) { // bad queries, each an error wherever it is tried
      b.arrive("bad" + i, QUICK, 0.1);
      for (int n = 0; n < 5; n++) {
        String sent = b.actions.get(b.actions.size() - 1);
        b.end("bad" + i, n, sent.substring(sent.length() - 1), AttemptOutcome.ERROR, 0.001, false);
      }
      assertEquals("refuse bad" + i + " 1s", b.actions.get(b.actions.size() - 1));
    }
    b.take();
    for (int i = 0; i < 60; i++) {
      b.arrive("q" + i, QUICK, 0.1);
    }
    for (String e : List.of("a", "b", "c")) {
      long sent = b.actions.stream().filter(l -> l.endsWith(" " + e)).count();
      assertTrue(sent > 10, e + " " + sent);
    }
  }

  @Test
  void ejectsEngineWhoseFailedQueriesOthersServe() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"));
    List<String> ids = IntStream.range(0, 3).mapToObj(i -> "q" + i).toList();
    ids.forEach(id -> b.arrive(id, QUICK, 0.1));
    b.list(up("a"), up("b"));
    ids.forEach(id -> b.end(id, 0, "a", AttemptOutcome.ERROR, 0.001, false));
    for (String id : ids) {
      assertTrue(b.actions.contains("send " + id + " b"), "sent on to the other engine");
      b.end(id, 1, "b", AttemptOutcome.SERVED, 0.1, true);
    }
    b.take();
    for (int i = 10; i < 40; i++) {
      b.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(0, b.actions.stream().filter(l -> l.endsWith(" a")).count(), b.actions.toString());
  }

  @Test
  void resetsOfOneConnectionCountOnce() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 10; i++) {
      b.arrive("q" + i, QUICK, 0.1);
    }
    b.list(up("a"), up("b"));
    b.take();
    for (int i = 0; i < 10; i++) {
      b.end("q" + i, 0, "a", AttemptOutcome.RESET, 0.1, false);
    }
    for (int i = 10; i < 60; i++) {
      b.arrive("q" + i, QUICK, 0.1);
    }
    assertTrue(b.actions.stream().anyMatch(l -> l.endsWith(" a")), "it does not rest");
  }

  @Test
  void retriesAttemptThatItsEngineLost() {
    SchedulerHarness b = new SchedulerHarness();
    b.notePeriod = 500 * MS;
    b.start(up("a"), up("b"));
    b.arrive("lost", LONG, 1);
    String on = b.take().get(0).substring("send lost ".length());
    b.pass(100 * MS);
    // Another query on the same engine goes on telling notes.
    int other = 0;
    do {
      b.arrive("o" + other++, LONG, 1);
    } while (!b.actions.get(b.actions.size() - 1).endsWith(" " + on));
    b.take();
    for (int i = 0; i < 3; i++) {
      b.pass(350 * MS);
      b.note("o" + (other - 1), on, 0.1);
    }
    b.pass(50 * MS);
    assertEquals(1, count(b.actions, "cancel lost 0"), b.actions.toString());
    assertEquals(0, count(b.take(), "cancel o" + (other - 1)));
    b.end("lost", 0, on, AttemptOutcome.CANCELLED, 1, false);
    assertEquals(List.of("send lost " + (on.equals("a") ? "b" : "a")), b.take());
  }

  @Test
  void ejectsUnresponsiveEngine() {
    SchedulerHarness b = new SchedulerHarness();
    b.notePeriod = 500 * MS;
    b.start(up("a"), up("b"));
    b.arrive("q", LONG, 1);
    String silent = b.take().get(0).substring("send q ".length());
    b.pass(2100 * MS);
    assertEquals(List.of("cancel q 0"), b.take());
    for (int i = 0; i < 20; i++) {
      b.arrive("r" + i, QUICK, 0.1);
    }
    assertFalse(b.take().stream().anyMatch(a -> a.endsWith(" " + silent)));
  }

  @Test
  void abandonsAttemptsOfRestartedEngine() {
    SchedulerHarness b = new SchedulerHarness();
    b.notePeriod = 500 * MS;
    b.start(up("a"));
    b.arrive("q", LONG, 1);
    b.take();
    b.list(engine("a", EngineState.UP, 0, b.now));
    assertEquals(List.of("cancel q 0"), b.take());
  }

  @Test
  void migratesBadPlanButNotSlowQuery() {
    SchedulerHarness b = new SchedulerHarness();
    b.notePeriod = 500 * MS;
    b.start(up("a"), up("b"));
    for (int i = 0; i < 30; i++) { // learn that the class takes its cost
      b.arrive("l" + i, LONG, 1);
      b.served("l" + i, b.take().get(0).substring(("send l" + i + " ").length()), 1);
    }
    b.arrive("bad", LONG, 1);
    String on = b.take().get(0).substring("send bad ".length());
    b.pass(SECOND);
    b.note("bad", on, 0.3);
    assertEquals(0, count(b.take(), "cancel"), "three times the usual is no bad plan");
    b.pass(300 * MS);
    b.note("bad", on, 0.1);
    assertEquals(List.of("cancel bad 0"), b.take());
  }

  @Test
  void stallOfGatewayRejectsNoQueuedQueries() {
    SchedulerHarness b = new SchedulerHarness();
    b.reports = true;
    b.start(up("a"));
    press(b, "a");
    int sent = 0;
    do {
      b.arrive("q" + sent++, LONG, 0.5);
    } while (count(b.actions, "send q" + (sent - 1) + " ") == 1);
    b.take();
    b.report("a", 1);
    b.stall(5 * SECOND);
    assertEquals(0, count(b.take(), "refuse"));
  }

  @Test
  void rejectsQueriesOverTenantQuotaUnderPressure() {
    SchedulerHarness b = new SchedulerHarness();
    b.reports = true;
    b.tenants = List.of(new TenantQuota(2), new TenantQuota(50));
    b.start(up("a"));
    press(b, "a");
    b.actions.clear();
    for (int i = 0; i < 40; i++) {
      b.arrive("big" + i, LONG, 1, 0, null);
    }
    assertTrue(count(b.take(), "refuse big") > 20);
    b.arrive("small", LONG, 1, 1, null);
    assertEquals(0, count(b.take(), "refuse"), "a tenant within its share is held");
  }

  @Test
  void limitsBulkLoadsPerTableGroup() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"));
    for (int i = 0; i < 6; i++) {
      b.arrive("l" + i, KEYED, 0.5);
    }
    assertEquals(2, count(b.take(), "send l"));
    b.served("l0", "a", 0.5);
    assertEquals(List.of("send l2 a"), b.take());
  }

  @Test
  void migratesQueryBlockedByBulkLoad() {
    SchedulerHarness b = new SchedulerHarness();
    b.start(up("a"), up("b"));
    b.arrive("q", LONG, 0.5);
    String on = b.take().get(0).substring("send q ".length());
    b.choice.onProgress(b.now, new ProgressReport("q", 0, on, ProgressKind.LOAD_WAIT, 2));
    assertEquals(List.of("cancel q 0"), b.take());
    b.end("q", 0, on, AttemptOutcome.CANCELLED, 0.1, false);
    assertEquals(List.of("send q " + (on.equals("a") ? "b" : "a")), b.take());
  }

  @Test
  void memoryWaitMarksEngineFullWithoutTimeout() {
    SchedulerHarness b = new SchedulerHarness();
    b.notePeriod = 500 * MS;
    b.start(up("a"));
    for (int i = 0; i < 40; i++) {
      b.arrive("q" + i, LONG, 1);
    }
    assertEquals(40, count(b.take(), "send"));
    b.choice.onProgress(b.now, new ProgressReport("q0", 0, "a", ProgressKind.MEMORY_WAIT, 1));
    for (int round = 0; round < 3; round++) {
      b.pass(400 * MS);
      for (int i = 1; i < 40; i++) {
        b.note("q" + i, "a", 0.5);
      }
    }
    assertEquals(List.of(), b.take(), "q0 stands in the engine's line and is not lost");
    b.arrive("next", LONG, 1);
    assertEquals(0, count(b.take(), "send"), "held");
  }

  @Test
  void memoryLimitsConcurrency() {
    SchedulerHarness b = new SchedulerHarness();
    b.memoryMb = 1000;
    b.start(up("a"));
    for (int i = 0; i < 20; i++) {
      b.arrive("l" + i, LONG, 2);
    }
    assertEquals(9, count(b.take(), "send"), "950 of 1000 MB are planned, 100 each");
  }

  @Test
  void busyReportLimitsRestartedGatewayImmediately() {
    SchedulerHarness b = new SchedulerHarness();
    b.reports = true;
    b.start(up("a"));
    b.arrive("first", LONG, 1);
    b.pass(25 * MS);
    assertEquals(List.of("send first a", "probe a"), b.take());
    b.report("a", 1);
    b.pass(25 * MS);
    for (int i = 0; i < 40; i++) {
      b.arrive("q" + i, LONG, 1);
    }
    assertEquals(7, count(b.take(), "send"), "sixteen threads, two a core");
  }

  private static EngineEndpoint[] pool(int size, long since) {
    return IntStream.range(0, size)
        .mapToObj(i -> engine("e" + i, EngineState.UP, 0, since))
        .toArray(EngineEndpoint[]::new);
  }

  @Test
  void poolLimitBindsWhereEngineLimitsDoNot() {
    for (int gateways : new int[] {1, 3, 300}) {
      SchedulerHarness b = new SchedulerHarness();
      b.gateways = gateways;
      b.start(pool(30, 0));
      for (int i = 0; i < 20; i++) {
        b.arrive("f" + i, QUICK, 0.1);
        b.end("f" + i, 0, b.take().get(0).split(" ")[2], AttemptOutcome.FULL, 0, true);
      }
      b.pass(600 * MS);
      b.take();
      for (int i = 0; i < 10; i++) {
        b.arrive("q" + i, LONG, 1);
      }
      assertEquals(gateways == 300 ? 1 : 10, count(b.take(), "send"), gateways + " gateways");
    }
  }

  @Test
  void checksTwoEnginesAndUsesTheOneThatAnswers() {
    SchedulerHarness b = new SchedulerHarness();
    b.gateways = 300;
    b.reports = true;
    b.start(pool(30, 0));
    b.pass(2 * SECOND);
    assertEquals(List.of(), b.take(), "no traffic, no probes");
    b.arrive("q", LONG, 1);
    List<String> probes = b.take();
    assertEquals(2, count(probes, "probe"));
    assertEquals(2, probes.size(), "held until the reports are in");
    b.report(probes.get(1).substring("probe ".length()), 0.5);
    assertEquals(List.of(), b.take());
    b.pass(50 * MS);
    assertEquals(List.of("send q " + probes.get(1).substring("probe ".length())), b.take());
  }

  private static SchedulerHarness fleetWithProbesAt(double price) {
    SchedulerHarness b = new SchedulerHarness();
    b.gateways = 100;
    b.reports = true;
    b.probePrice = price;
    return b.start(pool(30, 0));
  }

  @Test
  void checksOnlyForQueriesWorthThePrice() {
    for (double price : new double[] {0.01, 0.08}) {
      SchedulerHarness b = fleetWithProbesAt(price);
      int[] probes = new int[2];
      for (int i = 0; i < 40; i++) {
        b.pass(SECOND); // too few queries for a clock
        b.take();
        boolean dear = i % 10 == 9; // worth 8 beside nine of 1: 1.7 on average
        b.arrive("q" + i, dear ? LONG : QUICK, 0.1);
        List<String> taken = new ArrayList<>(b.take());
        probes[dear ? 1 : 0] += count(taken, "probe");
        taken.stream()
            .filter(a -> a.startsWith("probe"))
            .forEach(a -> b.report(a.split(" ")[1], 0.95));
        b.pass(50 * MS);
        List<String> more = b.take(); // an engine whose probe is out is not probed again
        more.stream()
            .filter(a -> a.startsWith("probe"))
            .forEach(a -> b.report(a.split(" ")[1], 0.95));
        taken.addAll(more);
        taken.addAll(b.take());
        taken.stream()
            .filter(a -> a.startsWith("send"))
            .map(a -> a.split(" "))
            .forEach(
                a ->
                    b.end(
                        a[1],
                        0,
                        a[2],
                        AttemptOutcome.FULL,
                        0,
                        true)); // signs of pressure: the pool is not calm
      }
      assertTrue(probes[1] >= 8, probes[1] + " probes for four queries of much worth at " + price);
      assertTrue(
          price < 0.05 ? probes[0] > 60 : probes[0] == 0,
          probes[0] + " probes for 36 queries of little worth at " + price);
    }
  }

  @Test
  void periodicChecksRunOnlyIfQueriesPayForThem() {
    for (double price : new double[] {0.01, 0.08}) {
      SchedulerHarness b = fleetWithProbesAt(price);
      int probes = 0;
      for (int i = 0; i < 400; i++) {
        b.arrive("q" + i, QUICK, 0.1);
        b.pass(100 * MS);
        List<String> taken = b.take();
        probes += count(taken, "probe");
        taken.stream()
            .filter(a -> a.startsWith("probe"))
            .forEach(a -> b.report(a.split(" ")[1], 0.95));
        taken.stream()
            .filter(a -> a.startsWith("send"))
            .map(a -> a.split(" "))
            .forEach(a -> b.end(a[1], 0, a[2], AttemptOutcome.FULL, 0, true));
      }
      // Ten queries a second pay for a clock at the one price, and not at the other.
      assertTrue(
          price < 0.05 ? probes > 2_000 : probes < 400, probes + " probes in 40 s at " + price);
    }
  }

  @Test
  void skipsChecksForQueryNearItsDeadline() {
    SchedulerHarness b = new SchedulerHarness();
    b.gateways = 300;
    b.reports = true;
    b.start(pool(30, 0));
    b.arrive("usual", QUICK, 0.1);
    b.pass(50 * MS);
    b.take();
    b.choice.onQuery(b.now, new Query("late", QUICK, 0, null, 45 * MS, MS, 100, 3, true));
    assertEquals(
        1,
        count(b.take(), "send late "),
        "a reply may come after its deadline, so it goes at once");
  }

  @Test
  void checksTwoOtherEnginesWhenBothAreFull() {
    SchedulerHarness b = new SchedulerHarness();
    b.gateways = 300;
    b.reports = true;
    b.start(up("a"));
    for (int i = 0; i < 5; i++) {
      b.arrive("p" + i, QUICK, 0.1); // each pays for two probes
    }
    b.list(pool(30, 0));
    b.take();
    b.arrive("q", LONG, 1);
    List<String> probes = b.take();
    probes.forEach(p -> b.report(p.substring("probe ".length()), 1));
    List<String> others = b.take();
    assertEquals(2, count(others, "probe"), others.toString());
    assertTrue(others.stream().noneMatch(probes::contains));
  }

  @Test
  void gatewaysShareBudgetOfWarmingEngine() {
    double budget = 2.5 * 0.3 * 0.85 * 8;
    for (int gateways : new int[] {1, 3, 300}) {
      double work = 0;
      for (int g = 0; g < gateways; g++) {
        SchedulerHarness b = new SchedulerHarness();
        b.gateways = gateways;
        b.seed = g;
        b.self = g;
        b.start(pool(1, b.now));
        for (int i = 0; i < 40; i++) {
          b.arrive("q" + i, QUICK, 0.1);
          b.pass(25 * MS);
        }
        work += count(b.take(), "send") * 0.1;
      }
      assertTrue(work > 0.2 * budget && work < budget, gateways + " gateways sent " + work);
    }
  }

  @Test
  void allowsSmallBurstWithinTenantQuota() {
    SchedulerHarness b = new SchedulerHarness();
    b.gateways = 300;
    b.tenants = List.of(new TenantQuota(60));
    b.start();
    for (int i = 0; i < 6; i++) {
      b.arrive("q" + i, QUICK, 0.1);
    }
    assertEquals(
        List.of("refuse q5 5s"), b.take(), "the sixth is beyond the share, the others are held");
  }

  @Test
  void timeoutsStartOverAfterStall() {
    SchedulerHarness b = new SchedulerHarness();
    b.notePeriod = 500 * MS;
    b.start(up("a"), up("b"));
    b.arrive("q", LONG, 1);
    b.take();
    b.stall(2 * SECOND);
    b.pass(SECOND);
    assertEquals(List.of(), b.take(), "notes may still be in the pile-up");
    b.pass(500 * MS);
    assertEquals(List.of("cancel q 0"), b.take(), "silent for 2.5 periods since the stall");
  }

  @Test
  void avoidsFullEngineForAWhile() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"), up("b"));
    b.arrive("q", QUICK, 0.1);
    String full = b.take().get(0).substring("send q ".length());
    b.end("q", 0, full, AttemptOutcome.FULL, 0, false);
    for (int i = 0; i < 10; i++) {
      b.arrive("r" + i, QUICK, 0.1);
    }
    assertFalse(b.take().stream().anyMatch(x -> x.endsWith(" " + full)));
  }

  @Test
  void peerReportsMakeEngineLastChoiceWithoutEjectingIt() {
    SchedulerHarness b =
        new SchedulerHarness().start(SchedulerHarness.up("a"), SchedulerHarness.up("b"));
    b.choice.onPeerReport(b.now, "a", 0.9);
    for (int i = 0; i < 3; i++) {
      b.arrive("q" + i, SchedulerHarness.QUICK, 0.2);
    }
    assertEquals(List.of("send q0 b", "send q1 b", "send q2 b"), b.take());
    b.list(SchedulerHarness.up("a"), SchedulerHarness.engine("b", EngineState.DRAINING, 0, 0));
    b.arrive("alone", SchedulerHarness.QUICK, 0.2);
    assertEquals(List.of("send alone a"), b.take(), "the last one left is used all the same");
    b.arrive("second", SchedulerHarness.QUICK, 0.2);
    assertEquals(List.of(), b.take(), "one at a time");
    b.served("alone", "a", 0.2);
    assertEquals(List.of("send second a"), b.take());
    b.choice.onPeerReport(b.now, "a", 0);
    b.arrive("third", SchedulerHarness.QUICK, 0.2);
    assertEquals(List.of("send third a"), b.take());
    b.choice.onPeerReport(b.now, "nobody", 1);
  }

  @Test
  void checksEngineThatPeersSuspect() {
    SchedulerHarness b = new SchedulerHarness();
    b.reports = true;
    b.start(SchedulerHarness.up("a"), SchedulerHarness.up("b"));
    b.arrive("q", SchedulerHarness.QUICK, 0.2); // a probe costs, and is paid for by queries
    b.take();
    b.choice.onPeerReport(b.now, "a", 0.4);
    assertEquals(List.of(), b.take());
    b.choice.onPeerReport(b.now, "a", 0.6);
    assertEquals(List.of("probe a"), b.take());
  }

  @Test
  void sameEventsLeadToSameActions() {
    List<String> first = script();
    assertEquals(first, script());
    assertTrue(first.size() > 50);
  }

  private static List<String> script() {
    SchedulerHarness b = new SchedulerHarness().start(up("a"), up("b"), up("c"));
    for (int i = 0; i < 120; i++) {
      b.arrive("q" + i, i % 3, 0.2 + i % 5);
      b.pass(30 * MS);
    }
    return b.take();
  }

  @Test
  void busyGatewayIsNotLimitedToEqualShare() {
    // 50 gateways by the settings, ten engines that report 3% of their memory in use; of that this
    // one
    // has a fiftieth or, the second time, a tenth.
    int[] sent = new int[2];
    for (int hot = 0; hot < 2; hot++) {
      SchedulerHarness b = new SchedulerHarness();
      b.reports = true;
      b.gateways = 50;
      b.memoryMb = 80_000; // enough that it binds nobody
      String[] names = IntStream.range(0, 10).mapToObj(i -> "e" + i).toArray(String[]::new);
      b.start(IntStream.range(0, 10).mapToObj(i -> up("e" + i)).toArray(EngineEndpoint[]::new));
      for (int k = 0; k < (hot == 0 ? 5 : 25); k++) {
        b.arrive("own" + k, LONG, 5);
      }
      b.pass(100 * MS);
      List<String> own = b.take().stream().filter(a -> a.startsWith("send")).toList();
      for (int i = 0; i < 100; i++) { // from its half on all are busy
        b.choice.onHealthCheck(
            b.now, names[i % 10], true, new LoadReport(i < 50 ? 0.5 : 1, 0, 0.03, 0));
        b.pass(100 * MS);
      }
      b.pass(2 * SECOND); // no engine is known to be busy any more, but the pool is pressed
      own.stream().map(a -> a.split(" ")).forEach(a -> b.served(a[1], a[2], 5));
      b.take();
      for (int i = 0; i < 100; i++) {
        b.arrive("late" + i, LONG, 0.6);
      }
      b.pass(50 * MS);
      sent[hot] = (int) count(b.take(), "send late");
    }
    assertTrue(sent[0] > 0 && sent[1] >= 3 * sent[0], sent[0] + " and " + sent[1]);
  }

  @Test
  void gatewayUsesSubsetOfEngines() {
    SchedulerHarness b = new SchedulerHarness();
    b.gateways = 100;
    b.start(IntStream.range(0, 60).mapToObj(i -> up("e" + i)).toArray(EngineEndpoint[]::new));
    List<String> met = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      b.arrive("q" + i, QUICK, 0.05);
      String engine = b.take().get(0).split(" ")[2];
      met.add(engine);
      b.served("q" + i, engine, 0.05);
      b.pass(25 * MS);
    }
    long kept = met.stream().distinct().count();
    assertTrue(
        kept <= 8 && kept >= 4, "kept to " + kept); // of equals those that have served go first
    // With more out than those bear alone it goes on to others, and where they are gone, too.
    for (int i = 0; i < 200; i++) {
      b.arrive("w" + i, LONG, 1);
    }
    long wide = b.take().stream().map(a -> a.split(" ")[2]).distinct().count();
    assertTrue(wide > 40, "went on to " + wide);
  }
}
