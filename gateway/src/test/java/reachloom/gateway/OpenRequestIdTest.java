package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reachloom.gateway.OrderingHarness.ENGINE;
import static reachloom.gateway.OrderingHarness.OTHER_ENGINE;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.gateway.PausedPeer.Connection;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;
import reachloom.standin.ThriftMessages;
import reachloom.standin.ThriftMessages.Reply;

/**
 * Guards against a request that is served under the id of another client's open request, and
 * against requests that the client of an id loses to another one that names it.
 */
@Timeout(60)
class OpenRequestIdTest {
  private static final String ID = "00000000000000a1";
  private static final String STATEMENT = "select a from sales_1.orders";
  private static final String OTHER_STATEMENT = "select b from sales_2.orders";
  private static final String LIMIT_MS = "20000";
  private static final String RESULT = "first\t\t\n";

  @TempDir Path folder;

  private PausedPeer engine;
  private FakeEngine otherEngine;
  private FakeChangeLog changeLog;
  private OrderingHarness gateway;
  private ThriftClient usual;
  private ThriftClient other;

  /** Serves the first request at an engine that the test controls, all others at once elsewhere. */
  @BeforeEach
  void start() throws Exception {
    engine = new PausedPeer();
    otherEngine = new FakeEngine();
    changeLog = new FakeChangeLog(1);
    gateway =
        new OrderingHarness(
            folder,
            GatewayProcess.config(
                GatewayProcess.freeAddress(),
                changeLog.address(),
                engine.address(),
                otherEngine.address()));
    gateway.forwardTo = query -> ENGINE;
    usual = connect();
    other = connect();
  }

  @AfterEach
  void end() throws IOException {
    usual.close();
    other.close();
    gateway.close();
    engine.close();
    otherEngine.close();
    changeLog.close();
  }

  private ThriftClient connect() throws IOException {
    ThriftClient client = new ThriftClient(gateway.config.listen());
    assertEquals(false, client.check(), "the gateway has admitted the connection");
    return client;
  }

  private static void send(ThriftClient client, String statement, String queryClass)
      throws IOException {
    client.execute(statement, "verb", queryClass, "txn", ID, "limit", LIMIT_MS);
  }

  private static byte[] message(ThriftClient client, String statement, String id) {
    return client.message(statement, "txn", id, "limit", LIMIT_MS);
  }

  /** Sends the first request; returns its connection once the engine has read it. */
  private Connection runFirst() throws Exception {
    send(usual, STATEMENT, "quick");
    Connection connection = engine.accept();
    assertTrue(connection.readRequest().startsWith("ASK " + ID));
    gateway.forwardTo = query -> OTHER_ENGINE;
    return connection;
  }

  private static void answer(Connection connection) throws IOException {
    connection.write(
        ID + " OK fetches=1,effort=5,high=1 " + RESULT.length() + "\r\n" + RESULT + "\r\n");
  }

  private void assertOtherEngineUnused() {
    assertEquals(0, otherEngine.count("ASK " + ID), "attempts of the other client's request");
  }

  // ---- The id of an open request ----

  /** It was served if the first request ended within 100 ms, and failed only then if not. */
  @ParameterizedTest
  @CsvSource({
    OTHER_STATEMENT + ", quick",
    OTHER_STATEMENT + ", once",
    STATEMENT + ", quick",
    STATEMENT + ", once"
  })
  void otherClientWithIdOfOpenRequestFailsAndFirstIsServed(String statement, String queryClass)
      throws Exception {
    Connection connection = runFirst();
    send(other, statement, queryClass);
    gateway.awaitHandled();
    answer(connection);
    assertEquals("FAILED", other.reply().kind());
    assertEquals("ANSWER", usual.reply().kind());
    assertOtherEngineUnused();
    usual.close();
    other.close();
    gateway.assertTablesEmpty();
  }

  /** It waited for 100 ms, or until its input was read, and held a place meanwhile. */
  @Test
  void otherStatementUnderOpenIdIsAnsweredWithoutWaiting() throws Exception {
    runFirst();
    CountDownLatch resume = gateway.pauseLoop();
    send(other, OTHER_STATEMENT, "quick");
    gateway.awaitSocketsRead();
    CompletableFuture<Integer> heldRequests = new CompletableFuture<>();
    gateway.runOnLoop(() -> heldRequests.complete(gateway.gateway.tableSizes().get("requests")));
    resume.countDown();
    assertEquals(1, heldRequests.get(10, TimeUnit.SECONDS));
    assertEquals("FAILED", other.reply().kind());
  }

