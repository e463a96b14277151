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
  private final ClusterModel model =
      new ClusterModel(new ClusterPlan(4, 4, 2, 10, 0.5, 0, 0, 4, 1), time);
  private final HistoryChecker checker = new HistoryChecker(model, time.now());
  private long numbers;

  private long ask(int kind, int gateway) {
    long number = ++numbers;
    checker.queryAccepted(
        new Arrival(number, time.now(), gateway, kind, 0.01, kind == LOAD ? 1 : -1),
        gateway,
        time.now());
    return number;
  }

  private HistoryChecker.Attempt send(long number, int engine) {
    return checker.attemptReceived(number, engine, -1, time.now(), time.now(), true);
  }

  private void pass(double seconds) {
    time.runUntil(time.now() + (long) (seconds * SECOND));
  }

  @SuppressWarnings("unchecked")
  private Map<String, Integer> broken() {
    pass(60);
    return (Map<String, Integer>) checker.figures(time.now(), 0).get("broken");
  }

  @Test
  void whatIsKeptIsNotBroken() {
    long a = ask(LOOKUP, 0);
    HistoryChecker.Attempt t = send(a, 1);
    pass(0.1);
    checker.attemptEnded(t, time.now()); // lost on the way: a further attempt elsewhere
    pass(0.1);
    checker.attemptEnded(send(a, 2), time.now());
    checker.answered(a, Answer.SERVED, time.now());
    long k = ask(LOAD, 1);
    checker.attemptEnded(send(k, 1), time.now());
    pass(11);
    checker.attemptEnded(send(k, 2), time.now());
    checker.answered(k, Answer.SERVED, time.now());
    long killed = ask(LOOKUP, 2);
    checker.connectionClosed(killed, true);
    assertNull(broken());
  }

  @Test
  void anAnswerThatNeverComesOrComesTwiceOrLate() {
    ask(LOOKUP, 0);
    long twice = ask(LOOKUP, 0);
    checker.answered(twice, Answer.SERVED, time.now());
    checker.answered(twice, Answer.SERVED, time.now());
    long late = ask(LOOKUP, 0);
    long cut = ask(LOOKUP, 0);
    checker.connectionClosed(cut, false);
    pass(4);
    checker.answered(late, Answer.FAILED, time.now());
    checker.answered(77, Answer.FAILED, time.now());
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
    checker.halted(3, true);
    pass(5);
    checker.halted(3, false);
    assertNull(broken());
  }

  @Test
  void anEffectThatHappensTwice() {
    long once = ask(ONCE, 0);
    checker.attemptEnded(send(once, 1), time.now());
    checker.attemptEnded(send(once, 2), time.now());
    checker.answered(once, Answer.SERVED, time.now());
    long keyed = ask(LOAD, 0);
    checker.attemptEnded(send(keyed, 1), time.now());
    pass(13);
    checker.attemptEnded(send(keyed, 1), time.now());
    checker.answered(keyed, Answer.SERVED, time.now());
    assertEquals(Map.of("ran twice", 1, "repeated after its window", 1), broken());
  }

  @Test
  void attemptsThatAreOutTogetherOrAfterTheAnswer() {
    long both = ask(LOOKUP, 0);
    HistoryChecker.Attempt first = send(both, 1);
    HistoryChecker.Attempt second = send(both, 2);
    pass(0.2);
    checker.attemptEnded(first, time.now());
    checker.attemptEnded(second, time.now());
    checker.answered(both, Answer.SERVED, time.now());
    pass(0.2);
    checker.attemptEnded(send(both, 3), time.now());
    assertEquals(Map.of("two attempts out", 1, "sent after the answer", 1), broken());
  }

  @Test
  void aDrainThatIsNotKept() {
    model.replace(java.util.List.of(model.engines.get(1)), SECOND);
    pass(0.5);
    long near = ask(LOOKUP, 0);
    checker.attemptEnded(send(near, 1), time.now());
    checker.answered(near, Answer.SERVED, time.now());
    pass(0.1);
    long after = ask(LOOKUP, 0);
    checker.attemptEnded(send(after, 1), time.now());
    checker.answered(after, Answer.SERVED, time.now());
    assertEquals(Map.of("drain", 1), broken());
  }

  @Test
  void furtherAttemptsBeyondTheirBudget() {
    for (int i = 0; i < 14; i++) {
      long q = ask(LOOKUP, 0);
      for (int k = 0; k < 3; k++) {
        checker.attemptEnded(send(q, k + 1), time.now());
        pass(0.06);
      }
      checker.answered(q, Answer.FAILED, time.now());
    }
    // 28 against 20 and half of 14
    assertEquals(Map.of("further attempts", 1), broken());
  }

  @Test
  void aColdEnginePushedOverByThoseWhoKnew() {
    model.crash(java.util.List.of(model.engines.get(1)), SECOND);
    pass(1.5);
    for (int i = 0; i < 400 && (int) checker.figures(time.now(), 0).get("fell_over") == 0; i++) {
      long q = ask(LOOKUP, 0);
      boolean runs = model.engines.get(1).submit("q" + i, 1, 1, 0, new Deaf());
      checker.attemptReceived(q, 1, -1, time.now(), time.now(), runs);
      model.engines.get(1).cancel("q" + i);
      checker.answered(q, Answer.FAILED, time.now());
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
