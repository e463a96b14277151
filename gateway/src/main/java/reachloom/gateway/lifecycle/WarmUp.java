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
 * Warms the virtual machine up, which compiles code while it first runs: plays made-up queries
 * through a scheduler of its own and through the codecs, then sends {@code check} calls to the
 * gateway's own address. Without it, the first clients would pay for the compilation.
 *
 * <p>Runs on a thread of its own and shares nothing with the gateway that starts beside it.
 */
final class WarmUp implements SchedulerActions {
  private static final Logger LOG = System.getLogger(WarmUp.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** On the machine's clock: a restart waits for it. */
  private static final long MAX_TIME = 800 * MILLISECOND;

  /** Queries are played for this time, and pause for that, also where one thread runs at once. */
  private static final long TURN_TIME = 10 * MILLISECOND;

  private static final long PAUSE_TIME = MILLISECOND / 10;

  /** Between queries, in simulated time. */
  private static final long QUERY_INTERVAL = MILLISECOND / 4;

  private static final int MAX_ATTEMPTS_IN_FLIGHT = 64;

  /** One attempt in so many reports its progress. */
  private static final int PROGRESS_EACH = 8;

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

  private record ForwardedAttempt(String query, int attempt, String engine, long sentAtNanos) {}

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
   * A warm-up for that configuration.
   *
   * @param scheduler makes the scheduler that it plays to
   */
  WarmUp(GatewayConfig config, Function<SchedulerActions, SchedulerEvents> scheduler) {
    this.config = config;
    this.scheduler = scheduler.apply(this);
  }

  /**
   * Plays until the time is up.
   *
   * @param listening opens once the gateway admits clients
   */
  void run(CountDownLatch listening) {
    long start = System.nanoTime();
    try {
      play(() -> System.nanoTime() - start < MAX_TIME * 2 / 3);
    } catch (RuntimeException e) { // no client depends on it
      LOG.log(Level.WARNING, "the warm-up ended early", e);
    }
    int checks = 0;
    try {
      if (listening.await(MAX_TIME, TimeUnit.NANOSECONDS)) {
        checks = check(config.listen(), start);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      LOG.log(Level.WARNING, "the gateway does not answer at its own address: {0}", e.getMessage());
    }
    LOG.log(
        Level.INFO,
        "warmed up with {0} queries and {1} checks in {2} ms",
        served,
        checks,
        (System.nanoTime() - start) / MILLISECOND);
  }

  // ---- Queries to a scheduler ----

  /** Plays one query after the other while the condition holds; returns how many were served. */
  int play(BooleanSupplier goOn) {
    now = MILLISECOND;
    scheduler.onStart(now, config.seed(), config.settings());
    scheduler.onEndpoints(
        now, true, config.knownEngines().stream().map(EngineMember::endpoint).toList());
    long turn = System.nanoTime();
    for (int i = 0; goOn.getAsBoolean(); i++) {
      if (System.nanoTime() - turn > TURN_TIME) { // clients may be there already
        LockSupport.parkNanos(PAUSE_TIME);
        turn = System.nanoTime();
      }
      now += QUERY_INTERVAL;
      for (Runnable due = timers.poll(now); due != null; due = timers.poll(now)) {
        due.run();
      }
      arrive(i);
      while (inFlight.size() > MAX_ATTEMPTS_IN_FLIGHT) {
        end(inFlight.poll(), i);
      }
    }
    return served;
  }

  private void arrive(int number) {
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
    if (ThriftReader.read(execute(number, fields)) instanceof ClientCall.Execute call) {
      attempts.put(id, 0);
      // All the time of its class: one that can't end in its time is rejected at once.
      long timeLeft = config.settings().classes().get(queryClass).deadlineNanos();
      int group = TableGroup.of(call.statement());
      scheduler.onQuery(now, new Query(id, queryClass, 0, null, timeLeft, 0, 0, group, false));
    }
  }

  private void end(ForwardedAttempt attempt, int number) {
    if (number % PROGRESS_EACH == 0) {
      scheduler.onProgress(
          now,
          new ProgressReport(
              attempt.query(), attempt.attempt(), attempt.engine(), ProgressKind.PROGRESS, 0.5));
    }
    byte[] answer = answer(attempt.query());
    decoder.feed(answer, 0, answer.length, page -> served(attempt, number, page));
  }

  /** An engine's answer to a query: its head and one page. */
  private static byte[] answer(String query) {
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
            now - attempt.sentAtNanos(),
            true,
            40,
            64,
            null));
  }

  // ---- Calls as clients write them ----

  /** A message that executes the statement, without the length of its frame. */
  private static byte[] execute(int seq, Map<String, String> fields) {
    ByteBuffer out = head(ByteBuffer.allocate(MAX_CALL_BYTES), "execute", seq);
    out.put((byte) 13).putShort((short) 1).put((byte) 11).put((byte) 11).putInt(fields.size());
    fields.forEach((name, value) -> text(text(out, name), value));
    text(out.put((byte) 11).putShort((short) 2), STATEMENT).put((byte) 0).flip();
    return bytes(out);
  }

  /** A whole frame that asks whether the gateway is ready. */
  private static byte[] check() {
    ByteBuffer out = head(ByteBuffer.allocate(MAX_CALL_BYTES).putInt(0), "check", 1);
    out.put((byte) 2).putShort((short) 1).put((byte) 1).put((byte) 0).flip();
    out.putInt(0, out.remaining() - Integer.BYTES);
    return bytes(out);
  }

  private static ByteBuffer head(ByteBuffer out, String method, int seq) {
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

  // ---- Checks of the gateway itself ----

  private static int check(InetSocketAddress address, long start) throws IOException {
    byte[] call = check();
    int done = 0;
    while (done < MAX_CHECKS && System.nanoTime() - start < MAX_TIME) {
      try (Socket socket = new Socket()) { // a new one each time: clients come and go, too
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
    timers.add(now + MILLISECOND, () -> scheduler.onHealthCheck(now, engine, true, report));
  }

  @Override
  public void watchEndpoints() {}

  @Override
  public void log(String line) {}
}
