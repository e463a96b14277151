package reachloom.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.scheduler.SchedulerHarness.MILLISECOND;
import static reachloom.scheduler.SchedulerHarness.QUICK;
import static reachloom.scheduler.SchedulerHarness.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/** The total work that gateways without coordination send to an engine that is warming up. */
class SlowStartTest {
  private static final double WORK_CORE_SECONDS = 0.1; // of each query
  private static final long STEP_NANOS = 25 * MILLISECOND;
  private static final long WARM_UP_NANOS = 10 * SECOND;

  /** Runs a fleet with one warming engine; returns the times at which queries were forwarded. */
  private static List<Long> run(int gateways, boolean numbered, boolean skewed, boolean restarts) {
    List<SchedulerHarness> fleet = new ArrayList<>();
    long start = new SchedulerHarness().nowNanos;
    for (int g = 0; g < gateways; g++) {
      fleet.add(newGateway(g, gateways, numbered, start, start));
    }
    List<Long> sent = new ArrayList<>();
    for (long at = start; at < start + WARM_UP_NANOS - STEP_NANOS; at += STEP_NANOS) {
      for (int g = 0; g < gateways; g++) {
        SchedulerHarness harness = fleet.get(g);
        if (restarts
            && (at - start) / STEP_NANOS % 12
                == g % 12) { // each gateway more than three times per second
          fleet.set(g, newGateway(g, gateways, numbered, start, at));
          harness = fleet.get(g);
        }
        for (int i = 0; i < (skewed ? g == 0 ? 4 * gateways : 0 : 4); i++) {
          harness.arrive("q" + at + "-" + i, QUICK, WORK_CORE_SECONDS);
        }
        for (String action : harness.takeActions()) {
          if (action.startsWith("forward ")) {
            sent.add(at);
            String id = action.split(" ")[1];
            harness.end(id, 0, "a", AttemptOutcome.SERVED, 0.02, true);
          }
        }
        harness.takeActions();
        harness.advance(STEP_NANOS);
        for (String action : harness.takeActions()) {
          if (action.startsWith("forward ")) {
            sent.add(at + STEP_NANOS);
          }
        }
      }
    }
    return sent;
  }

  private static SchedulerHarness newGateway(
      int number, int gateways, boolean numbered, long engineStart, long now) {
    SchedulerHarness harness = new SchedulerHarness();
    harness.nowNanos = now;
    harness.gateways = gateways;
    harness.selfIndex = numbered ? number : -1;
    harness.seed = 1000 + number;
    return harness.start(SchedulerHarness.engine("a", EngineState.UP, 0, engineStart));
  }

  /**
   * Returns the largest number of queries in any window of one second, relative to n + 2 * sqrt(n)
   * + 2, where n is the budget in queries.
   */
  private static double maxBudgetShare(List<Long> sent, long start) {
    sent.sort(null);
    double worst = 0;
    for (int i = 0, first = 0; i < sent.size(); i++) {
      while (sent.get(first) < sent.get(i) - SECOND) {
        first++;
      }
      double age = (sent.get(i) - start) / (double) WARM_UP_NANOS;
      double n =
          2.5 * (0.3 + 0.7 * Math.min(1, age) * Math.min(1, age)) * 0.85 * 8 / WORK_CORE_SECONDS;
      worst = Math.max(worst, (i - first + 1) / (n + 2 * Math.sqrt(n) + 2));
    }
    return worst;
  }

  @Test
  void fleetKeepsBudgetForAnySizeTrafficAndRestarts() {
    long start = new SchedulerHarness().nowNanos;
    for (int gateways : new int[] {1, 4, 20, 30}) {
      for (boolean skewed : new boolean[] {false, true}) {
        for (boolean restarts : new boolean[] {false, true}) {
          List<Long> sent = run(gateways, true, skewed, restarts);
          double most = maxBudgetShare(sent, start);
          assertTrue(
              most <= 1,
              gateways + " gateways, skewed " + skewed + ", restarts " + restarts + ": " + most);
        }
      }
      assertTrue(
          run(gateways, true, false, false).size() > 200,
          "the engine is used while it is warming up");
    }
  }

