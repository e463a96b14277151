package reachloom.lab.cluster;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
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
 * Open-loop clients of the fleet: they send each query when it is due, regardless of the outcome of
 * earlier ones.
 */
final class Clients implements AutoCloseable {
  private static final int MAX_OPEN = 32; // on one connection, as the protocol says
  private static final int MAX_FRAME = 64 * 1024;
  private static final int SOCKET_THREADS = 2;

  /**
   * A query whose connection closes within this time after it was sent is sent again, once, in
   * nanoseconds.
   */
  private static final long RESEND_WINDOW = 50 * ClusterPlan.MILLISECOND;

  private static final AttributeKey CONNECTION = new AttributeKey(Clients.class, "of");

  /** A query that was sent and has no reply yet. */
  private record PendingQuery(Arrival arrival, long at, boolean resent) {}

  /** A connection to one gateway. */
  private final class GatewayConnection {
    private final int gateway;
    private final Map<Integer, PendingQuery> open = new LinkedHashMap<>();
    private final List<ByteBuffer> waiting = new ArrayList<>();
    private IoSession session;
    private boolean closed;
    private int seq;

    GatewayConnection(int gateway) {
      this.gateway = gateway;
    }

    void send(PendingQuery q) {
      open.put(++seq, q);
      ByteBuffer call = call(q.arrival, seq);
      if (session == null) {
        waiting.add(call);
      } else {
        session.write(IoBuffer.wrap(call));
      }
    }
  }

  /** What clients know of gateways. */
  interface Gateways {
    /** Returns whether a gateway's process was killed. */
    boolean wasKilled(int gateway);

    /** Returns whether a gateway shuts down, and accepts no connections. */
    boolean isTerminating(int gateway);

    /** Returns a gateway that accepts connections, if any does. */
    OptionalInt other();
  }

  private final ClusterModel model;
  private final HistoryChecker checker;
  private final List<InetSocketAddress> addresses;
  private final Gateways gateways;
  private final NioSocketConnector connector = new NioSocketConnector(SOCKET_THREADS);
  private final Map<Integer, List<GatewayConnection>> connections = new HashMap<>();

  /**
   * Creates clients of the gateways at the given addresses.
   *
   * @param gateways what clients know of the gateways
   */
  Clients(
      ClusterModel model,
      HistoryChecker checker,
      List<InetSocketAddress> addresses,
      Gateways gateways) {
    this.model = model;
    this.checker = checker;
    this.addresses = addresses;
    this.gateways = gateways;
    connector.getSessionConfig().setTcpNoDelay(true);
    connector.setHandler(
        new DecodingHandler<>(
            "gateway", () -> new FrameDecoder(1, MAX_FRAME), new ReplyListener()));
  }

  /** Returns a query's statement; a comment in it, which only engines read, has its parameters. */
  private static String statement(Arrival a) {
    return "select 1 from lab_1.t /* "
        + a.kind()
        + " "
        + Double.toString(a.work())
        + " "
        + a.key()
        + " */";
  }

  /** Returns the query that a command makes an engine run. */
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

  /** Sends a query to a running gateway. */
  void send(Arrival a, int gateway) {
    checker.queryAccepted(a, gateway, model.time.now());
    sendOn(new PendingQuery(a, model.time.now(), false), gateway);
  }

  /** Returns whether a query can be sent to a gateway on a connection that is established. */
  boolean hasConnection(int gateway) {
    return connections.getOrDefault(gateway, List.of()).stream()
        .anyMatch(c -> !c.closed && c.session != null && c.open.size() < MAX_OPEN);
  }

  /** Sends a query again after its connection has ended. */
  private void resend(PendingQuery q, int gateway) {
    int target = gateway;
    if (gateways.isTerminating(gateway) && !hasConnection(gateway)) {
      target = gateways.other().orElse(gateway);
      checker.queryMoved(q.arrival.number(), target);
    }
    sendOn(new PendingQuery(q.arrival, model.time.now(), true), target);
  }

  private void sendOn(PendingQuery q, int gateway) {
    List<GatewayConnection> of = connections.computeIfAbsent(gateway, g -> new ArrayList<>());
    of.removeIf(c -> c.closed);
    boolean mustBeOpen = gateways.isTerminating(gateway);
    GatewayConnection free =
        of.stream()
            .filter(c -> c.open.size() < MAX_OPEN && (c.session != null || !mustBeOpen))
            .findFirst()
            .orElse(null);
    if (free == null) {
      free = new GatewayConnection(gateway);
      of.add(free);
      connect(free);
    }
    free.send(q);
  }

  private void connect(GatewayConnection c) {
    ConnectFuture future =
        connector.connect(addresses.get(c.gateway), (s, f) -> s.setAttribute(CONNECTION, c));
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            model.time.at(0, () -> handleClosed(c));
          }
        });
  }

  private void handleClosed(GatewayConnection c) {
    if (c.closed) {
      return;
    }
    c.closed = true;
    boolean dead = gateways.wasKilled(c.gateway);
    c.open
        .values()
        .forEach(
            q -> {
              boolean resend =
                  !dead
                      && !q.resent
                      && (c.session == null || model.time.now() - q.at < RESEND_WINDOW);
              if (resend) {
                resend(q, c.gateway);
              } else {
                checker.connectionClosed(q.arrival.number(), dead);
              }
            });
    c.open.clear();
  }

  private final class ReplyListener implements Listener<byte[]> {
    @Override
    public void opened(IoSession session) {
      GatewayConnection c = (GatewayConnection) session.getAttribute(CONNECTION);
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
      GatewayConnection c = (GatewayConnection) session.getAttribute(CONNECTION);
      long now = model.time.now();
      ThriftMessages.Reply reply = ThriftMessages.reply(frame);
      model.time.at(
          0,
          () -> {
            PendingQuery q = c.open.remove(reply.seq());
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
      GatewayConnection c = (GatewayConnection) session.getAttribute(CONNECTION);
      model.time.at(0, () -> handleClosed(c));
    }
  }

  @Override
  public void close() {
    connector.dispose();
  }
}
