package reachloom.gateway.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.DeduplicationScope;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.QueryClass;

/** Client eviction, generational slots, the order of deadlines, and outcomes of broken attempts. */
class TablesTest {
  @Test
  void evictsSilentThenIdleThenNewConnections() {
    ClientConnectionTable clients = new ClientConnectionTable(3);
    ClientConnection silent = new ClientConnection(null, 10);
    ClientConnection idle = new ClientConnection(null, 20);
    ClientConnection fresh = new ClientConnection(null, 90);
    for (ClientConnection connection : new ClientConnection[] {silent, idle, fresh}) {
      assertTrue(clients.add(connection));
    }
    assertFalse(clients.add(new ClientConnection(null, 95)), "full");
    clients.messageReceived(idle, 30);
    assertSame(silent, evicted(clients, 50, 0));
    clients.remove(silent);
    assertSame(
        idle,
        evicted(clients, 50, 0),
        "before the connection whose first request may be in transit");
    idle.openRequests.put(1, null);
    clients.touch(idle, 40);
    assertSame(
        fresh, evicted(clients, 50, 0), "a connection with an open request is never evicted");
    clients.messageReceived(fresh, 100);
    idle.openRequests.clear();
    clients.touch(idle, 110);
    assertSame(fresh, evicted(clients, 150, 0), "the connection idle for longest");
    assertEquals(Optional.empty(), clients.overdue(200, 100));
    assertSame(fresh, clients.overdue(200, 101).orElseThrow());
    clients.messageBegun(idle, 120);
    assertSame(idle, clients.overdue(121, 0).orElseThrow());
    clients.messageReceived(idle, 130);
    assertEquals(Optional.empty(), clients.overdue(200, 0));
    clients.remove(idle);
    clients.remove(fresh);
    assertEquals(Optional.empty(), clients.evictable(1_000, 0));
    assertEquals(Optional.empty(), clients.leastRecentlyActive());
    assertEquals(0, clients.size());
  }

  /** New connections were evicted while others sent more than could be read. */
  @Test
  void evictsConnectionWithUnreadInputBeforeNewOneUnlessRequestWasSubmitted() {
    ClientConnectionTable clients = new ClientConnectionTable(2);
    ClientConnection flooding = new ClientConnection(null, 0);
    ClientConnection fresh = new ClientConnection(null, 90);
    assertTrue(clients.add(flooding) && clients.add(fresh));
    clients.messageReceived(flooding, 10);
    ClientRequest waiting = request();
    flooding.openRequests.put(1, waiting);
    clients.touch(flooding, 10);
    clients.inputUnread(flooding, 20);
    clients.inputUnread(flooding, 60);
    assertSame(fresh, evicted(clients, 50, 20), "unread for too short a time");
    assertSame(flooding, evicted(clients, 50, 21));
    waiting.submitted = true;
    assertSame(fresh, evicted(clients, 50, 21));
    waiting.submitted = false;
    clients.messageReceived(fresh, 90);
    assertSame(flooding, evicted(clients, 150, 21), "before one that is idle for long");
    assertEquals(Optional.empty(), clients.evictable(90, 20), "idle for too short a time");
    clients.inputRead(flooding);
    assertSame(fresh, evicted(clients, 50, 21));
  }

  /** Returns the connection that a full table evicts for a new one. */
  private static ClientConnection evicted(
      ClientConnectionTable clients, long inactiveBeforeNanos, long unreadBeforeNanos) {
    return clients
        .evictable(inactiveBeforeNanos, unreadBeforeNanos)
        .or(clients::leastRecentlyActive)
        .orElseThrow();
  }

  private static ClientRequest request() {
    return new ClientRequest(
        new ClientRequest.Header("0123456789abcdef", "quick", 0, 0, null),
        new ClientRequest.Statement(new byte[0], 0, 0),
        new ClientRequest.Origin(1, 1),
        0,
        1_000);
  }

  /** A connection within a slow message was closed together with its open request. */
  @Test
  void connectionWithOpenRequestIsNeverOverdue() {
    ClientConnectionTable clients = new ClientConnectionTable(1);
    ClientConnection client = new ClientConnection(null, 0);
    clients.add(client);
    clients.messageReceived(client, 10);
    client.openRequests.put(1, null);
    clients.touch(client, 10);
    clients.messageBegun(client, 20);
    assertEquals(Optional.empty(), clients.overdue(1_000, 1_000));
    assertEquals(Optional.empty(), clients.evictable(1_000, 0));
    client.openRequests.clear();
    clients.touch(client, 900);
    assertEquals(Optional.empty(), clients.overdue(900, 1_000), "within a message, thus not idle");
    assertSame(client, clients.overdue(901, 0).orElseThrow());
  }

