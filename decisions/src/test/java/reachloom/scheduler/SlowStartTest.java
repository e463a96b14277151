package reachloom.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.scheduler.SchedulerHarness.MS;
import static reachloom.scheduler.SchedulerHarness.QUICK;
import static reachloom.scheduler.SchedulerHarness.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/** What a fleet of gateways that do not talk sends to a cold engine, all together. */
class SlowStartTest {
  private static final double WORK = 0.1; // core-seconds of each query
  private static final long STEP = 25 * MS;
  private static final long COLD = 10 * SECOND;

  /** Plays a fleet before one cold engine; gives the times at which it was sent something. */
  private static List<Long> play(int gateways, int tellNumber, boolean skewed, boolean restarts) {
    List<SchedulerHarness> fleet = new ArrayList<>();
    long start = new SchedulerHarness().now;
    for (int g = 0; g < gateways; g++) {
      fleet.add(made(g, gateways, tellNumber, start, start));
    }
    List<Long> sent = new ArrayList<>();
    for (long at = start; at < start + COLD - STEP; at += STEP) {
      for (int g = 0; g < gateways; g++) {
        SchedulerHarness b = fleet.get(g);
        if (restarts && (at - start) / STEP % 12 == g % 12) { // each three times a second and more
          fleet.set(g, made(g, gateways, tellNumber, start, at));
          b = fleet.get(g);
        }
        for (int i = 0; i < (skewed ? g == 0 ? 4 * gateways : 0 : 4); i++) {
          b.arrive("q" + at + "-" + i, QUICK, WORK);
        }
        for (String action : b.take()) {
          if (action.startsWith("send ")) {
            sent.add(at);
            String id = action.split(" ")[1];
            b.end(id, 0, "a", AttemptOutcome.SERVED, 0.02, true);
          }
        }
        b.take();
        b.pass(STEP);
        for (String action : b.take()) {
          if (action.startsWith("send ")) {
            sent.add(at + STEP);
          }
        }
      }
    }
    return sent;
  }

  private static SchedulerHarness made(
      int number, int gateways, int tellNumber, long engineStart, long now) {
    SchedulerHarness b = new SchedulerHarness();
    b.now = now;
    b.gateways = gateways;
    b.self = tellNumber < 0 ? -1 : number;
    b.seed = 1000 + number;
    return b.start(SchedulerHarness.engine("a", EngineState.UP, 0, engineStart));
  }

  /** The most over any window of the rule's time, as a share of N + 2 x root of N + 2. */
  private static double most(List<Long> sent, long start) {
    sent.sort(null);
    double worst = 0;
    for (int i = 0, first = 0; i < sent.size(); i++) {
      while (sent.get(first) < sent.get(i) - SECOND) {
        first++;
      }
      double age = (sent.get(i) - start) / (double) COLD;
      double n = 2.5 * (0.3 + 0.7 * Math.min(1, age) * Math.min(1, age)) * 0.85 * 8 / WORK;
      worst = Math.max(worst, (i - first + 1) / (n + 2 * Math.sqrt(n) + 2));
    }
    return worst;
  }

  @Test
  void fleetKeepsBudgetForAnySizeTrafficAndRestarts() {
    long start = new SchedulerHarness().now;
    for (int gateways : new int[] {1, 4, 20, 30}) {
      for (boolean skewed : new boolean[] {false, true}) {
        for (boolean restarts : new boolean[] {false, true}) {
          List<Long> sent = play(gateways, 0, skewed, restarts);
          double most = most(sent, start);
          assertTrue(
              most <= 1,
              gateways + " gateways, skewed " + skewed + ", restarts " + restarts + ": " + most);
        }
      }
      assertTrue(
          play(gateways, 0, false, false).size() > 200, "the engine is used while it is cold");
    }
  }

