package reachloom.lab.slopes;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.FrameDecoder;
import reachloom.gateway.wire.Listener;
import reachloom.standin.ThriftMessages;
import reachloom.standin.model.RealTimeScheduler;

/**
 * Client connections that send statements at a fixed pace: each connection sends a statement after
 * each gap, whether or not its earlier statements have been answered. A client whose connection was
 * closed reconnects when its next statement is due.
 */
final class PacedClients implements AutoCloseable {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int SOCKET_THREADS = 1;
  private static final int MAX_OUTSTANDING = 32; // on one connection, by the protocol
  private static final int MAX_FRAME_BYTES = 64 * 1024;
  private static final String STATEMENT = "select a, b, c from lab_1.t where a = 1";
  private static final int TIMEOUT_S = 60;

  /** The gateway's system would drop connects beyond the listen backlog. */
  private static final int MAX_CONCURRENT_CONNECTS = 100;

  private static final int MAX_LATENCY_MS = 60_000;
  private static final AttributeKey CONNECTION = new AttributeKey(PacedClients.class, "of");

  /** The distribution of the gaps between statements of one connection. */
  enum Gaps {
    /** All gaps are equal. */
    EVEN,
    /** Exponential: most gaps are shorter than the mean, some are several times the mean. */
    RANDOM
  }

  /**
   * Numbers of statements by outcome, of connects and of closed connections; latencies in
   * milliseconds. {@code sent} counts statements that were due, including the unsent ones; {@code
   * lost} statements whose connection closed, and failed connects; {@code unsent} statements that
   * were due while their connection had as many outstanding as the protocol allows; {@code ended}
   * connections closed by either side, except those of {@link #paceConnects}. {@code maxDelayMs} is
   * the longest delay of a statement behind its schedule.
   */
  record Outcome(
      long sent,
      long answered,
      long refused,
      long failed,
      long lost,
      long unsent,
      long connects,
      long ended,
      double p50,
      double p99,
      long maxDelayMs) {}

  private final class Connection {
    private final Map<Integer, Long> open = new LinkedHashMap<>();
    private IoSession session;
    private boolean connecting;
    private Runnable onConnected;
    private int seq;

    /** The number of the current schedule; statements of earlier schedules are not sent. */
    private long schedule;
  }

  private final InetSocketAddress gateway;
  private final RealTimeScheduler time = new RealTimeScheduler("clients");
  private final NioSocketConnector connector = new NioSocketConnector(SOCKET_THREADS);
  private final List<Connection> connections = new ArrayList<>();
  private final SplittableRandom random;
  private final Histogram latencies = new Histogram(MAX_LATENCY_MS * 1_000L, 3);
  private String queryClass = "quick";
  private long sent;
  private long answered;
  private long refused;
  private long failed;
  private long lost;
  private long unsent;
  private long connects;
  private long ended;
  private long maxDelayNanos;
  private boolean closing;

  PacedClients(InetSocketAddress gateway, long seed) {
    this.gateway = gateway;
    random = new SplittableRandom(seed);
    connector.getSessionConfig().setTcpNoDelay(true);
    connector.setHandler(
        new DecodingHandler<>(
            "gateway", () -> new FrameDecoder(1, MAX_FRAME_BYTES), new ReplyListener()));
  }

  private <T> T runOnTimer(Supplier<T> work) throws InterruptedException {
    CompletableFuture<T> done = new CompletableFuture<>();
    time.at(
        0,
        () -> {
          try {
            done.complete(work.get());
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    try {
      return done.get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      throw new IllegalStateException(
          "a task of the paced clients failed or did not finish within " + TIMEOUT_S + " s", e);
    }
  }

  /**
   * Opens connections until there are {@code count} in total; each new connection sends one
   * readiness check. Returns the number of open connections.
   */
  int open(int count) throws InterruptedException {
    CompletableFuture<Void> all = new CompletableFuture<>();
    runOnTimer(
        () -> {
          int[] remaining = {count - connections.size()};
          List<Connection> added = new ArrayList<>();
          for (int i = remaining[0]; i > 0; i--) {
            added.add(new Connection());
          }
          connections.addAll(added);
          if (added.isEmpty()) {
            all.complete(null);
          }
          java.util.ArrayDeque<Connection> waiting = new java.util.ArrayDeque<>(added);
          for (int i = 0; i < MAX_CONCURRENT_CONNECTS; i++) {
            connectNext(waiting, remaining, all);
          }
          return 0;
        });
    try {
      all.get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      // the returned number shows that connections are missing
    }
    return runOnTimer(() -> (int) connections.stream().filter(c -> c.session != null).count());
  }

  private void connectNext(
      java.util.ArrayDeque<Connection> waiting, int[] remaining, CompletableFuture<Void> all) {
    Connection c = waiting.poll();
    if (c != null) {
      connect(
          c,
          () -> {
            c.session.write(IoBuffer.wrap(ThriftMessages.check(++c.seq)));
            if (--remaining[0] == 0) {
              all.complete(null);
            }
            connectNext(waiting, remaining, all);
          });
    }
  }

  private void connect(Connection c, Runnable onConnected) {
    c.onConnected = onConnected;
    if (c.connecting) {
      return;
    }
    c.connecting = true;
    connects++;
    ConnectFuture future = connector.connect(gateway, (s, f) -> s.setAttribute(CONNECTION, c));
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            time.at(
                0,
                () -> {
                  c.connecting = false;
                  lost++;
                });
          }
        });
  }

