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
 * Connections of clients, each with a clock of its own: a statement after each gap, whatever has
 * become of those before. One whose connection has been ended connects anew when its next statement
 * is due.
 */
final class PacedClients implements AutoCloseable {
  private static final long SECOND = 1_000_000_000L; // nanoseconds
  private static final int SOCKET_THREADS = 1;
  private static final int MAX_OPEN = 32; // on one connection, as the protocol says
  private static final int MAX_FRAME = 64 * 1024;
  private static final String STATEMENT = "select a, b, c from lab_1.t where a = 1";
  private static final int PATIENCE_S = 60;
  private static final int AT_ONCE = 100; // connects on their way: more than wait would be dropped
  private static final int HIGHEST_MS = 60_000;
  private static final AttributeKey OF = new AttributeKey(PacedClients.class, "of");

  /** How the gaps between statements of one connection are drawn. */
  enum Gaps {
    /** All alike. */
    EVEN,
    /** Exponential: most shorter, some several times the mean. */
    RANDOM
  }

  /**
   * What has become of statements, and how often clients connected; latencies in milliseconds. Lost
   * are those whose connection ended, unsent those that came while theirs had as many open as the
   * protocol allows.
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
      long latestMs) {}

  private final class Conn {
    private final Map<Integer, Long> open = new LinkedHashMap<>();
    private IoSession session;
    private boolean connecting;
    private Runnable onceUp;
    private int seq;
    private long plan; // only the newest plan of this connection is followed
  }

  private final InetSocketAddress gateway;
  private final RealTimeScheduler time = new RealTimeScheduler("clients");
  private final NioSocketConnector connector = new NioSocketConnector(SOCKET_THREADS);
  private final List<Conn> conns = new ArrayList<>();
  private final SplittableRandom random;
  private final Histogram latencies = new Histogram(HIGHEST_MS * 1_000L, 3);
  private String queryClass = "quick";
  private long sent;
  private long answered;
  private long refused;
  private long failed;
  private long lost;
  private long unsent;
  private long connects;
  private long ended;
  private long latest;
  private boolean closing;

  PacedClients(InetSocketAddress gateway, long seed) {
    this.gateway = gateway;
    random = new SplittableRandom(seed);
    connector.getSessionConfig().setTcpNoDelay(true);
    connector.setHandler(
        new DecodingHandler<>("gateway", () -> new FrameDecoder(1, MAX_FRAME), new Heard()));
  }

  private <T> T on(Supplier<T> work) throws InterruptedException {
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
      return done.get(PATIENCE_S, TimeUnit.SECONDS);
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      throw new IllegalStateException("the clients stand still", e);
    }
  }

  /**
   * Opens so many connections in all; each asks once whether the gateway is ready. Gives how many
   * are up.
   */
  int open(int count) throws InterruptedException {
    CompletableFuture<Void> all = new CompletableFuture<>();
    on(
        () -> {
          int[] left = {count - conns.size()};
          List<Conn> fresh = new ArrayList<>();
          for (int i = left[0]; i > 0; i--) {
            fresh.add(new Conn());
          }
          conns.addAll(fresh);
          if (fresh.isEmpty()) {
            all.complete(null);
          }
          java.util.ArrayDeque<Conn> waiting = new java.util.ArrayDeque<>(fresh);
          for (int i = 0; i < AT_ONCE; i++) {
            nextOf(waiting, left, all);
          }
          return 0;
        });
    try {
      all.get(PATIENCE_S, TimeUnit.SECONDS);
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      // told by the count
    }
    return on(() -> (int) conns.stream().filter(c -> c.session != null).count());
  }

  private void nextOf(java.util.ArrayDeque<Conn> waiting, int[] left, CompletableFuture<Void> all) {
    Conn c = waiting.poll();
    if (c != null) {
      connect(
          c,
          () -> {
            c.session.write(IoBuffer.wrap(ThriftMessages.check(++c.seq)));
            if (--left[0] == 0) {
              all.complete(null);
            }
            nextOf(waiting, left, all);
          });
    }
  }