  /**
   * Each gateway gets four queries a second, half a second long; a hundred of them before ten
   * engines.
   */
  @Test
  void lowTrafficOfManyGatewaysUsesWarmingEngine() {
    int gateways = 100;
    List<SchedulerHarness> fleet = new ArrayList<>();
    for (int g = 0; g < gateways; g++) {
      SchedulerHarness b = new SchedulerHarness();
      b.gateways = gateways;
      b.self = g;
      b.seed = 1000 + g;
      List<EngineEndpoint> engines =
          new ArrayList<>(List.of(SchedulerHarness.engine("a", EngineState.UP, 0, b.now)));
      for (char name = 'b'; name <= 'j'; name++) {
        engines.add(SchedulerHarness.up(String.valueOf(name)));
      }
      fleet.add(b.start(engines.toArray(EngineEndpoint[]::new)));
    }
    long start = fleet.get(0).now;
    TreeMap<Long, List<String[]>> ends = new TreeMap<>();
    List<Long> sent = new ArrayList<>();
    for (long at = start; at < start + COLD - STEP; at += STEP) {
      for (String[] end : ends.getOrDefault(at, List.of())) {
        fleet.get(Integer.parseInt(end[0])).served(end[1], end[2], 0.5);
      }
      for (int g = 0; g < gateways; g++) {
        SchedulerHarness b = fleet.get(g);
        if ((at - start) / STEP % 10 == g % 10) {
          b.arrive("q" + at, QUICK, WORK);
        }
        b.pass(STEP);
        for (String action : b.take()) {
          String[] words = action.split(" ");
          if (words[0].equals("send")) {
            ends.computeIfAbsent(at + 20 * STEP, t -> new ArrayList<>())
                .add(new String[] {String.valueOf(g), words[1], words[2]});
            if (words[2].equals("a")) {
              sent.add(at);
            }
          }
        }
      }
    }
    double most = most(sent, start);
    assertTrue(most <= 1, "most in a window: " + most);
    assertTrue(sent.size() > 40, sent.size() + " of 4,000 went to the cold engine");
  }

  @Test
  void gatewaysWithoutNumberDrawSlotsAtRandom() {
    List<Long> sent = play(20, -1, false, false);
    assertTrue(sent.size() > 200);
    double most = most(sent, new SchedulerHarness().now);
    assertTrue(most <= 2, most + ": a slot may have two owners then, or three, or none");
  }

  @Test
  void attemptMayNotStartAfterItsSlot() {
    SchedulerHarness b = made(0, 2, 0, new SchedulerHarness().now, new SchedulerHarness().now);
    String id = null;
    for (int i = 0; id == null; i++) {
      b.arrive("q" + i, QUICK, WORK);
      id =
          b.take().stream()
              .filter(a -> a.startsWith("send"))
              .map(a -> a.split(" ")[1])
              .findFirst()
              .orElse(null);
      b.pass(id == null ? STEP : 0);
    }
    assertTrue(b.choice.mayStart(b.now, id, 0));
    b.now += 600 * MS; // a dial that took long
    assertFalse(b.choice.mayStart(b.now, id, 0), "the slot belongs to another gateway by now");
  }

  @Test
  void attemptThatMayNotStartIsForwardedToAnotherEngine() {
    SchedulerHarness b = new SchedulerHarness();
    b.start(SchedulerHarness.up("a"), SchedulerHarness.up("b"));
    b.arrive("q", QUICK, WORK);
    String first = b.take().get(0).split(" ")[2];
    assertTrue(b.choice.mayStart(b.now, "q", 0));
    String other = first.equals("a") ? "b" : "a";
    b.list(SchedulerHarness.engine(first, EngineState.DRAINING, 0, 0), SchedulerHarness.up(other));
    assertFalse(b.choice.mayStart(b.now, "q", 0), "its engine is leaving");
    b.end("q", 0, first, AttemptOutcome.NOT_SENT, 0, false);
    assertEquals(List.of("send q " + other), b.take());
    assertTrue(b.choice.mayStart(b.now, "q", 1));
    b.choice.onClientGone(b.now, "q");
    assertFalse(b.choice.mayStart(b.now, "q", 1), "its client has left");
  }

  /**
   * What a gateway does before a warm engine and one that is told as just started, at that time.
   */
  private static List<String> told(long startedBefore) {
    SchedulerHarness b = new SchedulerHarness().start(SchedulerHarness.up("w"));
    b.choice.onEndpoints(
        b.now,
        false,
        List.of(SchedulerHarness.engine("c", EngineState.UP, 0, b.now - startedBefore)));
    List<String> actions = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      b.arrive("q" + i, QUICK, WORK);
      b.pass(i % 10 == 0 ? STEP : 0);
      actions.addAll(b.take());
    }
    return actions;
  }

  @Test
  void newEngineIsWarmingUpDespiteClockOffset() {
    List<String> right = told(0);
    long cold = right.stream().filter(a -> a.endsWith(" c")).count();
    assertTrue(
        cold > 0 && cold < 60, cold + " of 400 within a second"); // five core-seconds is its budget
    assertTrue(right.equals(told(900 * SECOND)), "ahead");
    assertTrue(right.equals(told(-900 * SECOND)), "behind");
  }
}
