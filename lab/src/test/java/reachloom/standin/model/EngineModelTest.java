package reachloom.standin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reachloom.standin.model.EngineModel.Condition;

/** Tests the model of an engine. */
class EngineModelTest {
  private static final long SECOND = 1_000_000_000L;

  private final SimulatedScheduler time = new SimulatedScheduler(0);
  private final List<String> events = new ArrayList<>();

  private EngineModel engine(int cores, double memoryMb) {
    return engine(cores, cores * 6, memoryMb);
  }

  private EngineModel engine(int cores, int sessions, double memoryMb) {
    return new EngineModel(
        1,
        new EngineModel.Spec(
            cores,
            1,
            sessions,
            memoryMb,
            0.35,
            10 * SECOND,
            2.5,
            3 * SECOND / 2,
            SECOND / 5,
            SECOND / 10,
            0.2,
            SECOND / 2),
        time,
        1);
  }

  private EngineModel.QueryListener listener(String id) {
    return new EngineModel.QueryListener() {
      @Override
      public void served(double work, double memoryMb) {
        events.add(id + " served " + Math.round(time.now() / 1e6));
      }

      @Override
      public void error() {
        events.add(id + " error");
      }

      @Override
      public void progress(double share) {
        events.add(id + " at " + Math.round(100 * share));
      }

      @Override
      public void died() {
        events.add(id + " died");
      }
    };
  }

  @Test
  void sharesCoresEquallyAmongQueries() {
    EngineModel e = engine(2, 0);
    e.submit("a", 0.1, 1, 0, listener("a"));
    e.submit("b", 0.1, 1, 0, listener("b"));
    e.submit("c", 0.2, 1, 0, listener("c"));
    time.runUntil(SECOND);
    // Three queries on two cores: each runs at two thirds of the speed until the first two are
    // done, then the third at full speed.
    assertEquals(List.of("a served 150", "b served 150", "c served 250"), events);
    assertEquals(0.4, e.busy(), 1e-6);
  }

  @Test
  void matchesProcessorSharingTheoryAtHalfLoad() {
    // M/M/1-PS at a load of one half: the mean response time is twice the mean work.
    EngineModel e = engine(1, 1_000, 0);
    SplittableRandom random = new SplittableRandom(3);
    double[] sums = new double[2];
    double at = 0;
    for (int i = 0; i < 20_000; i++) {
      at += -Math.log(1 - random.nextDouble()) * 0.2;
      double work = -Math.log(1 - random.nextDouble()) * 0.1;
      String id = "q" + i;
      long from = (long) (at * SECOND);
      time.at(
          from,
          () ->
              e.submit(
                  id,
                  work,
                  1,
                  0,
                  new EngineModel.QueryListener() {
                    @Override
                    public void served(double w, double m) {
                      sums[0] += (time.now() - from) / 1e9;
                      sums[1]++;
                    }

                    @Override
                    public void error() {}

                    @Override
                    public void progress(double share) {}

                    @Override
                    public void died() {}
                  }));
    }
    time.runUntil((long) ((at + 60) * SECOND));
    assertTrue(sums[1] > 19_900, "almost all queries are served: " + sums[1]);
    assertEquals(0.2, sums[0] / sums[1], 0.012);
    assertEquals(0.5, e.busy() / at, 0.02);
  }

  @Test
  void limitsSessionsAndSlowsAllQueriesUnderMemoryShortage() {
    EngineModel e = engine(1, 100);
    for (int i = 0; i < 6; i++) {
      assertTrue(e.submit("q" + i, 0.1, 1, 0, listener("q" + i)));
    }
    assertFalse(e.submit("more", 0.1, 1, 0, listener("more")));
    e.cancel("q5");
    assertTrue(e.submit("large", 0.1, 1, 200, listener("large")));
    time.runUntil(700_000_000L);
    assertEquals(
        List.of(), events.stream().filter(h -> h.contains("served")).toList(), "half as fast");
  }

  @Test
  void reportsNothingWhileHangingAndEndsQueriesWhenDown() {
    EngineModel e = engine(2, 0);
    e.submit("a", 1, 1, 0, listener("a"));
    time.runUntil(SECOND * 6 / 10);
    e.setCondition(Condition.HANGING, 0);
    time.runUntil(5 * SECOND);
    assertEquals(List.of("a at 50"), events);
    e.setCondition(Condition.DOWN, 0);
    assertFalse(e.submit("b", 1, 1, 0, listener("b")));
    assertEquals(List.of("a at 50", "a died"), events);
  }

  @Test
  void crashesColdEngineOnlyUnderOverload() {
    EngineModel e = engine(8, 0);
    int[] falls = new int[1];
    e.onOverload(() -> falls[0]++);
    e.restart();
    // 0.35 of 8 cores for 1.5 s, times 2.5, at 0.2 core-seconds a query: 45 queries, plus the
    // margin for random variation.
    for (int i = 0; i < 60; i++) {
      int n = i;
      time.at(
          i * SECOND / 50,
          () -> {
            e.submit("q" + n, 0.2, 1, 0, listener("q" + n));
            e.cancel("q" + n);
          });
    }
    time.runUntil(2 * SECOND);
    assertEquals(0, falls[0]);
    for (int i = 0; i < 100; i++) { // cancelled at once: the work counts when it is received
      e.submit("z" + i, 0.2, 1, 0, listener("z" + i));
      e.cancel("z" + i);
    }
    assertEquals(1, falls[0]);
    assertEquals(Condition.DOWN, e.condition());
    e.restart();
    assertEquals(Condition.HEALTHY, e.condition());
    assertTrue(e.cold());
    time.runUntil(time.now() + 11 * SECOND);
    assertFalse(e.cold());
  }

  @Test
  void returnsLoadReportsWithDelay() {
    EngineModel e = engine(2, 0);
    time.runUntil(SECOND);
    e.submit("a", 5, 2, 0, listener("a"));
    time.runUntil(SECOND + SECOND / 20);
    assertEquals(0, e.load().util(), "the latest load is not reported yet");
    time.runUntil(2 * SECOND);
    assertEquals(1, e.load().util(), 0.01);
  }
}
