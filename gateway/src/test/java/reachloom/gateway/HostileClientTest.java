package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.GatewayProcess;
import reachloom.standin.HostileClient;
import reachloom.standin.HostileClient.Behavior;
import reachloom.standin.ThriftClient;

/**
 * Guards against clients that make the gateway answer others late, or run out of memory, by what
 * they send. The gateway is a process with the flags of the deploy file.
 */
@Timeout(90)
class HostileClientTest {
  private static final Pattern DEPLOYED_RUN = Pattern.compile("(?m)^run = \"exec java (.*?) -jar");
  private static final long MAX_RESIDENT_BYTES = 192L << 20;
  private static final int CLIENTS = 4;
  private static final int LIMIT_MS = 1_500;

  /** An answer counts as lost half a second after its time, and 50 ms more on sockets. */
  private static final int MAX_ANSWER_MS = LIMIT_MS + 500 + 50;

  private static final long REQUEST_INTERVAL_MS = 20;
  private static final long HOSTILE_MS = 4_000;
  private static final Map<String, String> SOUND_FIELDS =
      Map.of("verb", "quick", "limit", Integer.toString(LIMIT_MS), "team", "one");

  @TempDir Path folder;

  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger unserved = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final List<HostileClient> hostile = new ArrayList<>();
  private FakeEngine engine;
  private FakeChangeLog changeLog;
  private GatewayProcess gateway;

  @BeforeEach
  void start() throws Exception {
    engine = new FakeEngine();
    engine.setMeanServiceTime(1);
    changeLog = new FakeChangeLog(1);
    String config =
        GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine)
            .replace("\"quotaPerS\":1000", "\"quotaPerS\":100000");
    gateway = new GatewayProcess(folder, config, Map.of("JAVA_TOOL_OPTIONS", deployedFlags()));
    gateway.ready().close();
  }

  @AfterEach
  void end() throws Exception {
    closeHostileClients();
    gateway.close();
    engine.close();
    changeLog.close();
  }

  private void closeHostileClients() throws IOException {
    for (HostileClient client : hostile) {
      client.close();
    }
  }

  private boolean isServed() {
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      return client.run("select 1").kind().equals("ANSWER");
    } catch (IOException e) {
      return false;
    }
  }

  private static String deployedFlags() throws IOException {
    Matcher run = DEPLOYED_RUN.matcher(Files.readString(Path.of("../deploy/balancer.toml")));
    assertTrue(run.find());
    return Arrays.stream(run.group(1).split(" "))
        .filter(flag -> !flag.startsWith("-XX:SharedArchiveFile"))
        .collect(Collectors.joining(" "));
  }

  private static int hostileClients(Behavior behavior) {
    return switch (behavior) {
      case HALF_REQUEST, SLOW_REQUEST -> 250;
      case FLOOD_AND_LEAVE -> 20;
      case CHECKS, INTERRUPTED_REQUESTS, INTERRUPTED_BATCHES -> 1;
      default -> 6;
    };
  }

  /** Sends one request after the other; counts the answers. */
  private void runRequests(long untilNanos) {
    while (System.nanoTime() < untilNanos) {
      long sentNanos = System.nanoTime();
      try (ThriftClient client = new ThriftClient(gateway.listen)) {
        boolean answer = client.run("select 1", "limit", "" + LIMIT_MS).kind().equals("ANSWER");
        (answer ? served : unserved).incrementAndGet();
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        if (tookMs > MAX_ANSWER_MS) {
          late.incrementAndGet();
        }
        Thread.sleep(REQUEST_INTERVAL_MS);
      } catch (IOException e) {
        late.incrementAndGet(); // no answer
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Others got 25 of 131 answers, 17 of them late, or the process ran out of heap. */
  @ParameterizedTest
  @EnumSource(Behavior.class)
  void otherClientsAreServedInTimeBesideHostileOnes(Behavior behavior) throws Exception {
    for (int i = 0; i < hostileClients(behavior); i++) {
      hostile.add(new HostileClient(gateway.listen, behavior, SOUND_FIELDS));
    }
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HOSTILE_MS);
    List<CompletableFuture<Void>> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(CompletableFuture.runAsync(() -> runRequests(untilNanos)));
    }
    long maxResidentBytes = 0;
    while (System.nanoTime() < untilNanos && gateway.alive()) {
      maxResidentBytes = Math.max(maxResidentBytes, gateway.residentBytes());
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
    clients.forEach(CompletableFuture::join);
    String seen =
        String.format(
            "%d served, %d refused or failed, %d late or unanswered, %d MB resident",
            served.get(), unserved.get(), late.get(), maxResidentBytes >> 20);
    assertTrue(gateway.alive(), "the process has ended; " + seen);
    assertTrue(maxResidentBytes < MAX_RESIDENT_BYTES, seen);
    assertEquals(0, late.get(), seen);
    assertTrue(served.get() > 3 * unserved.get(), seen);
    closeHostileClients();
    GatewayHarness.await(this::isServed);
  }
}
