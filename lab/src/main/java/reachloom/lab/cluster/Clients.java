package reachloom.lab.cluster;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.FrameDecoder;
import reachloom.gateway.wire.Listener;
import reachloom.lab.cluster.Workload.Arrival;
import reachloom.standin.ThriftMessages;

/**
 * Clients of the fleet: they send each query when it is due, whatever has become of those before.
 */
final class Clients implements AutoCloseable {
  private static final int MAX_OPEN = 32; // on one connection, as the protocol says
  private static final int MAX_FRAME = 64 * 1024;
  private static final int SOCKET_THREADS = 2;

  /** A query that crosses the end of its connection within this time is sent again, once. */
  private static final long CROSSES = 50 * ClusterPlan.MILLISECOND;

  private static final AttributeKey OF = new AttributeKey(Clients.class, "of");

  /** A query on its way. */
  private record Asked(Arrival arrival, long at, boolean again) {}

  /** A connection to one gateway. */
  private final class Conn {
    private final int gateway;
    private final Map<Integer, Asked> open = new LinkedHashMap<>();
    private final List<ByteBuffer> waiting = new ArrayList<>();
    private IoSession session;
    private boolean over;
    private int seq;

    Conn(int gateway) {
      this.gateway = gateway;
    }

    void send(Asked q) {
      open.put(++seq, q);
      ByteBuffer call = call(q.arrival, seq);
      if (session == null) {
        waiting.add(call);
      } else {
        session.write(IoBuffer.wrap(call));
      }
    }
  }

  private final ClusterModel model;
  private final HistoryChecker checker;
  private final List<InetSocketAddress> gateways;
  private final IntPredicate killed;
  private final NioSocketConnector connector = new NioSocketConnector(SOCKET_THREADS);
  private final Map<Integer, List<Conn>> conns = new HashMap<>();

  /**
   * Clients of gateways at these addresses; the predicate tells of those whose process has been
   * ended.
   */
  Clients(
      ClusterModel model,
      HistoryChecker checker,
      List<InetSocketAddress> gateways,
      IntPredicate killed) {
    this.model = model;
    this.checker = checker;
    this.gateways = gateways;
    this.killed = killed;
    connector.getSessionConfig().setTcpNoDelay(true);
    connector.setHandler(
        new DecodingHandler<>("gateway", () -> new FrameDecoder(1, MAX_FRAME), new Heard()));
  }

  /** The statement of a query: what it needs stands in a comment, which only engines read. */
  private static String statement(Arrival a) {
    return "select 1 from lab_1.t /* "
        + a.kind()
        + " "
        + Double.toString(a.work())
        + " "
        + a.key()
        + " */";
  }

  /** The query that a command to an engine runs. */
  static Arrival read(EngineCommand command) {
    String[] words = command.statement().split(" ");
    int from = words.length - 5;
    return new Arrival(
        Long.parseUnsignedLong(command.id(), 16),
        0,
        -1,
        Integer.parseInt(words[from + 1]),
        Double.parseDouble(words[from + 2]),
        Integer.parseInt(words[from + 3]));
  }

  private ByteBuffer call(Arrival a, int seq) {
    long left = (a.at() + a.of().deadline() - model.time.now()) / ClusterPlan.MILLISECOND;
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("verb", a.of().name());
    fields.put("txn", a.id());
    fields.put("limit", Long.toString(Math.max(1, left)));
    fields.put("team", "one");
    if (a.key() >= 0) {
      fields.put("unique", "k" + a.number());
    }
    return ThriftMessages.execute(seq, fields, statement(a));
  }

  /** Sends a query to a gateway that is up. */
  void send(Arrival a, int gateway) {
    checker.queryAccepted(a, gateway, model.time.now());
    put(new Asked(a, model.time.now(), false), gateway);
  }

  private void put(Asked q, int gateway) {
    List<Conn> of = conns.computeIfAbsent(gateway, g -> new ArrayList<>());
    of.removeIf(c -> c.over);
    Conn free = of.stream().filter(c -> c.open.size() < MAX_OPEN).findFirst().orElse(null);
    if (free == null) {
      free = new Conn(gateway);
      of.add(free);
      connect(free);
    }
    free.send(q);
  }

  private void connect(Conn c) {
    ConnectFuture future =
        connector.connect(gateways.get(c.gateway), (s, f) -> s.setAttribute(OF, c));
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            model.time.at(0, () -> lost(c));
          }
        });
  }

  private void lost(Conn c) {
    if (c.over) {
      return;
    }
    c.over = true;
    boolean dead = killed.test(c.gateway);
    c.open
        .values()
        .forEach(
            q -> {
              boolean crossed =
                  !dead && !q.again && (c.session == null || model.time.now() - q.at < CROSSES);
              if (crossed) {
                put(new Asked(q.arrival, model.time.now(), true), c.gateway);
              } else {
                checker.connectionClosed(q.arrival.number(), dead);
              }
            });
    c.open.clear();
  }

  private final class Heard implements Listener<byte[]> {
    @Override
    public void opened(IoSession session) {
      Conn c = (Conn) session.getAttribute(OF);
      model.time.at(
          0,
          () -> {
            c.session = session;
            c.waiting.forEach(b -> session.write(IoBuffer.wrap(b)));
            c.waiting.clear();
          });
    }

    @Override
    public void received(IoSession session, byte[] frame, int bytes) {
      Conn c = (Conn) session.getAttribute(OF);
      long now = model.time.now();
      ThriftMessages.Reply reply = ThriftMessages.reply(frame);
      model.time.at(
          0,
          () -> {
            Asked q = c.open.remove(reply.seq());
            if (q != null) {
              checker.answered(
                  q.arrival.number(),
                  switch (reply.kind()) {
                    case "ANSWER" -> HistoryChecker.Answer.SERVED;
                    case "BUSY" -> HistoryChecker.Answer.REFUSED;
                    default -> HistoryChecker.Answer.FAILED;
                  },
                  now);
            }
          });
    }

    @Override
    public void closed(IoSession session) {
      Conn c = (Conn) session.getAttribute(OF);
      model.time.at(0, () -> lost(c));
    }
  }

  @Override
  public void close() {
    connector.dispose();
  }
}
