package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig.Transport;
import reachloom.gateway.state.AttemptProgress;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.state.GenerationalSlots;
import reachloom.gateway.wire.Bytes;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.EngineCommandWriter;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.EngineResponseDecoder;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Numbers;
import reachloom.gateway.wire.Rows;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;

/**
 * Connections to engines, and the attempts and probes on them. Connections belong to engines by
 * name.
 */
final class EngineConnectionPool {
  private static final Logger LOG = System.getLogger(EngineConnectionPool.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final AttributeKey LINK = new AttributeKey(EngineConnectionPool.class, "link");

  /**
   * Idle connections go at this share of the engine's own limit, so that no request crosses its
   * close.
   */
  private static final double IDLE_SHARE = 0.8;

  private static final int MAX_RESULT = 48_000;
  private static final int MAX_PAGES = 1024;

  /** Bytes of results that are not whole yet, of all attempts together. */
  private static final long MAX_GATHERED = 8L << 20;

  private static final int MAX_LINKS = 8; // for each engine

  /**
   * An answer that has stopped for so long will not go on: an engine may pause, but hardly within
   * one.
   */
  private static final long MAX_PARTIAL = 1_000 * MILLISECOND;

  /**
   * Bytes that a connection has not taken yet: past that, requests wait here, where they can be
   * ended.
   */
  private static final int MAX_HANDED = 8 * 1024;

  /**
   * A request given up that its connection has not taken whole by then is kept back by ending that.
   */
  private static final long STUCK = 50 * MILLISECOND;

  /** Between tries to connect where it is this machine that can't. */
  private static final long REDIAL = 5 * MILLISECOND;

  /** Hears what becomes of attempts and probes; on the loop's thread. */
  interface Watcher {
    /**
     * Asked in the instant before the first byte of an attempt leaves: whether it may still begin.
     */
    boolean mayStart(EngineAttempt attempt);

    void ended(EngineAttempt attempt, AttemptOutcome outcome);

    void noted(EngineAttempt attempt, ProgressKind kind, double amount);

    void probed(String engine, boolean answered, LoadReport report);
  }

  private static final class Peer {
    private EngineMember member;
    private final List<EngineConnection> links = new ArrayList<>();
  }

  private final EventLoop loop;
  private final LingeringClose closing;
  private final Watcher watcher;
  private final Transport transport;
  private final boolean reports;
  private final Sockets sockets;
  private final NioSocketConnector connector;
  private final GenerationalSlots<EngineConnection> table;
  private final Map<String, Peer> peers = new LinkedHashMap<>();

  /**
   * Connections on which something waits to be handed over, and that have to be looked at again.
   */
  private final Set<EngineConnection> toHandOver = new LinkedHashSet<>();

  private long probeCount;
  private long gathered;

  EngineConnectionPool(
      EventLoop loop,
      Sockets sockets,
      LingeringClose closing,
      Watcher watcher,
      Transport transport,
      boolean reports,
      int mostLinks) {
    this.loop = loop;
    this.closing = closing;
    this.watcher = watcher;
    this.transport = transport;
    this.reports = reports;
    this.table = new GenerationalSlots<>(mostLinks);
    this.sockets = sockets;
    this.connector =
        sockets.connector(
            new DecodingHandler<>("engine", EngineResponseDecoder::new, new Heard()),
            transport.dialTimeoutNanos());
    loop.atTurnEnd(this::handOver);
  }

  // ---- The list of engines ----

  /**
   * Takes over what the list tells; a process that has started anew gets connections of its own.
   */
  void update(boolean whole, List<EngineMember> members) {
    if (whole) {
      Set<String> named =
          members.stream().map(m -> m.endpoint().name()).collect(Collectors.toSet());
      peers.forEach(
          (name, peer) -> {
            if (!named.contains(name)) {
              peer.member = null;
            }
          });
    }
    for (EngineMember m : members) {
      Peer peer = peers.computeIfAbsent(m.endpoint().name(), n -> new Peer());
      peer.member = m.endpoint().state() == EngineState.REMOVED ? null : m;
      for (EngineConnection l : List.copyOf(peer.links)) {
        if (l.since < m.endpoint().incarnation()) {
          close(l, false, "the engine has started anew");
        }
      }
    }
    // Only those that are named, of thousands, can have changed.
    List<String> told =
        whole
            ? List.copyOf(peers.keySet())
            : members.stream().map(m -> m.endpoint().name()).toList();
    told.forEach(this::listChanged);
  }

  /**
   * What waits at an engine may no longer be allowed; one that is gone keeps only connections in
   * use.
   */
  private void listChanged(String engine) {
    Peer peer = peers.get(engine);
    if (peer == null) {
      return;
    }
    toHandOver.addAll(peer.links);
    if (peer.member == null || peer.member.endpoint().state() != EngineState.UP) {
      peer.links.forEach(l -> l.open.values().forEach(this::keepFromLeaving));
    }
    if (peer.member == null) {
      List.copyOf(peer.links).stream()
          .filter(EngineConnection::unused)
          .forEach(l -> close(l, false, "the engine is gone"));
    }
    if (peer.member == null && peer.links.isEmpty()) {
      peers.remove(engine);
    }
  }

  /** How many engines are remembered. */
  int known() {
    return peers.size();
  }

  /** How many connections there are. */
  int connections() {
    return table.size();
  }

  /** How many attempts wait to be handed to their connections. */
  int unhanded() {
    return table.all().stream().mapToInt(l -> l.waiting.size()).sum();
  }

  // ---- Attempts ----

  /** Brings an attempt to its engine; what becomes of it is told later, never within this call. */
  void send(EngineAttempt a) {
    EngineConnection link = link(a.engine, a);
    if (link == null) {
      loop.later(() -> end(a, AttemptOutcome.UNREACHED));
      return;
    }
    a.link = link;
    link.open.put(a.request.id, a);
    link.waiting.add(a);
    toHandOver.add(link);
    touch(link);
  }

  /**
   * Hands what waits to the connections, at the end of a turn, when all that has come is known.
   * Each attempt is asked for once more just before its first byte leaves: it may have waited for a
   * dial, or for a connection that takes nothing.
   */
  private void handOver() {
    List<EngineConnection> links = List.copyOf(toHandOver);
    toHandOver.clear();
    boolean refused = false;
    for (EngineConnection l : links) {
      for (EngineAttempt a : List.copyOf(l.waiting)) {
        if (!watcher.mayStart(a)) {
          l.waiting.remove(a);
          loop.later(() -> end(a, AttemptOutcome.NOT_SENT));
          refused = true;
        } else if (l.session != null && l.session.getScheduledWriteBytes() <= MAX_HANDED) {
          l.waiting.remove(a);
          ask(a);
        }
      }
      if (l.session != null && !l.waiting.isEmpty()) {
        l.writing.addListener(f -> loop.post(0, () -> toHandOver.add(l)));
      }
    }
    if (refused) {
      loop.later(this::handOver); // what the module sends instead
    }
  }

  /**
   * Where an attempt that may not begin is on its way, and its connection doesn't take it, that
   * ends.
   */
  private void keepFromLeaving(EngineAttempt a) {
    if (a.reach() == AttemptProgress.NOT_WHOLE) {
      EngineConnection l = a.link;
      loop.deadlines()
          .add(
              loop.now() + STUCK,
              () -> {
                if (!l.closed && !a.written.isWritten()) {
                  LOG.log(
                      Level.INFO, "engine {0} takes nothing; its connection is closed", l.engine);
                  l.suspect = true;
                  l.session.closeNow(); // how far each came is judged once nothing more can leave
                }
              });
    }
  }

  /**
   * A connection with room, which no earlier attempt of the request used: late answers can't be
   * mixed up.
   */
  private EngineConnection link(String engine, EngineAttempt a) {
    Peer peer = peers.get(engine);
    if (peer == null || peer.member == null) {
      return null;
    }
    EngineConnection best = null;
    for (EngineConnection l : peer.links) {
      boolean fresh = a == null || a.request.attempts.stream().noneMatch(o -> o.link == l);
      fresh &= l.session == null || !l.session.isClosing();
      if (fresh
          && l.open.size() < transport.maxStreamsPerConnection()
          && (best == null || better(l, best))) {
        best = l;
      }
    }
    boolean want = best == null || best.suspect;
    EngineConnection dialled = want && peer.links.size() < MAX_LINKS ? dial(peer) : null;
    return dialled != null ? dialled : best;
  }

  /** First those that are not silent, then those that are up, then the least used. */
  private static boolean better(EngineConnection l, EngineConnection other) {
    if (l.suspect != other.suspect) {
      return !l.suspect;
    }
    if ((l.session == null) != (other.session == null)) {
      return l.session != null;
    }
    return l.open.size() < other.open.size();
  }

  private void ask(EngineAttempt a) {
    long now = loop.now();
    long budget = Math.max(1, (a.until - now) / MILLISECOND);
    a.reach = AttemptProgress.NOT_WHOLE;
    a.written =
        a.link.writing =
            Sockets.write(
                a.link.session,
                EngineCommandWriter.ask(
                    a.request.id,
                    a.request.queryClass,
                    budget,
                    a.request.key,
                    a.request.priority,
                    new Bytes(a.request.frame, a.request.from, a.request.length)));
  }

  /**
   * Gives up an attempt that has not ended: the engine is told, and its answer is no longer known
   * here.
   */
  void withdraw(EngineAttempt a) {
    gathered -= a.size;
    a.size = 0;
    EngineConnection l = a.link;
    if (l == null || l.open.get(a.request.id) != a) {
      return;
    }
    l.open.remove(a.request.id);
    l.waiting.remove(a);
    keepFromLeaving(a);
    if (a.reach != AttemptProgress.NOT_CONNECTED) {
      // Silence is told by time: a request withdrawn at once has seen none.
      l.suspect |= l.lastHeard < a.sentAt && loop.now() - a.sentAt > transport.dialTimeoutNanos();
      write(
          l,
          a.reach == AttemptProgress.ANSWERING
              ? EngineCommandWriter.free(a.request.id)
              : EngineCommandWriter.quit(a.request.id));
    }
    rest(l);
  }

  /** Sets the priority of an attempt that is out. */
  void priority(EngineAttempt a, int priority) {
    if (a.link != null
        && !a.ended
        && (a.reach == AttemptProgress.OUT || a.reach == AttemptProgress.NOT_WHOLE)) {
      write(a.link, EngineCommandWriter.priority(a.request.id, priority));
    }
  }

  private void end(EngineAttempt a, AttemptOutcome outcome) {
    if (a.link != null) {
      a.link.open.remove(a.request.id, a);
      rest(a.link);
    }
    watcher.ended(a, outcome);
  }

  // ---- Probes ----

  /** Asks an engine how it is. */
  void probe(String engine) {
    EngineConnection link = link(engine, null);
    if (link == null) {
      loop.later(() -> watcher.probed(engine, false, null));
      return;
    }
    String tag = "p" + probeCount++;
    link.probes.put(
        tag,
        loop.deadlines()
            .add(loop.now() + transport.dialTimeoutNanos(), () -> probed(link, tag, false, null)));
    touch(link);
    if (link.session != null) {
      write(link, EngineCommandWriter.probe(tag, reports));
    }
  }

  private void probed(EngineConnection l, String tag, boolean answered, LoadReport report) {
    if (l.probes.containsKey(tag)) {
      loop.deadlines().cancel(l.probes.remove(tag));
      rest(l);
      watcher.probed(l.engine, answered, report);
    }
  }

  // ---- Connections ----

  private EngineConnection dial(Peer peer) {
    EngineConnection l =
        new EngineConnection(peer.member.endpoint().name(), peer.member.endpoint().incarnation());
    l.handle = table.add(l);
    if (l.handle == GenerationalSlots.NONE) {
      return null;
    }
    peer.links.add(l);
    InetSocketAddress address = peer.member.address();
    l.dial =
        loop.deadlines()
            .add(
                loop.now() + transport.dialTimeoutNanos(),
                () -> {
                  LOG.log(
                      Level.INFO, "engine {0} at {1}: no connection in time", l.engine, address);
                  Sockets.giveUp(l.connecting);
                  close(l, true, "no connection in time");
                });
    connect(l, address);
    return l;
  }

  /**
   * Connects; again after a moment, within the dial's time, where it is this machine that can't.
   */
  private void connect(EngineConnection l, InetSocketAddress address) {
    if (l.closed) {
      return;
    }
    ConnectFuture future =
        connector.connect(address, (session, f) -> session.setAttribute(LINK, l.handle));
    l.connecting = future;
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            loop.post(0, () -> connectFailed(l, address, future));
          }
        });
  }

  private void connectFailed(EngineConnection l, InetSocketAddress address, ConnectFuture future) {
    LOG.log(Level.DEBUG, "engine {0} at {1}: {2}", l.engine, address, future.getException());
    l.failedHere = sockets.failedHere(future);
    if (l.failedHere) {
      loop.deadlines().add(loop.now() + REDIAL, () -> connect(l, address));
    } else {
      close(l, true, "the dial failed");
    }
  }

  private void up(EngineConnection l, IoSession session) {
    if (l == null || l.closed) {
      session.closeNow();
      return;
    }
    loop.deadlines().cancel(l.dial);
    l.session = session;
    l.lastHeard = loop.now();
    toHandOver.add(l);
    l.probes.keySet().forEach(tag -> write(l, EngineCommandWriter.probe(tag, reports)));
    rest(l);
  }

  private void touch(EngineConnection l) {
    loop.deadlines().cancel(l.idle);
    l.idle = null;
  }

  /**
   * A connection on which nothing is open is closed once its engine is gone, or when it is idle for
   * long.
   */
  private void rest(EngineConnection l) {
    if (l.closed || !l.unused() || l.session == null) {
      return;
    }
    Peer peer = peers.get(l.engine);
    if (peer == null || peer.member == null) {
      close(l, false, "the engine is gone");
      return;
    }
    touch(l);
    l.idle =
        loop.deadlines()
            .add(
                loop.now() + (long) (transport.keepaliveNanos() * IDLE_SHARE),
                () -> close(l, false, "idle"));
  }

  /**
   * Ends a connection: what is open on it ends as far as it has come. Where the connection has not
   * ended by itself, what waits to be written still goes out, so nothing handed to it is proved
   * never to have run. The reason is for the log.
   */
  private void close(EngineConnection l, boolean hasEnded, String why) {
    if (l.closed) {
      return;
    }
    l.closed = true;
    table.remove(l.handle);
    loop.deadlines().cancel(l.dial);
    touch(l);
    Peer peer = peers.get(l.engine);
    if (peer != null) {
      peer.links.remove(l);
      if (peer.member == null && peer.links.isEmpty()) {
        peers.remove(l.engine);
      }
    }
    if (l.session != null) {
      closing.end(l.session); // commands that give requests up go out first
    }
    List<EngineAttempt> open = List.copyOf(l.open.values());
    List<String> tags = List.copyOf(l.probes.keySet());
    if (!open.isEmpty()) {
      LOG.log(
          Level.INFO,
          "engine {0}: a connection goes with {1} requests open: {2}",
          l.engine,
          open.size(),
          why);
    }
    l.open.clear();
    l.waiting.clear();
    toHandOver.remove(l);
    for (EngineAttempt a : open) {
      AttemptProgress reach = a.reach();
      boolean mayStillGo = reach == AttemptProgress.NOT_WHOLE && !hasEnded;
      // A dial that this machine could not make is no evidence against the engine.
      AttemptOutcome broken =
          reach == AttemptProgress.NOT_CONNECTED && l.failedHere
              ? AttemptOutcome.NOT_SENT
              : reach.broken;
      loop.later(() -> watcher.ended(a, mayStillGo ? AttemptOutcome.RESET : broken));
    }
    for (String tag : tags) {
      loop.deadlines().cancel(l.probes.remove(tag));
      loop.later(() -> watcher.probed(l.engine, false, null));
    }
  }

  private void write(EngineConnection l, ByteBuffer bytes) {
    if (l.session != null && !l.closed) {
      l.writing = Sockets.write(l.session, bytes);
    }
  }

  /** Ends connections on which an answer has stopped half-way: nothing more can be read there. */
  void sweep() {
    long latest = loop.now() - MAX_PARTIAL;
    table.all().stream()
        .filter(l -> l.begunAt < latest)
        .forEach(l -> spoilt(l, "an answer that stopped"));
  }

  // ---- What engines say ----

  private final class Heard implements Listener<EngineResponse> {
    @Override
    public void opened(IoSession session) {
      long handle = (Long) session.getAttribute(LINK);
      loop.post(0, () -> up(table.get(handle), session));
    }

    @Override
    public void received(IoSession session, EngineResponse answer, int bytes) {
      long handle = (Long) session.getAttribute(LINK);
      loop.post(
          bytes,
          () -> {
            EngineConnection l = table.get(handle);
            if (l != null) {
              heard(l, answer);
            }
          });
    }

    @Override
    public void begun(IoSession session) {
      long handle = (Long) session.getAttribute(LINK);
      loop.post(
          0,
          () -> {
            EngineConnection l = table.get(handle);
            if (l != null) {
              l.begunAt = loop.now();
            }
          });
    }

    @Override
    public void spoilt(IoSession session) {
      long handle = (Long) session.getAttribute(LINK);
      loop.post(
          0,
          () -> {
            EngineConnection l = table.get(handle);
            if (l != null) {
              close(l, false, "it sent what can't be read");
            }
          });
    }

    @Override
    public void closed(IoSession session) {
      long handle = (Long) session.getAttribute(LINK);
      loop.post(
          0,
          () -> {
            EngineConnection l = table.get(handle);
            if (l != null) {
              close(l, true, "it has ended");
            }
          });
    }
  }

  private void heard(EngineConnection l, EngineResponse answer) {
    l.lastHeard = loop.now();
    l.suspect = false;
    l.begunAt = Long.MAX_VALUE;
    LoadReport report = report(answer.fields().get("use"));
    if (l.probes.containsKey(answer.id())) {
      switch (answer.word()) {
        case UP, DOWN -> probed(l, answer.id(), answer.word() == EngineResponse.Word.UP, report);
        default -> spoilt(l, answer.word() + " to a probe");
      }
      return;
    }
    EngineAttempt a = l.open.get(answer.id());
    if (a == null) {
      return; // the answer to a request given up, or to none
    }
    if (a.reach == AttemptProgress.NOT_WHOLE) {
      a.reach = AttemptProgress.OUT; // only what has come whole is answered
    }
    a.report = report != null ? report : a.report;
    switch (answer.word()) {
      case OK -> firstPage(l, a, answer);
      case ROWS -> furtherPage(l, a, answer);
      case BUSY -> end(a, AttemptOutcome.FULL);
      case ERR -> end(a, AttemptOutcome.ERROR);
      case VOID ->
          end(
              a,
              AttemptOutcome
                  .NOT_SENT); // over before it came: it never ran, and no engine is at fault
      case NOTE -> note(a, answer);
      default -> spoilt(l, answer.word() + " to a request");
    }
  }

  private void firstPage(EngineConnection l, EngineAttempt a, EngineResponse answer) {
    if (!a.pages.isEmpty()) {
      return; // a second copy
    }
    long count = Numbers.whole(answer.fields().get("fetches"), -1);
    if (count < 1 || count > MAX_PAGES) {
      spoilt(l, "a result of " + answer.fields().get("fetches") + " pages");
      return;
    }
    a.reach = AttemptProgress.ANSWERING;
    a.pageCount = (int) count;
    a.costMs = Math.round(Numbers.real(answer.fields().get("effort"), 0));
    a.memoryMb = Numbers.real(answer.fields().get("high"), 0);
    page(l, a, answer.body());
  }

  private void furtherPage(EngineConnection l, EngineAttempt a, EngineResponse answer) {
    long number = Numbers.whole(answer.fields().get("fetch_no"), -1);
    if (number > 0 && number < a.pages.size()) {
      return; // a second copy
    }
    if (a.pages.isEmpty() || number != a.pages.size()) {
      spoilt(l, "page " + answer.fields().get("fetch_no") + " out of turn");
      return;
    }
    page(l, a, answer.body());
  }

  private void page(EngineConnection l, EngineAttempt a, byte[] body) {
    a.pages.add(body);
    a.size += body.length;
    gathered += body.length;
    if (a.size > MAX_RESULT || !Rows.whole(body)) {
      spoilt(l, "a page that is not whole rows, or " + a.size + " bytes of a result");
    } else if (gathered > MAX_GATHERED) {
      LOG.log(
          Level.WARNING,
          "{0} bytes of results wait for their rest: one of {1} is dropped",
          gathered,
          l.engine);
      write(l, EngineCommandWriter.free(a.request.id));
      end(a, AttemptOutcome.ERROR);
    } else if (a.pages.size() < a.pageCount) {
      write(l, EngineCommandWriter.next(a.request.id, a.pages.size()));
    } else {
      if (a.pageCount > 1) {
        write(l, EngineCommandWriter.free(a.request.id));
      }
      end(a, AttemptOutcome.SERVED);
    }
  }

  /**
   * What can't be read: nothing that follows on the connection can be trusted, so that all that is
   * open on it ends with it, now instead of at its time-out. Harms where an engine is only odd: its
   * other work is lost.
   */
  private void spoilt(EngineConnection l, String what) {
    LOG.log(Level.WARNING, "engine {0} sent {1}; its connection is closed", l.engine, what);
    close(l, false, "it sent what can't be passed on");
  }

  private void note(EngineAttempt a, EngineResponse answer) {
    double amount = Numbers.real(answer.fields().get("figure"), 0);
    ProgressKind kind =
        switch (answer.fields().getOrDefault("detail", "")) {
          case "so_far" -> ProgressKind.PROGRESS;
          case "lacking" -> ProgressKind.SPILL;
          case "waiting" -> amount == 2 ? ProgressKind.LOAD_WAIT : ProgressKind.MEMORY_WAIT;
          default -> ProgressKind.OTHER;
        };
    watcher.noted(a, kind, amount);
  }

  private static LoadReport report(String use) {
    if (use == null) {
      return null;
    }
    Map<String, Double> values = new LinkedHashMap<>();
    for (String value : use.split(";")) {
      int colon = value.indexOf(':');
      if (colon > 0) {
        values.put(value.substring(0, colon), Numbers.real(value.substring(colon + 1), 0));
      }
    }
    return new LoadReport(
        values.getOrDefault("util", 0.0),
        values.getOrDefault("queue", 0.0),
        values.getOrDefault("x0", 0.0),
        values.getOrDefault("x1", 0.0));
  }
}
