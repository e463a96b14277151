package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.mina.core.future.CloseFuture;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.ThriftClient;

/**
 * A gateway on its event loop, for tests that force an order of events. Its scheduler is supplied
 * by the test, or records events and forwards queries where the test says.
 */
final class OrderingHarness extends GatewayHarness implements AutoCloseable {
  static final String ENGINE = "s-00000001";
  static final String OTHER_ENGINE = "s-00000002";

  /** The engine to which the scheduler forwards a query on arrival; null for none. */
  volatile Function<Query, String> forwardTo = q -> null;

  /** The engine to which the scheduler retries a query as its first attempt ends; null for none. */
  volatile String retryAt;

  /** When the scheduler last allowed an attempt to start, by the id of its query. */
  final Map<String, Long> startedAtNanos = new ConcurrentHashMap<>();

  /** The queries of attempts that were allowed to start after their client was known to be gone. */
  final Set<String> startedAfterClientGone = ConcurrentHashMap.newKeySet();

  /** Creates a gateway with a recording scheduler. */
  OrderingHarness(Path folder, String text) throws Exception {
    this(folder, text, null);
    assertTrue(events.poll(20, TimeUnit.SECONDS) instanceof SchedulerSettings);
    assertTrue(events.poll(20, TimeUnit.SECONDS) instanceof List);
  }

  /** Creates a gateway with the given scheduler; null for a recording one. */
  OrderingHarness(Path folder, String text, Function<SchedulerActions, SchedulerEvents> scheduler)
      throws Exception {
    this.folder = folder;
    startGateway(text, scheduler == null ? actions -> new ForwardingScheduler() : scheduler);
  }

  private final class ForwardingScheduler extends GatewayServiceTest.RecordingScheduler {
    private final Set<String> goneQueries = new HashSet<>();

    ForwardingScheduler() {
      super(events);
    }

    @Override
    public void onQuery(long now, Query query) {
      super.onQuery(now, query);
      String engine = forwardTo.apply(query);
      if (engine != null) {
        actions.forward(query.id(), engine, 0);
      }
    }

    @Override
    public boolean mayStart(long now, String query, int attempt) {
      startedAtNanos.put(query, now);
      if (goneQueries.contains(query)) {
        startedAfterClientGone.add(query);
      }
      return true;
    }

    @Override
    public void onClientGone(long now, String query) {
      super.onClientGone(now, query);
      goneQueries.add(query);
      actions.cancelAttempt(query, 0);
    }

    @Override
    public void onAttemptEnded(long now, AttemptResult end) {
      super.onAttemptEnded(now, end);
      if (retryAt != null && !end.queryFinished() && end.attempt() == 0) {
        actions.forward(end.queryId(), retryAt, 0);
      }
    }
  }

  private static Object field(Object owner, String name) throws ReflectiveOperationException {
    Field field = owner.getClass().getDeclaredField(name);
    field.setAccessible(true);
    return field.get(owner);
  }

  /**
   * Blocks the I/O thread, at the end of a connection, until the returned latch opens; returns once
   * it is blocked. What arrives meanwhile is read only after that.
   */
  CountDownLatch blockSockets() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    try (ThriftClient ending = new ThriftClient(config.listen())) {
      ending.check();
      ClientConnectionTable clients = (ClientConnectionTable) field(gateway, "clientTable");
      runOnLoop(
          () ->
              clients
                  .all()
                  .forEach(client -> blockAtEnd(client.session.getCloseFuture(), blocked, resume)));
      awaitHandled();
    }
    assertTrue(blocked.await(10, TimeUnit.SECONDS));
    return resume;
  }

  private static void blockAtEnd(CloseFuture end, CountDownLatch blocked, CountDownLatch resume) {
    end.addListener(
        future -> {
          blocked.countDown();
          try {
            resume.await(20, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /**
   * While the loop is paused: waits until exactly the given number of tasks is queued, such as the
   * opening or the end of a connection.
   */
  void awaitQueued(int wanted) throws Exception {
    HandoffQueue<?> queue = (HandoffQueue<?>) field(loop, "queue");
    await(() -> queue.size() >= wanted);
    assertEquals(wanted, queue.size());
  }

  /**
   * While the loop runs: waits until everything sent to the gateway before has been read and
   * handled, and everything it had written to connections is sent as far as they accept it.
   */
  void awaitHandled() throws IOException {
    for (int i = 0; i < 2; i++) {
      try (ThriftClient fence = new ThriftClient(config.listen())) {
        fence.check();
      }
    }
  }

  /**
   * Asserts that the scheduler has received no further event of a type, after everything sent to
   * the gateway has been handled.
   */
  void assertNoFurther(Class<?> type) throws IOException {
    awaitHandled();
    assertNull(events.stream().filter(type::isInstance).findFirst().orElse(null));
  }

  /** Asserts that the tables of clients and requests are empty. */
  void assertTablesEmpty() throws InterruptedException {
    for (String table :
        List.of("requests", "ids", "heldIds", "keys", "clients", "statements", "unsentAttempts")) {
      await(() -> tableSize(table) == 0);
      assertEquals(0, tableSize(table), table);
    }
  }

  @Override
  public void close() {
    stopLoop();
  }
}
