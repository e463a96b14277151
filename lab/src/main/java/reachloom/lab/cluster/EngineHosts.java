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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Listener;
import reachloom.standin.HostileClient;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;

/**
 * The engines and the change logs on loopback sockets. Each engine has one address for the gateways
 * of each zone, so that the link between two zones can be impaired. As with TCP, messages on a cut
 * link are delivered once the cut ends, unless the connection was closed meanwhile.
 */
public final class EngineHosts implements AutoCloseable {
  private static final Pattern BUDGET = Pattern.compile("budget=(\\d{1,12})");
  private static final int SOCKET_THREADS = 3;
  private static final int BACKLOG = 1_024;
  private static final int READ_BUFFER_BYTES = 2_048;
  private static final AttributeKey CONNECTION = new AttributeKey(EngineHosts.class, "of");
  private static final String ROW = "a\tb\tc\n";

  /** A connection from a gateway of a zone to an engine. */
  private static final class GatewayConnection {
    private final IoSession session;
    private final EngineModel engine;
    private final int zone;
    private final Map<String, HistoryChecker.Attempt> open = new HashMap<>();

    GatewayConnection(IoSession session, EngineModel engine, int zone) {
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
  private final Set<GatewayConnection> connections = new HashSet<>();
  private final Map<ClusterModel.Link, ArrayDeque<Runnable>> heldMessages = new HashMap<>();
  private long accepted;
  private int mostConnections;
  private long probes;

  /** Starts to listen for all engines and, if requested, for the change logs of all zones. */
  EngineHosts(ClusterModel model, HistoryChecker checker, boolean withLists) throws IOException {
    this.model = model;
    this.checker = checker;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    prepare(
        engines, new DecodingHandler<>("gateway", EngineCommandDecoder::new, new EngineListener()));
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
      model.onAvailabilityChange(v -> logFailure(() -> updateAvailability(v)));
    }
    model.onAdded(e -> logFailure(() -> bind(e)));
    model.onEnd(this::end);
    model.onReset(
        (g, e) ->
            List.copyOf(connections).stream()
                .filter(c -> c.zone == g && model.plan.zoneOfEngine(c.engine.id) == e)
                .forEach(c -> c.session.closeNow()));
  }

  static void prepare(NioSocketAcceptor acceptor, DecodingHandler<?> handler) {
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    acceptor.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
    acceptor.setHandler(handler);
    acceptor.setCloseOnDeactivation(false);
  }

  private interface IoAction {
    void run() throws IOException;
  }

  private static void logFailure(IoAction work) {
    try {
      work.run();
    } catch (IOException e) {
      System.err.println("lab: a stand-in could not listen on its address: " + e.getMessage());
    }
  }

  /** Returns the address of an engine for the gateways of a zone. */
  public InetSocketAddress address(int engine, int zone) {
    return ListServer.engine(engine, zone, port);
  }

  /** Returns the address of the change log for the gateways of a zone. */
  InetSocketAddress listAddress(int zone) {
    return ListServer.machine(0, zone, port);
  }

  /** Returns the port of all engines. */
  public int port() {
    return port;
  }

