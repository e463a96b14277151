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
 * A gateway in this process, on real connections, with a scheduler that the test hands in; and what
 * brings about one order of events: its loop can be held while bytes are sent, and is released once
 * they are read.
 */
abstract class GatewayHarness {
  @TempDir Path folder;

  /** What the module was told, where that is one that notes it. */
  final BlockingQueue<Object> told = new LinkedBlockingQueue<>();

  final EventLoop loop = new EventLoop();
  GatewayConfig config;
  SchedulerActions actions;
  GatewayService gateway;

  /** Hears of engines beside the module, or null. */
  EngineOutcomeListener observer;

  /** What the scripted module says of attempts that are about to begin. */
  volatile boolean allowed = true;

  /** The engine to which it sends what arrives, or null. */
  volatile String sendAtOnceTo;

  /** Starts the gateway: it listens, and follows its change log. */
  void serve(String text, Function<SchedulerActions, SchedulerEvents> module) throws Exception {
    config = config(text);
    gateway =
        new GatewayService(
            config,
            loop,
            a -> {
              actions = a;
              return module.apply(a);
            });
    if (observer != null) {
      gateway.setEngineOutcomeListener(observer);
    }
    gateway.listen();
    loop.post(0, gateway::start);
    FakeEngine.daemon(loop);
  }

  /** A module that notes what it is told and does little by itself: as the two fields say. */
  SchedulerEvents scripted() {
    return new GatewayServiceTest.Recorder(told) {
      @Override
      public boolean mayStart(long now, String query, int attempt) {
        return allowed;
      }

      @Override
      public void onQuery(long now, Query query) {
        super.onQuery(now, query);
        if (sendAtOnceTo != null) {
          actions.forward(query.id(), sendAtOnceTo, 0);
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
  void endLoop() {
    loop.post(
        0,
        () -> {
          gateway.close();
          loop.end();
        });
  }

  <T> T next(Class<T> type) throws InterruptedException {
    Object event = told.poll(20, TimeUnit.SECONDS);
    assertTrue(type.isInstance(event), "told " + event + " for " + type.getSimpleName());
    return type.cast(event);
  }

  void act(Runnable action) {
    loop.post(0, action);
  }

  int held(String table) {
    CompletableFuture<Integer> held = new CompletableFuture<>();
    loop.post(0, () -> held.complete(gateway.tableSizes().get(table)));
    return held.join();
  }

  static void await(BooleanSupplier wanted) throws InterruptedException {
    for (int i = 0; i < 4_000 && !wanted.getAsBoolean(); i++) {
      Thread.sleep(5);
    }
    assertTrue(wanted.getAsBoolean());
  }

  /** Holds the loop until the latch opens; returns once it is held. */
  CountDownLatch hold() throws InterruptedException {
    return holdAfter(() -> {});
  }

  /** Does something on the loop and holds it within the same turn, as a busy one is held. */
  CountDownLatch holdAfter(Runnable action) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    loop.post(
        0,
        () -> {
          action.run();
          held.countDown();
          try {
            go.await(20, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    assertTrue(held.await(10, TimeUnit.SECONDS));
    return go;
  }

  /**
   * While the loop is held: what was sent before has been read by the thread of the sockets. It
   * goes round all connections: once a second message has been read, the round in which the first
   * one was is over.
   */
  void allHasBeenRead() throws Exception {
    for (int i = 0; i < 2; i++) {
      try (ThriftClient fence = new ThriftClient(config.listen())) {
        int before = loop.queuedBytes();
        fence.execute("x".repeat(1_000), "verb", "strange");
        await(() -> loop.queuedBytes() >= before + 1_000);
      }
    }
  }
}
