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
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.standin.ThriftClient;

/**
 * A gateway on its loop, for tests that bring about an order of events: its module is the one
 * handed in, or one that notes what it is told and sends where the test says.
 */
final class OrderingHarness extends GatewayHarness implements AutoCloseable {
  static final String ENGINE = "s-00000001";
  static final String OTHER = "s-00000002";

  /** Where the noting module sends each query as it arrives; null for nowhere. */
  volatile Function<Query, String> sendTo = q -> null;

  /** Where it sends a query again as its attempt ends, within that event; null for nowhere. */
  volatile String sendAgainTo;

  /**
   * When each attempt began, by its query's id, and those that began after their client's going was
   * told.
   */
  final Map<String, Long> begun = new ConcurrentHashMap<>();

  final Set<String> begunTooLate = ConcurrentHashMap.newKeySet();

  /** A gateway with the noting module. */
  OrderingHarness(Path folder, String text) throws Exception {
    this(folder, text, null);
    assertTrue(told.poll(20, TimeUnit.SECONDS) instanceof SchedulerSettings);
    assertTrue(told.poll(20, TimeUnit.SECONDS) instanceof List);
  }

  /** A gateway with a module of its own. */
  OrderingHarness(Path folder, String text, Function<SchedulerActions, SchedulerEvents> module)
      throws Exception {
    this.folder = folder;
    serve(text, module == null ? actions -> new Noting() : module);
  }

  private final class Noting extends GatewayServiceTest.Recorder {
    private final Set<String> left = new HashSet<>();

    Noting() {
      super(told);
    }

    @Override
    public void onQuery(long now, Query query) {
      super.onQuery(now, query);
      String engine = sendTo.apply(query);
      if (engine != null) {
        actions.forward(query.id(), engine, 0);
      }
    }

    @Override
    public boolean mayStart(long now, String query, int attempt) {
      begun.put(query, now);
      if (left.contains(query)) {
        begunTooLate.add(query);
      }
      return true;
    }

    @Override
    public void onClientGone(long now, String query) {
      super.onClientGone(now, query);
      left.add(query);
      actions.cancelAttempt(query, 0);
    }

    @Override
    public void onAttemptEnded(long now, AttemptResult end) {
      super.onAttemptEnded(now, end);
      if (sendAgainTo != null && !end.queryFinished() && end.attempt() == 0) {
        actions.forward(end.queryId(), sendAgainTo, 0);
      }
    }
  }

  private Object ofLoop(String name) throws ReflectiveOperationException {
    Field field = EventLoop.class.getDeclaredField(name);
    field.setAccessible(true);
    return field.get(loop);
  }

  /**
   * While the loop is held: waits until the thread of the sockets waits for it, with no room for
   * more.
   */
  void awaitFull() throws Exception {
    Semaphore room = (Semaphore) ofLoop("freeBytes");
    await(room::hasQueuedThreads);
  }

  /**
   * While the loop is held: waits until that much waits for it, as an opening or an end of a
   * connection.
   */
  void awaitQueued(int wanted) throws Exception {
    HandoffQueue<?> queue = (HandoffQueue<?>) ofLoop("queue");
    await(() -> queue.size() >= wanted);
    assertEquals(wanted, queue.size());
  }

  /**
   * While the loop runs: what was sent to the gateway before has been read and dealt with, and what
   * it had handed to connections before is written as far as they take it.
   */
  void allHasBeenDealtWith() throws IOException {
    for (int i = 0; i < 2; i++) {
      try (ThriftClient fence = new ThriftClient(config.listen())) {
        fence.check();
      }
    }
  }

  /**
   * Nothing of that kind is told beside what was taken, though all that came has been dealt with.
   */
  void nothingMore(Class<?> type) throws IOException {
    allHasBeenDealtWith();
    assertNull(told.stream().filter(type::isInstance).findFirst().orElse(null));
  }

  /** Nothing is kept of any client or request. */
  void assertNothingKept() throws InterruptedException {
    for (String table : List.of("requests", "ids", "clients", "statements", "unsentAttempts")) {
      await(() -> held(table) == 0);
      assertEquals(0, held(table), table);
    }
  }

  @Override
  public void close() {
    endLoop();
  }
}