  int mostConnections() {
    return mostConnections;
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

  /** Closes an engine's connections and refuses new ones after its process has ended. */
  private void end(EngineModel e) {
    for (int z = 0; z < model.plan.zones(); z++) {
      engines.unbind(address(e.id, z));
    }
    for (GatewayConnection c : List.copyOf(connections)) {
      if (c.engine == e) {
        c.session.closeNow();
      }
    }
  }

  private void updateAvailability(ClusterModel.View v) throws IOException {
    if (v.isDown()) {
      lists.get(v.zone).unbind();
    } else {
      lists.get(v.zone).bind(listAddress(v.zone));
    }
  }

  // ---- Engines ----

  private ClusterModel.Link link(GatewayConnection c) {
    return model.link(c.zone, model.plan.zoneOfEngine(c.engine.id));
  }

  /**
   * Runs the effect of a message once it has passed the link. While messages of the link are held,
   * further ones are held behind them, in both directions.
   */
  private void deliver(ClusterModel.Link link, boolean cut, Runnable arrival) {
    if (cut || heldMessages.containsKey(link)) {
      heldMessages.computeIfAbsent(link, l -> new ArrayDeque<>()).addLast(arrival);
      if (heldMessages.get(link).size() == 1) {
        deliverWhenHealed(link);
      }
    } else if (link.delay > 0) {
      model.time.at(model.time.now() + link.delay, arrival);
    } else {
      arrival.run();
    }
  }

  /** Delivers the held messages of a link in order once neither direction is cut. */
  private void deliverWhenHealed(ClusterModel.Link link) {
    model.time.at(
        model.time.now() + 20 * ClusterPlan.MILLISECOND,
        () -> {
          if (link.cutIn || link.cutOut) {
            deliverWhenHealed(link);
          } else {
            ArrayDeque<Runnable> due = heldMessages.remove(link);
            due.forEach(Runnable::run);
          }
        });
  }

  private final class EngineListener implements Listener<EngineCommand> {
    @Override
    public void opened(IoSession session) {
      InetSocketAddress address = (InetSocketAddress) session.getLocalAddress();
      EngineModel e;
      synchronized (byAddress) {
        e = byAddress.get(address);
      }
      GatewayConnection c = new GatewayConnection(session, e, ListServer.zone(address));
      session.setAttribute(CONNECTION, c);
      model.time.at(
          0,
          () -> {
            long count = connections.stream().filter(o -> o.engine == c.engine).count();
            if (count >= model.mostConnections(c.engine.id)) {
              session.closeNow();
              return;
            }
            connections.add(c);
            accepted++;
            mostConnections = Math.max(mostConnections, connections.size());
          });
    }

    @Override
    public void received(IoSession session, EngineCommand command, int bytes) {
      GatewayConnection c = (GatewayConnection) session.getAttribute(CONNECTION);
      long sentAt = model.time.now();
      model.time.at(0, () -> deliver(link(c), link(c).cutOut, () -> handle(c, command, sentAt)));
    }

    @Override
    public void closed(IoSession session) {
      GatewayConnection c = (GatewayConnection) session.getAttribute(CONNECTION);
      if (c != null) {
        model.time.at(
            0,
            () -> {
              connections.remove(c);
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

  private void handle(GatewayConnection c, EngineCommand command, long sentAt) {
    if (c.session.isClosing()) {
      return;
    }
    switch (command.word()) {
      case "ASK" -> {
        if (command.id().startsWith(HostileClient.ID_PREFIX)) { // no query of the workload
          send(c, command.id() + " OK fetches=1,effort=1,high=1", ROW);
        } else {
          runQuery(c, command, sentAt);
        }
      }
      case "QUIT" -> {
        c.engine.cancel(command.id());
        checker.attemptEnded(c.open.remove(command.id()), model.time.now());
      }
      case "INFO", "NOOP" -> {
        probes++;
        EngineModel.Load l = c.engine.load();
        send(
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
        // every answer fits on one page, and priorities are ignored
      }
    }
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  private void recordBudget(HistoryChecker.Attempt attempt, EngineCommand command) {
    Matcher budget = BUDGET.matcher(command.rest());
    if (attempt != null && budget.find()) {
      checker.budgetReceived(attempt, Long.parseLong(budget.group(1)));
    }
  }

  private void runQuery(GatewayConnection c, EngineCommand command, long sentAt) {
    String id = command.id();
    Workload.Arrival a = Clients.read(command);
    EngineModel e = c.engine;
    HistoryChecker.Attempt[] recorded = new HistoryChecker.Attempt[1];
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
                    finish(
                        id,
                        " OK fetches=1,effort="
                            + Math.round(work * 1e3)
                            + ",high="
                            + Math.round(memoryMb),
                        ROW);
                  }

                  @Override
                  public void error() {
                    finish(id, " ERR -", "");
                  }

                  private void finish(String of, String words, String body) {
                    checker.attemptEnded(recorded[0], model.time.now());
                    if (c.open.remove(of) != null) {
                      send(c, of + words, body);
                    }
                  }

                  @Override
                  public void progress(double share) {
                    if (c.open.containsKey(id)) {
                      send(c, id + " NOTE detail=so_far,figure=" + round(share), "");
                    }
                  }

                  @Override
                  public void died() {
                    // the connection closes with the process
                    checker.attemptEnded(recorded[0], model.time.now());
                    c.open.remove(id);
                  }
                });
    recorded[0] = checker.attemptReceived(a.number(), e.id, -1, model.time.now(), sentAt, runs);
    recordBudget(recorded[0], command);
    if (runs && recorded[0] != null) {
      c.open.put(id, recorded[0]);
    } else if (e.condition() != Condition.DOWN) {
      send(c, id + " BUSY -", "");
    }
  }

  private void send(GatewayConnection c, String head, String body) {
    byte[] bytes =
        (head + " " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8);
    deliver(link(c), link(c).cutIn, () -> c.session.write(IoBuffer.wrap(bytes)));
  }

  @Override
  public void close() {
    engines.dispose();
    lists.forEach(ListServer::close);
  }
}