  /** A message that kept arriving counted as stalled 2 s after its first byte. */
  @Test
  void continuedMessageIsActivityUpToItsLongestTime() {
    ClientConnectionTable clients = new ClientConnectionTable(2);
    ClientConnection slow = new ClientConnection(null, 0);
    ClientConnection stalled = new ClientConnection(null, 0);
    clients.add(slow);
    clients.add(stalled);
    clients.messageBegun(slow, 10);
    clients.messageBegun(stalled, 10);
    clients.messageContinued(slow, 500);
    assertSame(stalled, clients.overdue(11, 0).orElseThrow());
    clients.remove(stalled);
    assertEquals(Optional.empty(), clients.overdue(500, 1_000));
    long last = 9 + ClientConnectionTable.MAX_MESSAGE_NANOS;
    clients.messageContinued(slow, last);
    clients.messageContinued(slow, last + 1);
    assertSame(slow, clients.overdue(last + 1, 0).orElseThrow(), "it must end at some time");
  }

  @Test
  void staleHandleFindsNothing() {
    GenerationalSlots<String> slots = new GenerationalSlots<>(2);
    long a = slots.add("a");
    slots.remove(a);
    long b = slots.add("b");
    assertNotEquals(a, b);
    assertNull(slots.get(a));
    slots.remove(a);
    assertEquals("b", slots.get(b));
    assertEquals(1, slots.size());
    assertNull(slots.get(GenerationalSlots.NONE));
  }

  @Test
  void fullTableRejectsFurtherValues() {
    GenerationalSlots<Integer> slots = new GenerationalSlots<>(200);
    for (int i = 0; i < 200; i++) {
      assertEquals(i, slots.get(slots.add(i)));
    }
    assertEquals(GenerationalSlots.NONE, slots.add(200));
    assertEquals(200, slots.all().size());
  }

  @Test
  void deadlinesAreOrderedByTimeThenInsertion() {
    DeadlineQueue deadlines = new DeadlineQueue();
    List<String> done = new ArrayList<>();
    deadlines.add(20, () -> done.add("c"));
    deadlines.add(10, () -> done.add("a"));
    deadlines.add(10, () -> done.add("b"));
    DeadlineQueue.Deadline gone = deadlines.add(5, () -> done.add("x"));
    deadlines.cancel(gone);
    deadlines.cancel(gone);
    deadlines.cancel(null);
    assertEquals(10, deadlines.next());
    assertNull(deadlines.poll(9));
    for (Runnable due = deadlines.poll(20); due != null; due = deadlines.poll(20)) {
      due.run();
    }
    assertEquals(List.of("a", "b", "c"), done);
    assertEquals(Long.MAX_VALUE, deadlines.next());
  }

  @Test
  void outcomeDependsOnAttemptProgress() {
    assertEquals(AttemptOutcome.UNREACHED, AttemptProgress.NOT_WRITTEN.outcomeIfConnectionLost);
    assertEquals(AttemptOutcome.UNREACHED, AttemptProgress.PARTLY_WRITTEN.outcomeIfConnectionLost);
    // The unwritten rest is still sent, before the cancel command.
    assertEquals(AttemptOutcome.TIMEOUT, AttemptProgress.PARTLY_WRITTEN.outcomeIfTimedOut);
    assertEquals(AttemptOutcome.UNREACHED, AttemptProgress.NOT_WRITTEN.outcomeIfTimedOut);
    assertEquals(AttemptOutcome.RESET, AttemptProgress.SENT.outcomeIfConnectionLost);
    assertEquals(AttemptOutcome.TIMEOUT, AttemptProgress.SENT.outcomeIfTimedOut);
    assertEquals(AttemptOutcome.RESET, AttemptProgress.RECEIVING_RESULT.outcomeIfConnectionLost);
  }

  private static ClientRequest request(String id, String statement) {
    byte[] bytes = statement.getBytes(StandardCharsets.UTF_8);
    return new ClientRequest(
        new ClientRequest.Header(id, "quick", 0, 0, null),
        new ClientRequest.Statement(bytes, 0, bytes.length),
        new ClientRequest.Origin(1, 1),
        0,
        1_000);
  }

  private static ClientRequest held(RequestIdTable ids, String id, long closedAtNanos) {
    ClientRequest request = request(id, "select " + id);
    ids.hold(request);
    request.closedAtNanos = closedAtNanos;
    return request;
  }