  /**
   * A hundred gateways share ten engines; each gateway gets four queries per second, which take
   * half a second.
   */
  @Test
  void lowTrafficOfManyGatewaysUsesWarmingEngine() {
    int gateways = 100;
    List<SchedulerHarness> fleet = new ArrayList<>();
    for (int g = 0; g < gateways; g++) {
      SchedulerHarness harness = new SchedulerHarness();
      harness.gateways = gateways;
      harness.selfIndex = g;
      harness.seed = 1000 + g;
      List<EngineEndpoint> engines =
          new ArrayList<>(
              List.of(SchedulerHarness.engine("a", EngineState.UP, 0, harness.nowNanos)));
      for (char name = 'b'; name <= 'j'; name++) {
        engines.add(SchedulerHarness.up(String.valueOf(name)));
      }
      fleet.add(harness.start(engines.toArray(EngineEndpoint[]::new)));
    }
    long start = fleet.get(0).nowNanos;
    TreeMap<Long, List<String[]>> ends = new TreeMap<>();
    List<Long> sent = new ArrayList<>();
    for (long at = start; at < start + WARM_UP_NANOS - STEP_NANOS; at += STEP_NANOS) {
      for (String[] end : ends.getOrDefault(at, List.of())) {
        fleet.get(Integer.parseInt(end[0])).served(end[1], end[2], 0.5);
      }
      for (int g = 0; g < gateways; g++) {
        SchedulerHarness harness = fleet.get(g);
        if ((at - start) / STEP_NANOS % 10 == g % 10) {
          harness.arrive("q" + at, QUICK, WORK_CORE_SECONDS);
        }
        harness.advance(STEP_NANOS);
        for (String action : harness.takeActions()) {
          String[] words = action.split(" ");
          if (words[0].equals("forward")) {
            ends.computeIfAbsent(at + 20 * STEP_NANOS, t -> new ArrayList<>())
                .add(new String[] {String.valueOf(g), words[1], words[2]});
            if (words[2].equals("a")) {
              sent.add(at);
            }
          }
        }
      }
    }
    double most = maxBudgetShare(sent, start);
    assertTrue(most <= 1, "share of the budget in a window: " + most);
    assertTrue(sent.size() > 40, sent.size() + " of 4,000 went to the warming engine");
  }

  @Test
  void gatewaysWithoutNumberDrawSlotsAtRandom() {
    List<Long> sent = run(20, false, false, false);
    assertTrue(sent.size() > 200, sent.size() + " queries to the warming engine");
    double most = maxBudgetShare(sent, new SchedulerHarness().nowNanos);
    // Without numbers a slot may have two or three owners, or none.
    assertTrue(most <= 2, "share of the budget in a window: " + most);
  }

  @Test
  void attemptMayNotStartAfterItsSlot() {
    SchedulerHarness harness =
        newGateway(0, 2, true, new SchedulerHarness().nowNanos, new SchedulerHarness().nowNanos);
    String id = null;
    for (int i = 0; id == null; i++) {
      harness.arrive("q" + i, QUICK, WORK_CORE_SECONDS);
      id =
          harness.takeActions().stream()
              .filter(a -> a.startsWith("forward"))
              .map(a -> a.split(" ")[1])
              .findFirst()
              .orElse(null);
      harness.advance(id == null ? STEP_NANOS : 0);
    }
    assertTrue(harness.scheduler.mayStart(harness.nowNanos, id, 0));
    harness.nowNanos += 600 * MILLISECOND; // a slow connect
    assertFalse(harness.scheduler.mayStart(harness.nowNanos, id, 0), "its slot is over");
  }

  @Test
  void attemptThatMayNotStartIsForwardedToAnotherEngine() {
    SchedulerHarness harness = new SchedulerHarness();
    harness.start(SchedulerHarness.up("a"), SchedulerHarness.up("b"));
    harness.arrive("q", QUICK, WORK_CORE_SECONDS);
    String first = harness.takeActions().get(0).split(" ")[2];
    assertTrue(harness.scheduler.mayStart(harness.nowNanos, "q", 0));
    String other = first.equals("a") ? "b" : "a";
    harness.listEndpoints(
        SchedulerHarness.engine(first, EngineState.DRAINING, 0, 0), SchedulerHarness.up(other));
    assertFalse(harness.scheduler.mayStart(harness.nowNanos, "q", 0), "its engine is draining");
    harness.end("q", 0, first, AttemptOutcome.NOT_SENT, 0, false);
    assertEquals(List.of("forward q " + other), harness.takeActions());
    assertTrue(harness.scheduler.mayStart(harness.nowNanos, "q", 1));
    harness.scheduler.onClientGone(harness.nowNanos, "q");
    assertFalse(harness.scheduler.mayStart(harness.nowNanos, "q", 1), "its client is gone");
  }

  /**
   * Returns the actions of a gateway with a warm engine and one that is listed as new, with a start
   * time that differs from the gateway's clock by the given time.
   */
  private static List<String> actionsWithClockOffset(long offsetNanos) {
    SchedulerHarness harness = new SchedulerHarness().start(SchedulerHarness.up("w"));
    harness.scheduler.onEndpoints(
        harness.nowNanos,
        false,
        List.of(SchedulerHarness.engine("c", EngineState.UP, 0, harness.nowNanos - offsetNanos)));
    List<String> actions = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      harness.arrive("q" + i, QUICK, WORK_CORE_SECONDS);
      harness.advance(i % 10 == 0 ? STEP_NANOS : 0);
      actions.addAll(harness.takeActions());
    }
    return actions;
  }

  @Test
  void newEngineIsWarmingUpDespiteClockOffset() {
    List<String> expected = actionsWithClockOffset(0);
    long warmingUp = expected.stream().filter(a -> a.endsWith(" c")).count();
    assertTrue(
        warmingUp > 0 && warmingUp < 60, // the budget is 5 core-seconds
        warmingUp + " of 400 within a second");
    assertEquals(expected, actionsWithClockOffset(900 * SECOND), "clock ahead");
    assertEquals(expected, actionsWithClockOffset(-900 * SECOND), "clock behind");
  }
}
