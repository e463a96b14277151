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
import reachloom.gateway.wire.EngineResponseDecoder;
import reachloom.gateway.wire.TableGroup;
import reachloom.gateway.wire.ThriftReader;
import reachloom.gateway.wire.ThriftWriter;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * Plays made-up queries through a decision module of its own and through the codecs, and asks the
 * gateway's own address whether it is there. A virtual machine compiles code while it first runs:
 * without this, the first clients would pay for it.
 */
final class WarmUp implements SchedulerActions {
  private static final Logger LOG = System.getLogger(WarmUp.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long LONGEST =
      800 * MILLISECOND; // on the machine's clock; a restart waits for it

  /** Playing takes turns with the gateway's own threads, also where only one may run at once. */
  private static final long TURN = 10 * MILLISECOND;

  private static final long PAUSE = MILLISECOND / 10;
  private static final long STEP = MILLISECOND / 4; // between queries, in the time that is played
  private static final int OUT_AT_ONCE = 64;
  private static final int NOTE_EACH = 8; // attempts of which one tells a note
  private static final int CHECKS = 4_000;
  private static final int CHECKS_AT_ONCE = 16;
  private static final int CHECK_TIMEOUT_MS = 2_000;
  private static final int PAGE = 1_500;
  private static final String STATEMENT =
      "select a.id, a.state /* sales_1.x */ from sales_17.orders a "
          + "join staging.parts p on p.id = a.id where a.name = 'it''s from sales_2.y' -- sales_3.z";

  private record Sent(String query, int attempt, String engine, long at) {}

  private final GatewayConfig config;
  private final SchedulerEvents module;
  private final ArrayDeque<Sent> out = new ArrayDeque<>();
  private final Map<String, Integer> attempts = new LinkedHashMap<>();
  private final DeadlineQueue timers = new DeadlineQueue();
  private final EngineResponseDecoder decoder = new EngineResponseDecoder();
  private long now;
  private int answered;

  WarmUp(GatewayConfig config, Function<SchedulerActions, SchedulerEvents> factory) {
    this.config = config;
    module = factory.apply(this);
  }

  /**
   * Plays until the time is up; the gateway lets clients in while it does, which is told by that
   * latch.
   */
  void run(CountDownLatch open) {
    long start = System.nanoTime();
    try {
      play(() -> System.nanoTime() - start < LONGEST * 2 / 3);
    } catch (RuntimeException e) { // it is no more than a rehearsal
      LOG.log(Level.WARNING, "the rehearsal ended early", e);
    }
    int checks = 0;
    try {
      if (open.await(LONGEST, TimeUnit.NANOSECONDS)) {
        checks = check(config.listen(), start);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      LOG.log(Level.WARNING, "the gateway does not answer at its own address: {0}", e.getMessage());
    }
    LOG.log(
        Level.INFO,
        "rehearsed {0} queries and {1} checks in {2} ms",
        answered,
        checks,
        (System.nanoTime() - start) / MILLISECOND);
  }

  /** Plays one query after the other for as long as that says; gives how many were served. */
  int play(BooleanSupplier goOn) {
    now = MILLISECOND;
    List<EngineEndpoint> engines =
        config.knownEngines().stream().map(EngineMember::endpoint).toList();
    module.onStart(now, config.seed(), config.settings());
    module.onEndpoints(now, true, engines);
    byte[] page = "a\tb\tc\n".repeat(PAGE / 6).getBytes(StandardCharsets.UTF_8);
    long turn = System.nanoTime();
    for (int i = 0; goOn.getAsBoolean(); i++) {
      if (System.nanoTime() - turn > TURN) { // the gateway is there already, and clients may be
        LockSupport.parkNanos(PAUSE);
        turn = System.nanoTime();
      }
      now += STEP;
      for (Runnable due = timers.poll(now); due != null; due = timers.poll(now)) {
        due.run();
      }
      arrive(i);
      while (out.size() > OUT_AT_ONCE) {
        end(out.poll(), i, page);
      }
    }
    return answered;
  }

  private void arrive(int i) {
    String id = String.format("%016x", i);
    int queryClass = i % config.names().classes().size();
    byte[] frame =
        execute(
            i,
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
                id + id));
    if (ThriftReader.read(frame) instanceof ClientCall.Execute call) {
      attempts.put(id, 0);
      // All the time of its class: one that can't end in its time is refused, and rehearses
      // nothing.
      long time = config.settings().classes().get(queryClass).deadlineNanos();
      module.onQuery(
          now,
          new Query(id, queryClass, 0, null, time, 0, 0, TableGroup.of(call.statement()), false));
    }
  }

  private void end(Sent s, int i, byte[] page) {
    if (i % NOTE_EACH == 0) {
      module.onProgress(
          now, new ProgressReport(s.query(), s.attempt(), s.engine(), ProgressKind.PROGRESS, 0.5));
    }
    byte[] head =
        (s.query() + " OK fetches=1,effort=40,high=64 " + page.length + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] bytes =
        ByteBuffer.allocate(head.length + page.length + 2)
            .put(head)
            .put(page)
            .put((byte) '\r')
            .put((byte) '\n')
            .array();
    decoder.feed(
        bytes,
        0,
        bytes.length,
        a -> {
          ThriftWriter.answer(i, List.of(Bytes.of(a.body())));
          answered++;
          attempts.remove(a.id());
          module.onAttemptEnded(
              now,
              new AttemptResult(
                  a.id(),
                  s.attempt(),
                  s.engine(),
                  AttemptOutcome.SERVED,
                  now - s.at(),
                  true,
                  40,
                  64,
                  null));
        });
  }

  /** A call as clients write it. */
  static byte[] execute(int seq, Map<String, String> fields) {
    ByteBuffer out = ByteBuffer.allocate(2048).putInt(0x80010001);
    text(out, "execute")
        .putInt(seq)
        .put((byte) 13)
        .putShort((short) 1)
        .put((byte) 11)
        .put((byte) 11)
        .putInt(fields.size());
    fields.forEach((k, v) -> text(text(out, k), v));
    text(out.put((byte) 11).putShort((short) 2), STATEMENT).put((byte) 0).flip();
    byte[] frame = new byte[out.remaining()];
    out.get(frame);
    return frame;
  }

  private static ByteBuffer text(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return out.putInt(bytes.length).put(bytes);
  }

  /** Asks the gateway on its own socket, as clients do. */
  private static int check(InetSocketAddress address, long start) throws IOException {
    ByteBuffer call = ByteBuffer.allocate(32).putInt(0).putInt(0x80010001);
    text(call, "check")
        .putInt(1)
        .put((byte) 2)
        .putShort((short) 1)
        .put((byte) 1)
        .put((byte) 0)
        .flip();
    call.putInt(0, call.remaining() - Integer.BYTES);
    byte[] bytes = new byte[call.remaining()];
    call.get(bytes);
    int done = 0;
    while (done < CHECKS && System.nanoTime() - start < LONGEST) {
      try (Socket socket = new Socket()) { // a new one each time: clients, too, come and go
        socket.connect(address, CHECK_TIMEOUT_MS);
        socket.setSoTimeout(CHECK_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        OutputStream to = socket.getOutputStream();
        DataInputStream from = new DataInputStream(socket.getInputStream());
        for (int i = 0; i < CHECKS_AT_ONCE; i++) {
          to.write(bytes);
        }
        for (int i = 0; i < CHECKS_AT_ONCE; i++) {
          from.skipNBytes(from.readInt());
          done++;
        }
      }
    }
    return done;
  }

  // ---- What the module does ----

  @Override
  public void forward(String query, String engine, long timeout) {
    int number = attempts.merge(query, 1, Integer::sum) - 1;
    out.add(new Sent(query, number, engine, now));
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
    timers.add(now + delay, () -> module.onTimer(now, token));
  }

  @Override
  public void checkHealth(String engine) {
    timers.add(
        now + MILLISECOND,
        () -> module.onHealthCheck(now, engine, true, new LoadReport(0.5, 0, 0.5, 0.5)));
  }

  @Override
  public void watchEndpoints() {}

  @Override
  public void log(String line) {}
}