  @Test
  void idIsFreedOnlyByRequestThatHoldsIt() {
    RequestIdTable ids = new RequestIdTable();
    ClientRequest holder = held(ids, "a", 10);
    ids.release(request("a", "select 2"));
    assertSame(holder, ids.holder("a").orElseThrow());
    assertEquals(Optional.empty(), ids.lastEnded("a"));
    ids.release(holder);
    assertEquals(Optional.empty(), ids.holder("a"));
    assertEquals(
        new RequestIdTable.EndedRequest(1, StatementFingerprint.of(holder), true, 10),
        ids.lastEnded("a").orElseThrow());
    assertEquals(0, ids.heldCount());
  }

  /** Ids are new with every request: a table that keeps them all would grow without end. */
  @Test
  void endedRequestsAreKeptForLimitedTimeAndInLimitedNumber() {
    RequestIdTable ids = new RequestIdTable();
    for (int i = 0; i < 2 * RequestIdTable.MAX_ENDED; i++) {
      ids.release(held(ids, "id" + i, 10));
    }
    assertEquals(RequestIdTable.MAX_ENDED, ids.endedCount());
    ids.release(held(ids, "late", 11 + RequestIdTable.ENDED_RETENTION_NANOS));
    assertEquals(1, ids.endedCount());
    assertTrue(ids.lastEnded("late").isPresent());
  }

  @Test
  void fingerprintTellsStatementsApart() {
    StatementFingerprint fingerprint = StatementFingerprint.of(request("a", "select 12"));
    assertEquals(fingerprint, StatementFingerprint.of(request("b", "select 12")));
    assertNotEquals(fingerprint, StatementFingerprint.of(request("a", "select 21")));
    assertNotEquals(fingerprint, StatementFingerprint.of(request("a", "select 123")));
  }

  /** Ids come from clients without end: a connection remembers the latest ones only. */
  @Test
  void connectionExpectsResponsesToLastWithdrawnAttempts() {
    EngineConnection connection = new EngineConnection("s-00000001", 0);
    connection.attemptWithdrawn("first");
    for (int i = 1; i < EngineConnection.MAX_WITHDRAWN_IDS; i++) {
      connection.attemptWithdrawn("id" + i);
    }
    assertTrue(connection.mayRespondToWithdrawn("first"));
    assertFalse(connection.mayRespondToWithdrawn("other"));
    connection.attemptWithdrawn("last");
    assertFalse(connection.mayRespondToWithdrawn("first"));
    assertTrue(connection.mayRespondToWithdrawn("last"));
  }

  private static ClientRequest keyed(String key, int classIndex, String statement) {
    byte[] bytes = statement.getBytes(StandardCharsets.UTF_8);
    return new ClientRequest(
        new ClientRequest.Header("id", "class", classIndex, 0, key),
        new ClientRequest.Statement(bytes, 0, bytes.length),
        new ClientRequest.Origin(1, 1),
        0,
        1_000);
  }

  private static QueryClass queryClass(Idempotency idempotency) {
    return new QueryClass(
        1,
        1,
        1,
        1,
        0,
        idempotency,
        DeduplicationScope.ALL,
        1,
        false,
        false,
        List.of(),
        List.of(),
        1,
        false,
        false);
  }

  @Test
  void keyIsTakenUntilLastOfItsRequestsIsRemoved() {
    IdempotencyKeyTable keys =
        new IdempotencyKeyTable(
            List.of(queryClass(Idempotency.IDEMPOTENT_BY_KEY), queryClass(Idempotency.IDEMPOTENT)));
    ClientRequest first = keyed("k", 0, "a");
    ClientRequest second = keyed("k", 0, "a");
    keys.add(first);
    assertFalse(keys.isTaken(second));
    keys.add(second);
    assertTrue(keys.isTaken(keyed("k", 0, "b")));
    assertTrue(keys.isTaken(keyed("k", 1, "b")), "engines do not look at the class");
    assertFalse(keys.isTaken(keyed("other", 0, "b")));
    assertFalse(keys.isTaken(keyed(null, 1, "b")));
    keys.remove(first);
    assertTrue(keys.isTaken(keyed("k", 0, "b")));
    keys.remove(second);
    assertFalse(keys.isTaken(keyed("k", 0, "b")));
    keys.add(keyed("k", 1, "a"));
    assertEquals(0, keys.size(), "the class needs no key");
  }
}
