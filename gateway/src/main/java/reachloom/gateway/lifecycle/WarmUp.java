package reachloom.gateway.lifecycle;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.gateway.state.DeadlineQueue;
import reachloom.gateway.wire.Bytes;
import reachloom.gateway.wire.ClientCall;
import reachloom.gateway.wire.EngineCommandWriter;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.EngineResponseDecoder;
import reachloom.gateway.wire.TableGroup;
import reachloom.gateway.wire.ThriftReader;
import reachloom.gateway.wire.ThriftWriter;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * Warms up the virtual machine, which compiles code when it first runs: simulates synthetic queries
 * with a separate scheduler and the codecs, then sends {@code check} calls to the gateway's own
 * address. Without it, the first requests of clients would wait for the compilation.
 *
 * <p>Runs on its own thread and shares no state with the gateway that starts beside it.
 */
final class WarmUp implements SchedulerActions {
  private static final Logger LOG = System.getLogger(WarmUp.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Real time after which the warm-up sends no more checks: a restart waits for it. Queries are
   * simulated for two thirds of this time; the wait until clients are admitted, which follows, is
   * limited to this time as well.
   */
  private static final long MAX_DURATION_NANOS = 800 * NANOS_PER_MILLI;

  /**
   * Real time after which the simulation pauses for {@link #PAUSE_NANOS}, so that other threads run
   * even on a single CPU.
   */
  private static final long MAX_BURST_NANOS = 10 * NANOS_PER_MILLI;

  private static final long PAUSE_NANOS = NANOS_PER_MILLI / 10;

  /** Simulated time between queries. */
  private static final long QUERY_INTERVAL_NANOS = NANOS_PER_MILLI / 4;

  private static final int MAX_ATTEMPTS_IN_FLIGHT = 64;

  /** One attempt in this many reports its progress. */
  private static final int ATTEMPTS_PER_PROGRESS_REPORT = 8;

  private static final int MAX_CHECKS = 4_000;
  private static final int CHECKS_PER_CONNECTION = 16;
  private static final int CHECK_TIMEOUT_MS = 2_000;
  private static final int MAX_CALL_BYTES = 2_048;
  private static final int PAGE_BYTES = 1_500;
  private static final byte[] LINE_END = {'\r', '\n'};
  private static final String ROW = "a\tb\tc\n";
  private static final byte[] PAGE =
      ROW.repeat(PAGE_BYTES / ROW.length()).getBytes(StandardCharsets.UTF_8);
  private static final String STATEMENT =
      "select a.id, a.state /* sales_1.x */ from sales_17.orders a "
          + "join staging.parts p on p.id = a.id where a.name = 'it''s from sales_2.y' -- sales_3.z";

  private record ForwardedAttempt(
      String query, int attempt, String engine, long forwardedAtNanos) {}

  private final GatewayConfig config;
  private final SchedulerEvents scheduler;
  private final ArrayDeque<ForwardedAttempt> inFlight = new ArrayDeque<>();
  private final Map<String, Integer> attempts = new LinkedHashMap<>();
  private final DeadlineQueue timers = new DeadlineQueue();
  private final EngineResponseDecoder decoder = new EngineResponseDecoder();

  /** The simulated time. */
  private long now;

  private int served;

  /**
   * Creates a warm-up for a configuration.
   *
   * @param scheduler creates the scheduler of the simulated queries
   */
  WarmUp(GatewayConfig config, Function<SchedulerActions, SchedulerEvents> scheduler) {
    this.config = config;
    this.scheduler = scheduler.apply(this);
  }

  /**
   * Runs the warm-up until its time is up.
   *
   * @param listening opens once the gateway admits clients
   */
  void run(CountDownLatch listening) {
    long start = System.nanoTime();
    try {
      simulateQueries(() -> System.nanoTime() - start < MAX_DURATION_NANOS * 2 / 3);
    } catch (RuntimeException e) { // no client depends on the warm-up
      LOG.log(Level.WARNING, "the warm-up queries failed; the gateway continues", e);
    }
    int checks = 0;
    try {
      if (listening.await(MAX_DURATION_NANOS, TimeUnit.NANOSECONDS)) {
        checks = sendChecks(config.listen(), start);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      LOG.log(
          Level.WARNING,
          "the warm-up got no response from the gateway at {0}: {1}",
          config.listen(),
          e.getMessage());
    }
    LOG.log(
        Level.INFO,
        "warmed up with {0} queries and {1} checks in {2} ms",
        served,
        checks,
        (System.nanoTime() - start) / NANOS_PER_MILLI);
  }

  // ---- Simulated queries ----

  /** Simulates queries while the supplier returns true; returns how many were served. */
  int simulateQueries(BooleanSupplier shouldContinue) {
    now = NANOS_PER_MILLI;
    scheduler.onStart(now, config.seed(), config.settings());
    scheduler.onEndpoints(
        now, true, config.knownEngines().stream().map(EngineMember::endpoint).toList());
    long burstStart = System.nanoTime();
    for (int i = 0; shouldContinue.getAsBoolean(); i++) {
      if (System.nanoTime() - burstStart > MAX_BURST_NANOS) { // clients may have connected already
        LockSupport.parkNanos(PAUSE_NANOS);
        burstStart = System.nanoTime();
      }
      now += QUERY_INTERVAL_NANOS;
      for (Runnable due = timers.poll(now); due != null; due = timers.poll(now)) {
        due.run();
      }
      submitQuery(i);
      while (inFlight.size() > MAX_ATTEMPTS_IN_FLIGHT) {
        completeAttempt(inFlight.poll(), i);
      }
    }
    return served;
  }

  private void submitQuery(int number) {
    String id = String.format("%016x", number);
    int queryClass = number % config.names().classes().size();
    Map<String, String> fields =
        Map.of(
            "verb",
            config.names().classes().get(queryClass),
            "txn",
            id,
            "limit",
            "1500",
            "team",
            "t",
            "unique",
            id + id);
    if (ThriftReader.read(executeMessage(number, fields)) instanceof ClientCall.Execute call) {
      attempts.put(id, 0);
      // The whole time of the class: a query that can't end in its time is rejected at once.
      long remainingNanos = config.settings().classes().get(queryClass).deadlineNanos();
      int group = TableGroup.of(call.statement());
      scheduler.onQuery(
          now, new Query(id, queryClass, 0, null, remainingNanos, 0, 0, group, false));
    }
  }

  private void completeAttempt(ForwardedAttempt attempt, int number) {
    if (number % ATTEMPTS_PER_PROGRESS_REPORT == 0) {
      scheduler.onProgress(
          now,
          new ProgressReport(
              attempt.query(), attempt.attempt(), attempt.engine(), ProgressKind.PROGRESS, 0.5));
    }
    byte[] response = engineResponse(attempt.query());
    decoder.feed(response, 0, response.length, page -> served(attempt, number, page));
  }

  /** Returns an engine's response to a query: its head and one page. */
  private static byte[] engineResponse(String query) {
    byte[] head =
        (query + " OK fetches=1,effort=40,high=64 " + PAGE.length + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(head.length + PAGE.length + LINE_END.length)
        .put(head)
        .put(PAGE)
        .put(LINE_END)
        .array();
  }

  private void served(ForwardedAttempt attempt, int number, EngineResponse page) {
    ThriftWriter.answer(number, List.of(Bytes.of(page.body())));
    served++;
    attempts.remove(page.id());
    scheduler.onAttemptEnded(
        now,
        new AttemptResult(
            page.id(),
            attempt.attempt(),
            attempt.engine(),
            AttemptOutcome.SERVED,
            now - attempt.forwardedAtNanos(),
            true,
            40,
            64,
            null));
  }

  // ---- Calls of clients ----

  /** Returns a message that executes the statement, without the length of its frame. */
  private static byte[] executeMessage(int seq, Map<String, String> fields) {
    ByteBuffer out = messageHeader(ByteBuffer.allocate(MAX_CALL_BYTES), "execute", seq);
    out.put((byte) 13).putShort((short) 1).put((byte) 11).put((byte) 11).putInt(fields.size());
    fields.forEach((name, value) -> text(text(out, name), value));
    text(out.put((byte) 11).putShort((short) 2), STATEMENT).put((byte) 0).flip();
    return bytes(out);
  }

  /** Returns a complete frame of a {@code check} call. */
  private static byte[] checkFrame() {
    ByteBuffer out = messageHeader(ByteBuffer.allocate(MAX_CALL_BYTES).putInt(0), "check", 1);
    out.put((byte) 2).putShort((short) 1).put((byte) 1).put((byte) 0).flip();
    out.putInt(0, out.remaining() - Integer.BYTES);
    return bytes(out);
  }

  private static ByteBuffer messageHeader(ByteBuffer out, String method, int seq) {
    return text(out.putInt(0x80010001), method).putInt(seq);
  }

  private static ByteBuffer text(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return out.putInt(bytes.length).put(bytes);
  }

  private static byte[] bytes(ByteBuffer out) {
    byte[] bytes = new byte[out.remaining()];
    out.get(bytes);
    return bytes;
  }

  // ---- Check calls to the gateway itself ----

  private static int sendChecks(InetSocketAddress address, long start) throws IOException {
    byte[] call = checkFrame();
    int done = 0;
    while (done < MAX_CHECKS && System.nanoTime() - start < MAX_DURATION_NANOS) {
      try (Socket socket = new Socket()) { // warms up accept and close as well
        socket.connect(address, CHECK_TIMEOUT_MS);
        socket.setSoTimeout(CHECK_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        OutputStream to = socket.getOutputStream();
        DataInputStream from = new DataInputStream(socket.getInputStream());
        for (int i = 0; i < CHECKS_PER_CONNECTION; i++) {
          to.write(call);
        }
        for (int i = 0; i < CHECKS_PER_CONNECTION; i++) {
          from.skipNBytes(from.readInt());
          done++;
        }
      }
    }
    return done;
  }

  // ---- Actions of the scheduler ----

  @Override
  public void forward(String query, String engine, long timeout) {
    int number = attempts.merge(query, 1, Integer::sum) - 1;
    inFlight.add(new ForwardedAttempt(query, number, engine, now));
    EngineCommandWriter.run(
        query, "a", 1, query, 1, Bytes.of(STATEMENT.getBytes(StandardCharsets.UTF_8)));
  }

  @Override
  public void setResources(String query, double grantMb, int priority) {}

  @Override
  public void cancelAttempt(String query, int attempt) {}

  @Override
  public void reject(String query, long retryAfter) {
    attempts.remove(query);
    ThriftWriter.busy(1);
  }

  @Override
  public void fail(String query) {
    attempts.remove(query);
    ThriftWriter.failed(1);
  }

  @Override
  public void setTimer(long delay, long token) {
    timers.add(now + delay, () -> scheduler.onTimer(now, token));
  }

  @Override
  public void checkHealth(String engine) {
    LoadReport report = new LoadReport(0.5, 0, 0.5, 0.5);
    timers.add(now + NANOS_PER_MILLI, () -> scheduler.onHealthCheck(now, engine, true, report));
  }

  @Override
  public void watchEndpoints() {}

  @Override
  public void log(String line) {}
}
