package reachloom.lab.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Map;
import org.junit.jupiter.api.Test;
import reachloom.lab.cluster.HistoryChecker.Answer;
import reachloom.lab.cluster.Workload.Arrival;
import reachloom.standin.model.SimulatedScheduler;

/** The auditor sees each broken rule, and none where all is kept. */
class HistoryCheckerTest {
  private static final long SECOND = ClusterPlan.SECOND;
  private static final int LOOKUP = 0;
  private static final int LOAD = 2;
  private static final int ONCE = 3;

  private final SimulatedScheduler time = new SimulatedScheduler(SECOND);
  private final ClusterModel world =
      new ClusterModel(new ClusterPlan(4, 4, 2, 10, 0.5, 0, 0, 4, 1), time);
  private final HistoryChecker truth = new HistoryChecker(world, time.now());
  private long numbers;

  private long ask(int kind, int gateway) {
    long number = ++numbers;
    truth.taken(
        new Arrival(number, time.now(), gateway, kind, 0.01, kind == LOAD ? 1 : -1),
        gateway,
        time.now());
    return number;
  }

  private HistoryChecker.Try send(long number, int engine) {
    return truth.came(number, engine, -1, time.now(), time.now(), true);
  }

  private void pass(double seconds) {
    time.runUntil(time.now() + (long) (seconds * SECOND));
  }

  @SuppressWarnings("unchecked")
  private Map<String, Integer> broken() {
    pass(60);
    return (Map<String, Integer>) truth.figures(time.now(), 0).get("broken");
  }

  @Test
  void whatIsKeptIsNotBroken() {
    long a = ask(LOOKUP, 0);
    HistoryChecker.Try t = send(a, 1);
    pass(0.1);
    truth.ended(t, time.now()); // lost on the way: a further attempt elsewhere
    pass(0.1);
    truth.ended(send(a, 2), time.now());
    truth.answered(a, Answer.SERVED, time.now());
    long k = ask(LOAD, 1);
    truth.ended(send(k, 1), time.now());
    pass(11);
    truth.ended(send(k, 2), time.now());
    truth.answered(k, Answer.SERVED, time.now());
    long killed = ask(LOOKUP, 2);
    truth.orphaned(killed, true);
    assertNull(broken());
  }

  @Test
  void anAnswerThatNeverComesOrComesTwiceOrLate() {
    ask(LOOKUP, 0);
    long twice = ask(LOOKUP, 0);
    truth.answered(twice, Answer.SERVED, time.now());
    truth.answered(twice, Answer.SERVED, time.now());
    long late = ask(LOOKUP, 0);
    long cut = ask(LOOKUP, 0);
    truth.orphaned(cut, false);
    pass(4);
    truth.answered(late, Answer.FAILED, time.now());
    truth.answered(77, Answer.FAILED, time.now());
    assertEquals(
        Map.of(
            "unanswered",
            2,
            "two answers",
            1,
            "answered too late",
            1,
            "answers to nothing asked",
            1,
            "connection ended without an answer",
            1),
        broken());
  }

  @Test
  void oneThatStoodStillIsExcused() {
    ask(LOOKUP, 3);
    truth.halted(3, true);
    pass(5);
    truth.halted(3, false);
    assertNull(broken());
  }

  @Test
  void anEffectThatHappensTwice() {
    long once = ask(ONCE, 0);
    truth.ended(send(once, 1), time.now());
    truth.ended(send(once, 2), time.now());
    truth.answered(once, Answer.SERVED, time.now());
    long keyed = ask(LOAD, 0);
    truth.ended(send(keyed, 1), time.now());
    pass(13);
    truth.ended(send(keyed, 1), time.now());
    truth.answered(keyed, Answer.SERVED, time.now());
    assertEquals(Map.of("ran twice", 1, "repeated after its window", 1), broken());
  }

  @Test
  void attemptsThatAreOutTogetherOrAfterTheAnswer() {
    long both = ask(LOOKUP, 0);
    HistoryChecker.Try first = send(both, 1);
    HistoryChecker.Try second = send(both, 2);
    pass(0.2);
    truth.ended(first, time.now());
    truth.ended(second, time.now());
    truth.answered(both, Answer.SERVED, time.now());
    pass(0.2);
    truth.ended(send(both, 3), time.now());
    assertEquals(Map.of("two attempts out", 1, "sent after the answer", 1), broken());
  }

  @Test
  void aDrainThatIsNotKept() {
    world.replace(java.util.List.of(world.engines.get(1)), SECOND);
    pass(0.5);
    long near = ask(LOOKUP, 0);
    truth.ended(send(near, 1), time.now());
    truth.answered(near, Answer.SERVED, time.now());
    pass(0.1);
    long after = ask(LOOKUP, 0);
    truth.ended(send(after, 1), time.now());
    truth.answered(after, Answer.SERVED, time.now());
    assertEquals(Map.of("drain", 1), broken());
  }

  @Test
  void furtherAttemptsBeyondTheirBudget() {
    for (int i = 0; i < 14; i++) {
      long q = ask(LOOKUP, 0);
      for (int k = 0; k < 3; k++) {
        truth.ended(send(q, k + 1), time.now());
        pass(0.06);
      }
      truth.answered(q, Answer.FAILED, time.now());
    }
    // 28 against 20 and half of 14
    assertEquals(Map.of("further attempts", 1), broken());
  }

  @Test
  void aColdEnginePushedOverByThoseWhoKnew() {
    world.crash(java.util.List.of(world.engines.get(1)), SECOND);
    pass(1.5);
    for (int i = 0; i < 400 && (int) truth.figures(time.now(), 0).get("fell_over") == 0; i++) {
      long q = ask(LOOKUP, 0);
      boolean runs = world.engines.get(1).submit("q" + i, 1, 1, 0, new Deaf());
      truth.came(q, 1, -1, time.now(), time.now(), runs);
      world.engines.get(1).cancel("q" + i);
      truth.answered(q, Answer.FAILED, time.now());
    }
    assertEquals(1, broken().get("cold engine pushed over"));
  }

  private static final class Deaf implements reachloom.standin.model.EngineModel.QueryListener {
    @Override
    public void served(double work, double memoryMb) {}

    @Override
    public void error() {}

    @Override
    public void progress(double share) {}

    @Override
    public void died() {}
  }
}
