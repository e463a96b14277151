package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.GatewayConfig;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.standin.FakeEngine;
import reachloom.standin.ThriftClient;

/**
 * A gateway in this process, on real connections, with a scheduler that the test supplies. A test
 * forces an order of events by pausing the event loop while bytes are sent, and resuming it once
 * they are read.
 */
abstract class GatewayHarness {
  /** As much as one read of a new connection returns with the rest of the message. */
  private static final int FENCE_BYTES = 1_800;

  @TempDir Path folder;

  /** The events that the scheduler received, if it is a recording one. */
  final BlockingQueue<Object> events = new LinkedBlockingQueue<>();

  final EventLoop loop = new EventLoop();
  GatewayConfig config;
  SchedulerActions actions;
  GatewayService gateway;

  /** Receives endpoints and outcomes beside the scheduler, or null. */
  EngineOutcomeListener outcomeListener;

  /** Whether the scripted scheduler lets attempts start. */
  volatile boolean startAllowed = true;

  /** The engine to which the scripted scheduler forwards each query on arrival, or null. */
  volatile String forwardImmediatelyTo;

  /** Starts the gateway: it listens, and follows its change log. */
  void startGateway(String text, Function<SchedulerActions, SchedulerEvents> scheduler)
      throws Exception {
    config = config(text);
    gateway =
        new GatewayService(
            config,
            loop,
            a -> {
              actions = a;
              return scheduler.apply(a);
            });
    if (outcomeListener != null) {
      gateway.setEngineOutcomeListener(outcomeListener);
    }
    gateway.listen();
    loop.post(0, gateway::start);
    FakeEngine.daemon(loop);
  }

  /**
   * Returns a scheduler that records events, lets attempts start and forwards queries as the two
   * fields above say, and cancels the first attempt of a query whose client is gone.
   */
  SchedulerEvents scriptedScheduler() {
    return new GatewayServiceTest.RecordingScheduler(events) {
      @Override
      public boolean mayStart(long now, String query, int attempt) {
        return startAllowed;
      }

      @Override
      public void onQuery(long now, Query query) {
        super.onQuery(now, query);
        if (forwardImmediatelyTo != null) {
          actions.forward(query.id(), forwardImmediatelyTo, 0);
        }
      }

      @Override
      public void onClientGone(long now, String query) {
        super.onClientGone(now, query);
        actions.cancelAttempt(query, 0);
      }
    };
  }

  GatewayConfig config(String text) throws Exception {
    return GatewayConfig.fromFile(Files.writeString(folder.resolve("config.json"), text), Map.of());
  }

  @AfterEach
  void stopLoop() {
    loop.post(
        0,
        () -> {
          gateway.close();
          loop.end();
        });
  }

  <T> T nextEvent(Class<T> type) throws InterruptedException {
    Object event = events.poll(20, TimeUnit.SECONDS);
    assertTrue(
        type.isInstance(event), "received " + event + " instead of a " + type.getSimpleName());
    return type.cast(event);
  }

  void runOnLoop(Runnable action) {
    loop.post(0, action);
  }

  int tableSize(String table) {
    CompletableFuture<Integer> size = new CompletableFuture<>();
    loop.post(0, () -> size.complete(gateway.tableSizes().get(table)));
    return size.join();
  }

  static void await(BooleanSupplier wanted) throws InterruptedException {
    for (int i = 0; i < 4_000 && !wanted.getAsBoolean(); i++) {
      Thread.sleep(5);
    }
    assertTrue(wanted.getAsBoolean(), "the awaited condition does not hold after 20 s");
  }

  /** Pauses the loop until the returned latch opens; returns once the loop is paused. */
  CountDownLatch pauseLoop() throws InterruptedException {
    return pauseLoopAfter(() -> {});
  }

  /**
   * Runs an action on the loop and pauses the loop within the same iteration, as if it were busy.
   */
  CountDownLatch pauseLoopAfter(Runnable action) throws InterruptedException {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    loop.post(
        0,
        () -> {
          action.run();
          await(paused, resume);
        });
    assertTrue(paused.await(10, TimeUnit.SECONDS));
    return resume;
  }

  /**
   * Pauses the loop in a deadline until the returned latch opens; returns once it is paused. If it
   * goes on only after the next deadline is due, that is a stall, as of a process that did not run.
   */
  CountDownLatch stallLoop() throws InterruptedException {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    runOnLoop(() -> loop.deadlines().add(loop.now(), () -> await(paused, resume)));
    assertTrue(paused.await(10, TimeUnit.SECONDS));
    return resume;
  }

  private static void await(CountDownLatch paused, CountDownLatch resume) {
    paused.countDown();
    try {
      resume.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * While the loop is paused: waits until the I/O thread has read everything that was sent before.
   * It reads the connections in rounds: once a second message has been read, the round of the first
   * one is complete.
   */
  void awaitSocketsRead() throws Exception {
    for (int i = 0; i < 2; i++) {
      try (ThriftClient fence = new ThriftClient(config.listen())) {
        int before = loop.queuedBytes();
        fence.execute("x".repeat(FENCE_BYTES), "verb", "strange");
        await(() -> loop.queuedBytes() >= before + FENCE_BYTES);
      }
    }
  }
}
