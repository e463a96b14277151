package reachloom.lab.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Listener;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;

/**
 * The engines and the change logs on loopback sockets. Each engine has an address for the gateways
 * of each zone, so that the way between two zones can be made bad; what is lost on a way that is
 * cut comes once it is well again, as it would by TCP, where the connection has not been given up
 * meanwhile.
 */
public final class EngineHosts implements AutoCloseable {
  private static final int SOCKET_THREADS = 3;
  private static final int BACKLOG = 1_024;
  private static final int READ = 2_048;
  private static final AttributeKey OF = new AttributeKey(EngineHosts.class, "of");
  private static final String ROW = "a\tb\tc\n";

  /** A connection of a gateway: to which engine, from which zone. */
  private static final class Conn {
    private final IoSession session;
    private final EngineModel engine;
    private final int zone;
    private final Map<String, HistoryChecker.Attempt> open = new HashMap<>();

    Conn(IoSession session, EngineModel engine, int zone) {
      this.session = session;
      this.engine = engine;
      this.zone = zone;
    }
  }

  private final ClusterModel model;
  private final HistoryChecker checker;
  private final int port;
  private final NioSocketAcceptor engines = new NioSocketAcceptor(SOCKET_THREADS);
  private final List<ListServer> lists = new ArrayList<>();
  private final Map<InetSocketAddress, EngineModel> byAddress = new HashMap<>();
  private final Set<Conn> conns = new HashSet<>();
  private final Map<ClusterModel.Link, ArrayDeque<Runnable>> held = new HashMap<>();
  private long accepted;
  private int most;
  private long probes;

  /** Engines that listen, and change logs where they are wanted here. */
  EngineHosts(ClusterModel model, HistoryChecker checker, boolean withLists) throws IOException {
    this.model = model;
    this.checker = checker;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    prepare(engines, new DecodingHandler<>("gateway", EngineCommandDecoder::new, new Asked()));
    for (EngineModel e : model.engines.values()) {
      bind(e);
    }
    if (withLists) {
      for (ClusterModel.View v : model.views) {
        ListServer server = new ListServer(model.time, model.plan, port, () -> v.log);
        v.addListener(e -> server.sendNewEvents());
        server.bind(listAddress(v.zone));
        lists.add(server);
      }
      model.onAvailabilityChange(v -> attempt(() -> reach(v)));
    }
    model.onAdded(e -> attempt(() -> bind(e)));
    model.onEnd(this::end);
    model.onReset(
        (g, e) ->
            List.copyOf(conns).stream()
                .filter(c -> c.zone == g && model.plan.zoneOfEngine(c.engine.id) == e)
                .forEach(c -> c.session.closeNow()));
  }

  static void prepare(NioSocketAcceptor acceptor, DecodingHandler<?> handler) {
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    acceptor.getSessionConfig().setReadBufferSize(READ);
    acceptor.setHandler(handler);
    acceptor.setCloseOnDeactivation(false);
  }

  private interface Attempted {
    void run() throws IOException;
  }

  private static void attempt(Attempted work) {
    try {
      work.run();
    } catch (IOException e) {
      System.err.println("a stand-in can't be reached: " + e.getMessage());
    }
  }

  /** Where gateways of that zone find that engine. */
  public InetSocketAddress address(int engine, int zone) {
    return ListServer.engine(engine, zone, port);
  }

  /** Where gateways of that zone find their change log. */
  InetSocketAddress listAddress(int zone) {
    return ListServer.machine(0, zone, port);
  }

  /** The port of all engines. */
  public int port() {
    return port;
  }

  int mostConnections() {
    return most;
  }

  long accepted() {
    return accepted;
  }

  long probes() {
    return probes;
  }

  private void bind(EngineModel e) throws IOException {
    for (int z = 0; z < model.plan.zones(); z++) {
      InetSocketAddress address = address(e.id, z);
      synchronized (byAddress) {
        byAddress.put(address, e);
      }
      if (!engines.getLocalAddresses().contains(address)) {
        engines.bind(address);
      }
    }
  }

  /** An engine's process has ended: its connections are reset, new ones refused. */
  private void end(EngineModel e) {
    for (int z = 0; z < model.plan.zones(); z++) {
      engines.unbind(address(e.id, z));
    }
    for (Conn c : List.copyOf(conns)) {
      if (c.engine == e) {
        c.session.closeNow();
      }
    }
  }

  private void reach(ClusterModel.View v) throws IOException {
    if (v.isDown()) {
      lists.get(v.zone).unbind();
    } else {
      lists.get(v.zone).bind(listAddress(v.zone));
    }
  }

  // ---- Engines ----

  private ClusterModel.Link link(Conn c) {
    return model.link(c.zone, model.plan.zoneOfEngine(c.engine.id));
  }

