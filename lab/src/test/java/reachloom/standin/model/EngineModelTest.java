package reachloom.standin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reachloom.standin.model.EngineModel.Condition;

/** The engine that stands in for real ones. */
class EngineModelTest {
  private static final long SECOND = 1_000_000_000L;

  private final SimulatedScheduler time = new SimulatedScheduler(0);
  private final List<String> heard = new ArrayList<>();

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

  private EngineModel.QueryListener asker(String id) {
    return new EngineModel.QueryListener() {
      @Override
      public void served(double work, double memoryMb) {
        heard.add(id + " served " + Math.round(time.now() / 1e6));
      }

      @Override
      public void error() {
        heard.add(id + " error");
      }

      @Override
      public void progress(double share) {
        heard.add(id + " at " + Math.round(100 * share));
      }

      @Override
      public void died() {
        heard.add(id + " died");
      }
    };
  }

  @Test
  void coresAreShared() {
    EngineModel e = engine(2, 0);
    e.submit("a", 0.1, 1, 0, asker("a"));
    e.submit("b", 0.1, 1, 0, asker("b"));
    e.submit("c", 0.2, 1, 0, asker("c"));
    time.runUntil(SECOND);
    // Three on two cores: each at two thirds until the first two are done, then the third alone at
    // one.
    assertEquals(List.of("a served 150", "b served 150", "c served 250"), heard);
    assertEquals(0.4, e.busy(), 1e-6);
  }

  @Test
  void utilisationIsTheLoadAndTimesFollowProcessorSharing() {
    // M/M/1-PS at a load of one half: the mean time is twice the mean work.
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
    assertTrue(sums[1] > 19_900, "few are turned away: " + sums[1]);
    assertEquals(0.2, sums[0] / sums[1], 0.012);
    assertEquals(0.5, e.busy() / at, 0.02);
  }

  @Test
  void sessionsAreLimitedAndMemoryThatIsShortSlowsAll() {
    EngineModel e = engine(1, 100);
    for (int i = 0; i < 6; i++) {
      assertTrue(e.submit("q" + i, 0.1, 1, 0, asker("q" + i)));
    }
    assertFalse(e.submit("more", 0.1, 1, 0, asker("more")));
    e.cancel("q5");
    assertTrue(e.submit("large", 0.1, 1, 200, asker("large")));
    time.runUntil(700_000_000L);
    assertEquals(
        List.of(), heard.stream().filter(h -> h.contains("served")).toList(), "half as fast");
  }

  @Test
  void oneThatHangsSaysNothingAndOneThatDiesEndsAll() {
    EngineModel e = engine(2, 0);
    e.submit("a", 1, 1, 0, asker("a"));
    time.runUntil(SECOND * 6 / 10);
    e.setCondition(Condition.HANGING, 0);
    time.runUntil(5 * SECOND);
    assertEquals(List.of("a at 50"), heard);
    e.setCondition(Condition.DOWN, 0);
    assertFalse(e.submit("b", 1, 1, 0, asker("b")));
    assertEquals(List.of("a at 50", "a died"), heard);
  }

  @Test
  void aColdOneFallsUnderTooMuchOnly() {
    EngineModel e = engine(8, 0);
    int[] falls = new int[1];
    e.onOverload(() -> falls[0]++);
    e.restart();
    // 0.35 of 8 cores for 1.5 s, 2.5 times, at 0.2 a query: 45, and what chance brings on top.
    for (int i = 0; i < 60; i++) {
      int n = i;
      time.at(
          i * SECOND / 50,
          () -> {
            e.submit("q" + n, 0.2, 1, 0, asker("q" + n));
            e.cancel("q" + n);
          });
    }
    time.runUntil(2 * SECOND);
    assertEquals(0, falls[0]);
    for (int i = 0; i < 100; i++) { // given up at once: what was sent counts
      e.submit("z" + i, 0.2, 1, 0, asker("z" + i));
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
  void reportsAreSamplesOfSomeTimeAgo() {
    EngineModel e = engine(2, 0);
    time.runUntil(SECOND);
    e.submit("a", 5, 2, 0, asker("a"));
    time.runUntil(SECOND + SECOND / 20);
    assertEquals(0, e.load().util(), "nothing of the last moments is known");
    time.runUntil(2 * SECOND);
    assertEquals(1, e.load().util(), 0.01);
  }
}