  /** Each further connection waited for its own time, so that one of them was served. */
  @Test
  void allOfSeveralConnectionsWithIdOfOpenRequestFail() throws Exception {
    Connection connection = runFirst();
    ThriftClient[] others = new ThriftClient[8];
    for (int i = 0; i < others.length; i++) {
      others[i] = connect();
      send(others[i], i % 2 == 0 ? STATEMENT : OTHER_STATEMENT, "quick");
    }
    gateway.awaitHandled();
    answer(connection);
    for (ThriftClient client : others) {
      assertEquals("FAILED", client.reply().kind());
      client.close();
    }
    assertEquals("ANSWER", usual.reply().kind());
    assertOtherEngineUnused();
  }

  /** A duplicate must not take what arrives with it along. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void soundRequestInSameWriteAsDuplicateIsServed(boolean duplicateFirst) throws Exception {
    Connection connection = runFirst();
    String soundId = "00000000000000b2";
    ByteArrayOutputStream both = new ByteArrayOutputStream();
    both.write(message(other, OTHER_STATEMENT, duplicateFirst ? ID : soundId));
    both.write(message(other, OTHER_STATEMENT, duplicateFirst ? soundId : ID));
    other.raw(both.toByteArray());
    String[] kinds = new String[2];
    for (int i = 0; i < kinds.length; i++) {
      Reply reply = other.reply();
      kinds[reply.seq() - 2] = reply.kind();
    }
    assertEquals("FAILED", kinds[duplicateFirst ? 0 : 1]);
    assertEquals("ANSWER", kinds[duplicateFirst ? 1 : 0]);
    assertOtherEngineUnused();
    answer(connection);
    assertEquals("ANSWER", usual.reply().kind());
  }

  /** It was served if the engine's answer to the first request was handled before it. */
  @ParameterizedTest
  @ValueSource(strings = {STATEMENT, OTHER_STATEMENT})
  void requestThatArrivedBeforeAnswerOfItsIdFails(String statement) throws Exception {
    Connection connection = runFirst();
    CountDownLatch resume = gateway.pauseLoop();
    answer(connection);
    gateway.awaitSocketsRead();
    send(other, statement, "quick");
    gateway.awaitSocketsRead();
    resume.countDown();
    assertEquals("ANSWER", usual.reply().kind());
    assertEquals("FAILED", other.reply().kind());
    assertOtherEngineUnused();
  }

  // ---- The client of the id leaves ----

  /** The other request was served in place of the first one once that was given up. */
  @Test
  void otherStatementFailsIfFirstClientLeavesRightAfterIt() throws Exception {
    Connection connection = runFirst();
    CountDownLatch resume = gateway.pauseLoop();
    send(other, OTHER_STATEMENT, "quick");
    usual.close();
    gateway.awaitSocketsRead();
    resume.countDown();
    assertEquals("FAILED", other.reply().kind());
    assertEquals("QUIT " + ID, connection.readRequest());
    assertOtherEngineUnused();
  }

  /** Another client must not take the id over while the attempt of its client is cancelled. */
  @Test
  void returningClientIsServedAlthoughAnotherOneNamesItsId() throws Exception {
    Connection connection = runFirst();
    ThriftClient returning = connect();
    CountDownLatch resume = gateway.pauseLoop();
    usual.close();
    gateway.awaitSocketsRead();
    send(other, OTHER_STATEMENT, "quick");
    gateway.awaitSocketsRead();
    send(returning, STATEMENT, "quick");
    gateway.awaitSocketsRead();
    resume.countDown();
    assertEquals("FAILED", other.reply().kind());
    assertEquals("ANSWER", returning.reply().kind());
    returning.close();
    assertEquals("QUIT " + ID, connection.readRequest());
    assertEquals(1, otherEngine.count("ASK " + ID));
  }

  /** While a client that has come back waits, its request is open and holds its id. */
  @Test
  void otherClientFailsWhileReturningOneWaitsForItsFirstAttempt() throws Exception {
    runFirst();
    ThriftClient returning = connect();
    CountDownLatch resume = gateway.pauseLoop();
    usual.close();
    gateway.awaitSocketsRead();
    send(returning, STATEMENT, "quick");
    gateway.awaitSocketsRead();
    send(other, STATEMENT, "quick");
    gateway.awaitSocketsRead();
    resume.countDown();
    assertEquals("FAILED", other.reply().kind());
    assertEquals("ANSWER", returning.reply().kind());
    returning.close();
    assertEquals(1, otherEngine.count("ASK " + ID));
  }

