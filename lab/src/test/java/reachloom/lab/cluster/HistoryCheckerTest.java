package reachloom.lab.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Map;
import org.junit.jupiter.api.Test;
import reachloom.lab.cluster.HistoryChecker.Answer;
import reachloom.lab.cluster.Workload.Arrival;
import reachloom.standin.model.SimulatedScheduler;

/** Tests that the checker reports each broken rule, and none if all rules are kept. */
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

  private long accept(int kind, int gateway) {
    long number = ++numbers;
    checker.queryAccepted(
        new Arrival(number, time.now(), gateway, kind, 0.01, kind == LOAD ? 1 : -1),
        gateway,
        time.now());
    return number;
  }

  private HistoryChecker.Attempt receiveAttempt(long number, int engine) {
    return checker.attemptReceived(number, engine, -1, time.now(), time.now(), true);
  }

  private void advance(double seconds) {
    time.runUntil(time.now() + (long) (seconds * SECOND));
  }

  @SuppressWarnings("unchecked")
  private Map<String, Integer> broken() {
    advance(60);
    return (Map<String, Integer>) checker.figures(time.now(), 0).get("broken");
  }

  @Test
  void reportsNothingWhenAllRulesAreKept() {
    long a = accept(LOOKUP, 0);
    HistoryChecker.Attempt t = receiveAttempt(a, 1);
    advance(0.1);
    checker.attemptEnded(t, time.now()); // its answer is lost: a further attempt on another engine
    advance(0.1);
    checker.attemptEnded(receiveAttempt(a, 2), time.now());
    checker.answered(a, Answer.SERVED, time.now());
    long k = accept(LOAD, 1);
    checker.attemptEnded(receiveAttempt(k, 1), time.now());
    advance(11);
    checker.attemptEnded(receiveAttempt(k, 2), time.now());
    checker.answered(k, Answer.SERVED, time.now());
    long killed = accept(LOOKUP, 2);
    checker.connectionClosed(killed, true);
    assertNull(broken());
  }

  @Test
  void reportsMissingDuplicateAndLateAnswers() {
    accept(LOOKUP, 0);
    long twice = accept(LOOKUP, 0);
    checker.answered(twice, Answer.SERVED, time.now());
    checker.answered(twice, Answer.SERVED, time.now());
    long late = accept(LOOKUP, 0);
    long cut = accept(LOOKUP, 0);
    checker.connectionClosed(cut, false);
    advance(4);
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
  void excusesUnansweredQueryWhileGatewayIsHalted() {
    accept(LOOKUP, 3);
    checker.halted(3, true);
    assertNull(broken());
  }

  @Test
  void haltedGatewayHasToAnswerOnceItRuns() {
    long answered = accept(LOOKUP, 3);
    long late = accept(LOOKUP, 3);
    accept(LOOKUP, 3);
    checker.halted(3, true);
    advance(5);
    checker.halted(3, false);
    checker.answered(answered, Answer.FAILED, time.now());
    advance(0.1);
    checker.answered(late, Answer.FAILED, time.now());
    assertEquals(Map.of("unanswered", 1, "answered too late", 1), broken());
  }

  @Test
  void haltThatEndsBeforeDeadlineExcusesNoLateAnswer() {
    long late = accept(LOOKUP, 3);
    checker.halted(3, true);
    advance(2);
    checker.halted(3, false);
    advance(2);
    checker.answered(late, Answer.FAILED, time.now());
    assertEquals(Map.of("answered too late", 1), broken());
  }

  @Test
  void reportsBudgetsBeyondRemainingTime() {
    long number = accept(LOOKUP, 0);
    advance(1);
    checker.budgetReceived(receiveAttempt(number, 1), 2_000);
    assertEquals(0, checker.figures(time.now(), 0).get("budgets_too_long"));
    checker.budgetReceived(receiveAttempt(number, 2), 2_200);
    Map<String, Object> figures = checker.figures(time.now(), 0);
    assertEquals(1, figures.get("budgets_too_long"));
    assertEquals(200L, figures.get("budget_excess_ms_max"));
  }

  @Test
  void reportsRepeatedEffects() {
    long once = accept(ONCE, 0);
    checker.attemptEnded(receiveAttempt(once, 1), time.now());
    checker.attemptEnded(receiveAttempt(once, 2), time.now());
    checker.answered(once, Answer.SERVED, time.now());
    long keyed = accept(LOAD, 0);
    checker.attemptEnded(receiveAttempt(keyed, 1), time.now());
    advance(13);
    checker.attemptEnded(receiveAttempt(keyed, 1), time.now());
    checker.answered(keyed, Answer.SERVED, time.now());
    assertEquals(Map.of("ran twice", 1, "repeated after its window", 1), broken());
  }

  @Test
  void reportsConcurrentAttemptsAndAttemptsAfterAnswer() {
    long both = accept(LOOKUP, 0);
    HistoryChecker.Attempt first = receiveAttempt(both, 1);
    HistoryChecker.Attempt second = receiveAttempt(both, 2);
    advance(0.2);
    checker.attemptEnded(first, time.now());
    checker.attemptEnded(second, time.now());
    checker.answered(both, Answer.SERVED, time.now());
    advance(0.2);
    checker.attemptEnded(receiveAttempt(both, 3), time.now());
    assertEquals(Map.of("two attempts out", 1, "sent after the answer", 1), broken());
  }

  @Test
  void reportsAttemptOnDrainingEngineAfterGrace() {
    model.replace(java.util.List.of(model.engines.get(1)), SECOND);
    advance(0.5);
    long withinGrace = accept(LOOKUP, 0);
    checker.attemptEnded(receiveAttempt(withinGrace, 1), time.now());
    checker.answered(withinGrace, Answer.SERVED, time.now());
    advance(0.1);
    long afterGrace = accept(LOOKUP, 0);
    checker.attemptEnded(receiveAttempt(afterGrace, 1), time.now());
    checker.answered(afterGrace, Answer.SERVED, time.now());
    assertEquals(Map.of("drain", 1), broken());
  }

  @Test
  void reportsFurtherAttemptsBeyondBudget() {
    for (int i = 0; i < 14; i++) {
      long q = accept(LOOKUP, 0);
      for (int k = 0; k < 3; k++) {
        checker.attemptEnded(receiveAttempt(q, k + 1), time.now());
        advance(0.06);
      }
      checker.answered(q, Answer.FAILED, time.now());
    }
    // 28 further attempts; the budget is 20 plus half of 14 queries
    assertEquals(Map.of("further attempts", 1), broken());
  }

  @Test
  void reportsColdEngineOverloadedByInformedGateways() {
    model.crash(java.util.List.of(model.engines.get(1)), SECOND);
    advance(1.5);
    for (int i = 0; i < 400 && (int) checker.figures(time.now(), 0).get("fell_over") == 0; i++) {
      long q = accept(LOOKUP, 0);
      boolean runs = model.engines.get(1).submit("q" + i, 1, 1, 0, new IgnoringListener());
      checker.attemptReceived(q, 1, -1, time.now(), time.now(), runs);
      model.engines.get(1).cancel("q" + i);
      checker.answered(q, Answer.FAILED, time.now());
    }
    assertEquals(1, broken().get("cold engine pushed over"));
  }

  private static final class IgnoringListener
      implements reachloom.standin.model.EngineModel.QueryListener {
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