  private void connect(Conn c, Runnable onceUp) {
    c.onceUp = onceUp;
    if (c.connecting) {
      return;
    }
    c.connecting = true;
    connects++;
    ConnectFuture future = connector.connect(gateway, (s, f) -> s.setAttribute(OF, c));
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

  /** From now on all together ask so often a second, statements of that class; 0: not at all. */
  void pace(double rate, String ofClass, Gaps gaps) throws InterruptedException {
    on(
        () -> {
          queryClass = ofClass;
          for (Conn c : conns) {
            long mine = ++c.plan;
            if (rate > 0) {
              double gap = conns.size() / rate * SECOND;
              due(c, mine, time.now() + (long) (random.nextDouble() * gap), gap, gaps);
            }
          }
          return 0;
        });
  }

  private void due(Conn c, long plan, long at, double gap, Gaps gaps) {
    time.at(
        at,
        () -> {
          if (c.plan != plan || closing) {
            return;
          }
          latest = Math.max(latest, time.now() - at);
          if (c.session != null && !c.session.isClosing()) {
            ask(c, at);
          } else {
            connect(c, () -> ask(c, at));
          }
          double next = gaps == Gaps.EVEN ? gap : -Math.log(1 - random.nextDouble()) * gap;
          due(c, plan, at + (long) next, gap, gaps);
        });
  }

  private void ask(Conn c, long at) {
    sent++;
    if (c.open.size() >= MAX_OPEN) {
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
   * Connects so often a second, asks on each whether the gateway is ready, and ends it with the
   * answer.
   */
  void connectsOnly(double rate) throws InterruptedException {
    on(
        () -> {
          conns.forEach(c -> c.plan++);
          Conn clock = new Conn();
          conns.add(clock); // so that the next pace ends it
          oneConnect(clock, clock.plan, time.now(), SECOND / rate);
          return 0;
        });
  }

  private void oneConnect(Conn clock, long plan, long at, double gap) {
    time.at(
        at,
        () -> {
          if (clock.plan == plan && !closing) {
            Conn c = new Conn();
            c.seq = -1; // its one answer ends it
            connect(c, () -> c.session.write(IoBuffer.wrap(ThriftMessages.check(0))));
            oneConnect(clock, plan, at + (long) gap, gap);
          }
        });
  }

  /** Ends all connections from this side. */
  void hangUp() throws InterruptedException {
    on(
        () -> {
          conns.forEach(
              c -> {
                c.plan++;
                if (c.session != null) {
                  c.session.closeNow();
                }
              });
          conns.clear();
          return 0;
        });
  }

  /** What has come of it since this was asked last. */
  Outcome outcome() throws InterruptedException {
    return on(
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
                  latest / 1_000_000);
          sent = answered = refused = failed = lost = unsent = connects = ended = latest = 0;
          latencies.reset();
          return o;
        });
  }

  /** How many statements have no answer yet. */
  int outstanding() throws InterruptedException {
    return on(() -> conns.stream().mapToInt(c -> c.open.size()).sum());
  }

  int defects() {
    return time.defects();
  }

  private final class Heard implements Listener<byte[]> {
    @Override
    public void opened(IoSession session) {
      Conn c = (Conn) session.getAttribute(OF);
      time.at(
          0,
          () -> {
            c.session = session;
            c.connecting = false;
            c.onceUp.run();
          });
    }

    @Override
    public void received(IoSession session, byte[] frame, int bytes) {
      Conn c = (Conn) session.getAttribute(OF);
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
              return; // an answer to check
            }
            latencies.recordValue(Math.max(0, Math.min(HIGHEST_MS * 1_000L, (now - at) / 1_000)));
            switch (reply.kind()) {
              case "ANSWER" -> answered++;
              case "BUSY" -> refused++;
              default -> failed++;
            }
          });
    }

    @Override
    public void closed(IoSession session) {
      Conn c = (Conn) session.getAttribute(OF);
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
    on(() -> closing = true);
    time.close();
    connector.dispose();
  }
}