  /** The answer of a client that had left as it was written is no reason to refuse its return. */
  @Test
  void clientThatLeftBeforeItsAnswerIsServedWhenItReturns() throws Exception {
    Connection connection = runFirst();
    CountDownLatch resume = gateway.pauseLoop();
    answer(connection);
    gateway.awaitSocketsRead();
    usual.close();
    send(other, STATEMENT, "quick");
    gateway.awaitSocketsRead();
    resume.countDown();
    assertEquals("ANSWER", other.reply().kind());
  }

  /** The returning client got the late answer to its first attempt, and its second one ran on. */
  @Test
  void lateAnswerToFirstAttemptIsNotTakenForThatToRequestOfReturningClient() throws Exception {
    Connection first = runFirst();
    usual.close();
    assertEquals("QUIT " + ID, first.readRequest());
    gateway.forwardTo = query -> ENGINE;
    send(other, STATEMENT, "quick");
    Connection second = engine.accept();
    assertEquals("ASK " + ID, second.readRequest().substring(0, 4 + ID.length()));
    answer(first);
    gateway.awaitHandled();
    assertEquals(1, gateway.gateway.openRequests());
    answer(second);
    assertEquals("ANSWER", other.reply().kind());
  }

  // ---- Cancelled requests ----

  /** A cancelled request is no longer open: its client may use the id again. */
  @Test
  void cancelledIdIsServedAgainOnItsConnection() throws Exception {
    Connection connection = runFirst();
    usual.interrupt(2);
    send(usual, OTHER_STATEMENT, "quick");
    assertEquals("ANSWER", usual.reply().kind());
    assertEquals("QUIT " + ID, connection.readRequest());
  }

  /** An interrupt names a request of its own connection only. */
  @Test
  void interruptOfOtherConnectionLeavesRequestWithSameSequenceNumberOpen() throws Exception {
    Connection connection = runFirst();
    other.interrupt(2);
    send(other, OTHER_STATEMENT, "quick");
    other.interrupt(4);
    assertEquals("FAILED", other.reply().kind());
    gateway.awaitHandled();
    answer(connection);
    assertEquals("ANSWER", usual.reply().kind());
  }

  /** A sequence number names a request of its own connection, and one at a time. */
  @Test
  void requestWithSequenceNumberOfOpenRequestFailsAndFirstIsServed() throws Exception {
    Connection connection = runFirst();
    Map<String, String> fields =
        Map.of("verb", "quick", "txn", "00000000000000b2", "limit", LIMIT_MS, "team", "one");
    ByteBuffer sameNumber = ThriftMessages.execute(2, fields, OTHER_STATEMENT);
    usual.raw(Arrays.copyOf(sameNumber.array(), sameNumber.limit()));
    Reply failed = usual.reply();
    assertEquals(2, failed.seq());
    assertEquals("FAILED", failed.kind());
    other.raw(Arrays.copyOf(sameNumber.array(), sameNumber.limit()));
    assertEquals("ANSWER", other.reply().kind(), "its own connection has no such request");
    answer(connection);
    assertEquals("ANSWER", usual.reply().kind());
  }

  // ---- Idempotency keys ----

  private static void sendKeyed(ThriftClient client, String statement, String id)
      throws IOException {
    client.execute(statement, "verb", "keyed", "unique", "key-1", "txn", id, "limit", LIMIT_MS);
  }

  /** Engines drop what has a known key: the first load was dropped if the other one ran before. */
  @ParameterizedTest
  @ValueSource(strings = {"keyed", "quick"})
  void otherStatementUnderKeyOfOpenRequestFails(String queryClass) throws Exception {
    sendKeyed(usual, STATEMENT, ID);
    Connection connection = engine.accept();
    assertTrue(connection.readRequest().startsWith("ASK " + ID));
    gateway.forwardTo = query -> OTHER_ENGINE;
    other.execute(OTHER_STATEMENT, "verb", queryClass, "unique", "key-1", "limit", LIMIT_MS);
    assertEquals("FAILED", other.reply().kind());
    assertEquals(0, otherEngine.count("ASK"));
    answer(connection);
    assertEquals("ANSWER", usual.reply().kind());
  }

  /** The tries of one request share its key, also while an earlier one is open. */
  @Test
  void furtherTryUnderKeyOfOpenRequestIsServed() throws Exception {
    sendKeyed(usual, STATEMENT, ID);
    Connection connection = engine.accept();
    assertTrue(connection.readRequest().startsWith("ASK " + ID));
    gateway.forwardTo = query -> OTHER_ENGINE;
    sendKeyed(other, STATEMENT, "00000000000000b2");
    assertEquals("ANSWER", other.reply().kind());
    answer(connection);
    assertEquals("ANSWER", usual.reply().kind());
    sendKeyed(other, OTHER_STATEMENT, "00000000000000c3");
    assertEquals("ANSWER", other.reply().kind(), "no request with the key is open");
  }
}