  /** Does what a message brings about once it has come over that way; in order on each way. */
  private void over(ClusterModel.Link link, boolean cut, Runnable arrival) {
    if (cut || held.containsKey(link)) {
      held.computeIfAbsent(link, l -> new ArrayDeque<>()).addLast(arrival);
      if (held.get(link).size() == 1) {
        heal(link);
      }
    } else if (link.delay > 0) {
      model.time.at(model.time.now() + link.delay, arrival);
    } else {
      arrival.run();
    }
  }

  /** What was held up comes once the way is well, in its order. */
  private void heal(ClusterModel.Link link) {
    model.time.at(
        model.time.now() + 20 * ClusterPlan.MILLISECOND,
        () -> {
          if (link.cutIn || link.cutOut) {
            heal(link);
          } else {
            ArrayDeque<Runnable> due = held.remove(link);
            due.forEach(Runnable::run);
          }
        });
  }

  private final class Asked implements Listener<EngineCommand> {
    @Override
    public void opened(IoSession session) {
      InetSocketAddress address = (InetSocketAddress) session.getLocalAddress();
      EngineModel e;
      synchronized (byAddress) {
        e = byAddress.get(address);
      }
      Conn c = new Conn(session, e, ListServer.zone(address));
      session.setAttribute(OF, c);
      model.time.at(
          0,
          () -> {
            long there = conns.stream().filter(o -> o.engine == c.engine).count();
            if (there >= model.mostConnections(c.engine.id)) {
              session.closeNow();
              return;
            }
            conns.add(c);
            accepted++;
            most = Math.max(most, conns.size());
          });
    }

    @Override
    public void received(IoSession session, EngineCommand command, int bytes) {
      Conn c = (Conn) session.getAttribute(OF);
      long sentAt = model.time.now();
      model.time.at(0, () -> over(link(c), link(c).cutOut, () -> heard(c, command, sentAt)));
    }

    @Override
    public void closed(IoSession session) {
      Conn c = (Conn) session.getAttribute(OF);
      if (c != null) {
        model.time.at(
            0,
            () -> {
              conns.remove(c);
              c.open.forEach(
                  (id, t) -> {
                    c.engine.cancel(id);
                    checker.attemptEnded(t, model.time.now());
                  });
              c.open.clear();
            });
      }
    }
  }

  private void heard(Conn c, EngineCommand command, long sentAt) {
    if (c.session.isClosing()) {
      return;
    }
    switch (command.word()) {
      case "ASK" -> ask(c, command, sentAt);
      case "QUIT" -> {
        c.engine.cancel(command.id());
        checker.attemptEnded(c.open.remove(command.id()), model.time.now());
      }
      case "INFO", "NOOP" -> {
        probes++;
        EngineModel.Load l = c.engine.load();
        say(
            c,
            command.id()
                + " UP use=util:"
                + round(l.util())
                + ";queue:"
                + round(l.queue())
                + ";x0:"
                + round(l.memory()),
            "");
      }
      default -> {
        // all answers fit on one page, and priorities are not heeded
      }
    }
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  private void ask(Conn c, EngineCommand command, long sentAt) {
    String id = command.id();
    Workload.Arrival a = Clients.read(command);
    EngineModel e = c.engine;
    HistoryChecker.Attempt[] mine = new HistoryChecker.Attempt[1];
    boolean runs =
        e.condition() != Condition.DOWN
            && e.submit(
                id,
                a.work(),
                a.of().threads(),
                a.of().memoryMb(),
                new EngineModel.QueryListener() {
                  @Override
                  public void served(double work, double memoryMb) {
                    over(
                        id,
                        " OK fetches=1,effort="
                            + Math.round(work * 1e3)
                            + ",high="
                            + Math.round(memoryMb),
                        ROW);
                  }

                  @Override
                  public void error() {
                    over(id, " ERR -", "");
                  }

                  private void over(String of, String words, String body) {
                    checker.attemptEnded(mine[0], model.time.now());
                    if (c.open.remove(of) != null) {
                      say(c, of + words, body);
                    }
                  }

                  @Override
                  public void progress(double share) {
                    if (c.open.containsKey(id)) {
                      say(c, id + " NOTE detail=so_far,figure=" + round(share), "");
                    }
                  }

                  @Override
                  public void died() {
                    checker.attemptEnded(mine[0], model.time.now()); // the connection goes with the process
                    c.open.remove(id);
                  }
                });
    mine[0] = checker.attemptReceived(a.number(), e.id, -1, model.time.now(), sentAt, runs);
    if (runs && mine[0] != null) {
      c.open.put(id, mine[0]);
    } else if (e.condition() != Condition.DOWN) {
      say(c, id + " BUSY -", "");
    }
  }

  private void say(Conn c, String head, String body) {
    byte[] bytes =
        (head + " " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8);
    over(link(c), link(c).cutIn, () -> c.session.write(IoBuffer.wrap(bytes)));
  }

  @Override
  public void close() {
    engines.dispose();
    lists.forEach(ListServer::close);
  }
}