  /**
   * Sends statements of a query class at the given total rate per second, spread over all
   * connections, until the pace is set again; a rate of 0 stops them.
   */
  void pace(double rate, String statementClass, Gaps gaps) throws InterruptedException {
    runOnTimer(
        () -> {
          queryClass = statementClass;
          for (Connection c : connections) {
            long schedule = ++c.schedule;
            if (rate > 0) {
              double gap = connections.size() / rate * NANOS_PER_SECOND;
              long first = time.now() + (long) (random.nextDouble() * gap);
              scheduleStatement(c, schedule, first, gap, gaps);
            }
          }
          return 0;
        });
  }

  private void scheduleStatement(Connection c, long schedule, long at, double gap, Gaps gaps) {
    time.at(
        at,
        () -> {
          if (c.schedule != schedule || closing) {
            return;
          }
          maxDelayNanos = Math.max(maxDelayNanos, time.now() - at);
          if (c.session != null && !c.session.isClosing()) {
            sendStatement(c, at);
          } else {
            connect(c, () -> sendStatement(c, at));
          }
          double next = gaps == Gaps.EVEN ? gap : -Math.log(1 - random.nextDouble()) * gap;
          scheduleStatement(c, schedule, at + (long) next, gap, gaps);
        });
  }

  private void sendStatement(Connection c, long at) {
    sent++;
    if (c.open.size() >= MAX_OUTSTANDING) {
      unsent++;
      return;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("verb", queryClass);
    fields.put("txn", String.format("%016x", random.nextLong()));
    fields.put("limit", "2500");
    fields.put("team", "one");
    if (queryClass.equals("keyed")) {
      fields.put("unique", "k" + sent);
    }
    c.open.put(++c.seq, at);
    c.session.write(IoBuffer.wrap(ThriftMessages.execute(c.seq, fields, STATEMENT)));
  }

  /**
   * Opens connections at the given rate per second; each sends a readiness check and is closed when
   * the reply arrives.
   */
  void paceConnects(double rate) throws InterruptedException {
    runOnTimer(
        () -> {
          connections.forEach(c -> c.schedule++);
          Connection clock = new Connection();
          connections.add(clock); // so that the next call of pace or closeAll stops it
          scheduleConnect(clock, clock.schedule, time.now(), NANOS_PER_SECOND / rate);
          return 0;
        });
  }

  private void scheduleConnect(Connection clock, long schedule, long at, double gap) {
    time.at(
        at,
        () -> {
          if (clock.schedule == schedule && !closing) {
            Connection c = new Connection();
            c.seq = -1; // marks a connection that is closed after its first reply
            connect(c, () -> c.session.write(IoBuffer.wrap(ThriftMessages.check(0))));
            scheduleConnect(clock, schedule, at + (long) gap, gap);
          }
        });
  }

  /** Closes all connections of {@link #open} and stops all schedules. */
  void closeAll() throws InterruptedException {
    runOnTimer(
        () -> {
          connections.forEach(
              c -> {
                c.schedule++;
                if (c.session != null) {
                  c.session.closeNow();
                }
              });
          connections.clear();
          return 0;
        });
  }

  /** Returns the outcome since the previous call and resets the counters. */
  Outcome outcome() throws InterruptedException {
    return runOnTimer(
        () -> {
          Outcome o =
              new Outcome(
                  sent,
                  answered,
                  refused,
                  failed,
                  lost,
                  unsent,
                  connects,
                  ended,
                  latencies.getValueAtPercentile(50) / 1e3,
                  latencies.getValueAtPercentile(99) / 1e3,
                  maxDelayNanos / 1_000_000);
          sent = answered = refused = failed = lost = unsent = connects = ended = maxDelayNanos = 0;
          latencies.reset();
          return o;
        });
  }

  /** Returns the number of statements that have not been answered yet. */
  int outstanding() throws InterruptedException {
    return runOnTimer(() -> connections.stream().mapToInt(c -> c.open.size()).sum());
  }

  /** Returns the number of scheduled tasks that failed. */
  int defects() {
    return time.defects();
  }

  private final class ReplyListener implements Listener<byte[]> {
    @Override
    public void opened(IoSession session) {
      Connection c = (Connection) session.getAttribute(CONNECTION);
      time.at(
          0,
          () -> {
            c.session = session;
            c.connecting = false;
            c.onConnected.run();
          });
    }

    @Override
    public void received(IoSession session, byte[] frame, int bytes) {
      Connection c = (Connection) session.getAttribute(CONNECTION);
      long now = time.now();
      if (c.seq < 0) {
        session.closeNow();
        return;
      }
      ThriftMessages.Reply reply = ThriftMessages.reply(frame);
      time.at(
          0,
          () -> {
            Long at = c.open.remove(reply.seq());
            if (at == null) {
              return; // the reply to a readiness check
            }
            latencies.recordValue(
                Math.max(0, Math.min(MAX_LATENCY_MS * 1_000L, (now - at) / 1_000)));
            switch (reply.kind()) {
              case "ANSWER" -> answered++;
              case "BUSY" -> refused++;
              default -> failed++;
            }
          });
    }

    @Override
    public void closed(IoSession session) {
      Connection c = (Connection) session.getAttribute(CONNECTION);
      time.at(
          0,
          () -> {
            ended += c.session == session && c.seq >= 0 ? 1 : 0;
            c.session = c.session == session ? null : c.session;
            lost += c.open.size();
            c.open.clear();
          });
    }
  }

  @Override
  public void close() throws InterruptedException {
    runOnTimer(() -> closing = true);
    time.close();
    connector.dispose();
  }
}
