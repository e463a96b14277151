package reachloom.requestid;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reachloom.requestid.RequestIdPolicy.Verdict;
import reachloom.requestid.RequestIdPolicy.Wait;

/** Guards against a request that runs, or is served, under the id of another client's request. */
class RequestIdPolicyTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  @ParameterizedTest
  @CsvSource({
    // same connection, same statement, input unread, arrivals handled, waited ms
    "false, false, false, false,   0, DUPLICATE",
    "false, false,  true, false,   0, DUPLICATE",
    "false, false, false,  true,   2, DUPLICATE",
    " true, false, false, false,   0, DUPLICATE",
    " true,  true, false, false,   0, DUPLICATE",
    " true,  true,  true, false,   0, DUPLICATE",
    "false,  true, false, false,   0, AWAIT_DEPARTURE",
    "false,  true,  true, false, 500, AWAIT_DEPARTURE",
    "false,  true, false,  true,   2, DUPLICATE",
    "false,  true,  true,  true,  99, AWAIT_DEPARTURE",
    "false,  true,  true,  true, 100, DUPLICATE",
  })
  void onlySameStatementOnOtherConnectionMayReplaceOpenRequest(
      boolean sameConnection,
      boolean sameStatement,
      boolean inputUnread,
      boolean arrivalsHandled,
      long waitedMs,
      Verdict expected) {
    EarlierRequest open = new EarlierRequest.Open(sameConnection, sameStatement, inputUnread);
    Wait wait = new Wait(arrivalsHandled, waitedMs * NANOS_PER_MILLI);
    assertEquals(expected, RequestIdPolicy.decide(open, wait));
  }

  @ParameterizedTest
  @CsvSource({
    // same connection, client connected, arrivals handled, ms from the answer to the arrival
    "false,  true, false,   0, ACCEPT",
    " true,  true, false,   0, ACCEPT",
    " true,  true, false, -20, DUPLICATE",
    "false,  true, false, -20, AWAIT_DEPARTURE",
    "false, false, false, -20, AWAIT_DEPARTURE",
    "false,  true,  true, -20, DUPLICATE",
    "false, false,  true, -20, ACCEPT",
  })
  void sameStatementThatArrivedBeforeAnswerRunsOnlyIfItsClientHadLeft(
      boolean sameConnection,
      boolean clientConnected,
      boolean arrivalsHandled,
      long sinceEndMs,
      Verdict expected) {
    EarlierRequest answered =
        new EarlierRequest.Answered(
            sameConnection, true, clientConnected, false, sinceEndMs * NANOS_PER_MILLI);
    assertEquals(expected, RequestIdPolicy.decide(answered, new Wait(arrivalsHandled, 0)));
  }

  @ParameterizedTest
  @CsvSource({
    // attempt may run, ms from the end to the arrival
    "false, 5000, ACCEPT",
    "false,   50, ACCEPT",
    "false,   49, DUPLICATE",
    "false,  -20, DUPLICATE",
    " true, 5000, DUPLICATE",
  })
  void otherStatementIsDuplicateWhileAttemptMayRunOrArrivalIsUncertain(
      boolean attemptMayRun, long sinceEndMs, Verdict expected) {
    long sinceEndNanos = sinceEndMs * NANOS_PER_MILLI;
    EarlierRequest answered =
        new EarlierRequest.Answered(false, false, false, attemptMayRun, sinceEndNanos);
    assertEquals(expected, RequestIdPolicy.decide(answered, Wait.NONE));
    EarlierRequest abandoned =
        new EarlierRequest.Abandoned(false, false, attemptMayRun, sinceEndNanos);
    assertEquals(expected, RequestIdPolicy.decide(abandoned, Wait.NONE));
  }

  @ParameterizedTest
  @CsvSource({
    // same connection, same statement, attempt may run, ms from the end to the arrival
    "false,  true, false,    0",
    "false,  true,  true,    0",
    "false,  true, false,  -20",
    "false,  true,  true, 5000",
    " true, false,  true,    0",
    " true,  true,  true,    0",
  })
  void clientThatHasCancelledOrLeftMaySendItsRequestAgain(
      boolean sameConnection, boolean sameStatement, boolean attemptMayRun, long sinceEndMs) {
    EarlierRequest abandoned =
        new EarlierRequest.Abandoned(
            sameConnection, sameStatement, attemptMayRun, sinceEndMs * NANOS_PER_MILLI);
    assertEquals(Verdict.ACCEPT, RequestIdPolicy.decide(abandoned, Wait.NONE));
  }
}
