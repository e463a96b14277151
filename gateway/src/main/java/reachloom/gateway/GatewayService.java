package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.gateway.state.ClientConnection;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.ClientRequest;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.GenerationalSlots;
import reachloom.gateway.wire.Bytes;
import reachloom.gateway.wire.ClientCall;
import reachloom.gateway.wire.Decoder;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.EndpointListEvent;
import reachloom.gateway.wire.FrameDecoder;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;
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
 * One gateway on sockets: tells the decision module what happens, in order, and does what it says.
 * It translates, keeps time and keeps bounds; it decides nothing. All of it runs on the loop's
 * thread.
 */
public final class GatewayService
    implements SchedulerActions, AttemptListener, ChangeLogClient.Subscriber {
  private static final Logger LOG = System.getLogger(GatewayService.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final AttributeKey CLIENT = new AttributeKey(GatewayService.class, "client");
  private static final int MAX_FRAME = 64 * 1024;

  /** Connections just accepted, or just closed, beside those in the table: a part of as many. */
  private static final int ARRIVING_PART = 8;

  private static final int MAX_OPEN = 32; // requests on one connection, as the protocol says

  /** Bytes of statements held; past that, requests are refused unseen. */
  private static final long MAX_HELD = 8L << 20;

  /**
   * Bytes of answers that clients have not taken yet, of all and of one that others would wait for.
   */
  private static final long MAX_UNSENT = 8L << 20;

  /**
   * Time-outs come so long before the client stops waiting, or a part of its time where that is
   * short: wake-ups are late by tens of milliseconds where the machine is shared, and the rule
   * gives 50.
   */
  private static final long AHEAD = 80 * MILLISECOND;

  private static final int AHEAD_PART = 10;

  /** The front's own answer comes at this part of that time: the module's goes first. */
  private static final int BACKSTOP_PART = 4;

  /** What an engine is sent has come there by then, unless the network stands. */
  private static final long FAREWELL = 5 * MILLISECOND;

  /**
   * Clients that stay silent, or stop within a message, are closed after so long: they hold
   * descriptors.
   */
  private static final long MAX_SILENCE = 2_000 * MILLISECOND;

  /**
   * Clients close idle connections after 4 s by themselves; one that is idle for longer only holds
   * on. Where an installation's clients keep theirs, its settings say for how long.
   */
  private static final long MAX_IDLE = 10_000 * MILLISECOND;

  /**
   * The first message of a client that means to ask is here by then, also where this process is
   * starved.
   */
  private static final long FIRST_WORDS = 1_000 * MILLISECOND;

  private static final long SWEEP = 200 * MILLISECOND;

  private final GatewayConfig config;
  private final EventLoop loop;
  private final SchedulerEvents module;
  private final Sockets sockets;
  private final LingeringClose closing;
  private final EngineClient engines;
  private final ChangeLogClient changeLog;
  private final ClientConnectionTable clients;
  private final int mostClients;
  private final GenerationalSlots<ClientRequest> requests;
  private final Map<String, ClientRequest> byId = new HashMap<>();
  private long heldBytes;
  private final AtomicLong unsent = new AtomicLong();
  private boolean good;
  private long mostIdle = MAX_IDLE;

  /** No more clients are taken; some may have come up that the loop has not heard of. */
  private boolean closed;

  /** Hears of engines; null where nobody does. */
  private EngineOutcomeListener observer;

  /** Once the gateway is to stop: by when all must be answered; else the largest time. */
  private long answerBy = Long.MAX_VALUE;

  /** A gateway that has not started; the factory makes its decision module. */
  public GatewayService(
      GatewayConfig config, EventLoop loop, Function<SchedulerActions, SchedulerEvents> factory) {
    this.config = config;
    this.loop = loop;
    module = factory.apply(this);
    int third = config.maxSockets() / 3;
    sockets = new Sockets(third + third / ARRIVING_PART);
    clients = new ClientConnectionTable(third + third / ARRIVING_PART);
    mostClients = third;
    requests = new GenerationalSlots<>(config.transport().maxOpenRequests());
    closing =
        new LingeringClose(
            loop, sockets, config.transport().dialTimeoutNanos(), third / ARRIVING_PART);
    engines =
        new EngineClient(
            loop,
            sockets,
            closing,
            this,
            new EngineClient.Options(
                config.transport(), config.settings().traits().loadReports(), third));
    changeLog = new ChangeLogClient(loop, sockets, closing, config, this);
  }

  // ---- Start and stop ----

  /**
   * Starts as {@link #start()}; does that once the list of engines is that of now, as far as can be
   * told.
   */
  public void start(Runnable then) {
    start();
    changeLog.whenCaughtUp(then);
  }

  /** Starts the module and follows the change log. */
  public void start() {
    engines.update(true, config.knownEngines());
    tell(() -> module.onStart(loop.now(), config.seed(), config.settings()));
    tell(
        () ->
            module.onEndpoints(
                loop.now(),
                true,
                config.knownEngines().stream().map(EngineMember::endpoint).toList()));
    if (observer != null) {
      observer.onEndpoints(true, config.knownEngines());
    }
    changeLog.connect();
    sweep();
  }

  /** Lets somebody hear what is learned of engines; before the start. */
  public void observe(EngineOutcomeListener of) {
    observer = of;
  }

  /** What other instances say of an engine; for the loop's own thread. */
  public void hearsay(String engine, double level) {
    tell(() -> module.onPeerReport(loop.now(), engine, level));
  }

  /** Listens for clients. */
  public void listen() throws java.io.IOException {
    sockets.listen(config.listen(), new DecodingHandler<>("client", CallDecoder::new, new Heard()));
  }

  /** Takes over from a configuration read anew what may change while the gateway runs. */
  public void reload(GatewayConfig next) {
    changeLog.reconfigure(next);
  }

  /**
   * How long clients may rest with nothing open, in nanoseconds; absent, as long as without a
   * setting.
   */
  public void clientIdleTimeout(OptionalLong time) {
    mostIdle = time.orElse(MAX_IDLE);
  }

  /** What {@code check} answers from now on. */
  public void good(boolean value) {
    good = value;
  }

  /** All that comes from now on has to be answered by that time. */
  public void answerBy(long time) {
    answerBy = time;
  }

  /** How many requests are open. */
  public int open() {
    return (int) requests.all().stream().filter(r -> !r.over).count();
  }

  /** Answers all that is still open, as far as the rules allow without a decision. */
  public void answerAll() {
    for (ClientRequest r : requests.all()) {
      if (!r.over) {
        giveUp(r, "the gateway stops");
      }
    }
  }

  /** Takes no more clients, and closes the connections once what they are owed is written. */
  public void close() {
    closed = true;
    closing.allAtOnce();
    sockets.unbind();
    clients.all().forEach(c -> hangUp(c, "the gateway stops"));
  }

  /**
   * Ends all connections at once, as the end of the process would: for many gateways in one
   * process.
   */
  public void abandon() {
    sockets.abandon();
  }

  /** How many connections are still on their way to their end. */
  public int closing() {
    return closing.pending();
  }

  /** What all tables hold, by name; for the loop's own thread. */
  Map<String, Integer> held() {
    return Map.of(
        "requests",
        requests.size(),
        "ids",
        byId.size(),
        "clients",
        clients.size(),
        "statements",
        (int) heldBytes,
        "engines",
        engines.engineCount(),
        "connections",
        engines.connectionCount(),
        "unhanded",
        engines.unsentAttempts(),
        "deadlines",
        loop.deadlines().size());
  }

  /** An exception of the module costs what the event was about, not the process. */
  private void tell(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "the decision module failed on an event", e);
    }
  }

  // ---- The list of engines ----

  @Override
  public void onEvent(EndpointListEvent change) {
    engines.update(change.isComplete(), change.members());
    tell(
        () ->
            module.onEndpoints(
                loop.now(),
                change.isComplete(),
                change.members().stream().map(EngineMember::endpoint).toList()));
    if (observer != null) {
      observer.onEndpoints(change.isComplete(), change.members());
    }
  }

  @Override
  public void onUnavailable() {
    if (config.settings().subscribe()) {
      tell(() -> module.onEndpointsUnavailable(loop.now()));
    }
  }

  // ---- Clients ----

  private static final class CallDecoder implements Decoder<ClientCall> {
    private final FrameDecoder frames = new FrameDecoder(1, MAX_FRAME);
    private String fault;

    @Override
    public boolean partial() {
      return frames.partial();
    }

    @Override
    public String feed(
        byte[] bytes, int from, int to, java.util.function.Consumer<? super ClientCall> messages) {
      String broken =
          frames.feed(
              bytes,
              from,
              to,
              f -> {
                ClientCall call = fault == null ? ThriftReader.read(f) : null;
                if (call instanceof ClientCall.Broken b) {
                  fault = b.why();
                } else if (call != null) {
                  messages.accept(call);
                }
              });
      return fault != null ? fault : broken;
    }
  }

  private final class Heard implements Listener<ClientCall> {
    @Override
    public void opened(IoSession session) {
      loop.post(
          0,
          () -> {
            if (closed) { // what it has asked would be sent on, with nobody left to answer it
              closing.end(session);
              return;
            }
            ClientConnection c = new ClientConnection(session, loop.now());
            if (!admit(c)) {
              session.closeNow();
              return;
            }
            session.setAttribute(CLIENT, c.handle);
          });
    }

    @Override
    public void received(IoSession session, ClientCall call, int bytes) {
      if (Sockets.hasEnded(session)) {
        return; // it has gone: nothing is owed to it, and nothing may begin
      }
      long at = loop.now();
      loop.post(
          bytes,
          () -> {
            ClientConnection c = client(session);
            if (c != null) {
              clients.heard(c, at);
              called(c, call, at);
            }
          });
    }

    @Override
    public void begun(IoSession session) {
      loop.post(
          0,
          () -> {
            ClientConnection c = client(session);
            if (c != null) {
              clients.begun(c, loop.now());
            }
          });
    }

    @Override
    public void spoilt(IoSession session) {
      loop.post(
          0,
          () -> {
            ClientConnection c = client(session);
            if (c != null) {
              hangUp(c, "it sent what can't be read");
            }
          });
    }

    @Override
    public void closed(IoSession session) {
      loop.post(
          0,
          () -> {
            ClientConnection c = client(session);
            if (c != null) {
              clients.remove(c);
              tellOfClose(c, "it has ended");
              List.copyOf(c.open.values()).forEach(GatewayService.this::left);
            }
          });
    }
  }

  /**
   * Closes the clients that never say anything whole, stop within a message, or only hold on: no
   * more at once than can end in order. The others go with the next sweep, or make room for new
   * ones before.
   */
  private void sweep() {
    long now = loop.now();
    for (ClientConnection c = overdue(now); c != null && closing.hasRoom(); c = overdue(now)) {
      hangUp(c, "it rests, or stays silent");
    }
    engines.closeStalledConnections();
    tellOfWallClock();
    loop.deadlines().add(now + SWEEP, this::sweep);
  }

  private void tellOfWallClock() {
    long step = loop.wallClockStep();
    if (step != 0) {
      LOG.log(
          Level.WARNING,
          "the wall clock was stepped by {0} ms; all spans of time run on as they were",
          Long.toString(step / MILLISECOND));
    }
  }

  private ClientConnection overdue(long now) {
    return clients.overdue(now - MAX_SILENCE, now - mostIdle);
  }

  /**
   * Takes a client in; false where the table is full and all in it have work open. Past their
   * number another one gives way, but not at once: what has been read of it by now counts first.
   */
  private boolean admit(ClientConnection c) {
    if (!clients.add(c)) {
      makeRoom();
      return clients.add(c);
    }
    if (clients.size() > mostClients) {
      loop.post(0, this::makeRoom);
    }
    return true;
  }

  private void makeRoom() {
    ClientConnection other =
        clients.size() > mostClients ? clients.inTheWay(loop.now() - FIRST_WORDS) : null;
    if (other != null) {
      hangUp(other, "it makes room for others");
    }
  }

  private void hangUp(ClientConnection c, String why) {
    clients.remove(c);
    tellOfClose(c, why);
    closing.end(c.session);
    List.copyOf(c.open.values()).forEach(this::left);
  }

  /**
   * Tells of a client's connection that goes with requests open on it: nobody gets their answers.
   */
  private static void tellOfClose(ClientConnection c, String why) {
    if (!c.open.isEmpty()) {
      LOG.log(
          Level.INFO,
          "client {0} goes with {1} requests open: {2}",
          c.session.getRemoteAddress(),
          c.open.size(),
          why);
    }
  }

  private ClientConnection client(IoSession session) {
    Long handle = (Long) session.getAttribute(CLIENT);
    return handle == null ? null : clients.get(handle);
  }

  private void called(ClientConnection c, ClientCall call, long at) {
    if (call instanceof ClientCall.Execute e) {
      execute(c, e, at);
    } else if (call instanceof ClientCall.Interrupt i) {
      ClientRequest r = c.open.get(i.target());
      if (r != null) {
        left(r);
      }
    } else if (call instanceof ClientCall.Check k) {
      write(c, ThriftWriter.check(k.seq(), good));
    } else if (call instanceof ClientCall.Unusable u) {
      write(c, ThriftWriter.exception(u));
    }
  }

  private void execute(ClientConnection c, ClientCall.Execute call, long at) {
    Optional<RequestFields> read = RequestFields.read(call.fields(), config);
    boolean known = read.isPresent() && byId.containsKey(read.get().id());
    if (read.isEmpty() || known || c.open.containsKey(call.seq())) {
      LOG.log(
          Level.WARNING,
          "a request with fields that can''t be used, or an id that is open: {0}",
          call.fields().get("txn"));
      write(c, ThriftWriter.failed(call.seq()));
      return;
    }
    RequestFields fields = read.get();
    Bytes statement = call.statement();
    long deadline = Math.min(at + fields.limitMs() * MILLISECOND, answerBy);
    ClientRequest r =
        new ClientRequest(
            fields.id(),
            config.names().classes().get(fields.queryClass()),
            fields.key(),
            statement.array(),
            statement.from(),
            statement.length(),
            c.handle,
            call.seq(),
            at,
            deadline);
    boolean room = c.open.size() < MAX_OPEN && heldBytes + statement.array().length <= MAX_HELD;
    r.handle = room ? requests.add(r) : GenerationalSlots.NONE;
    if (r.handle == GenerationalSlots.NONE) {
      LOG.log(
          Level.WARNING,
          "no room for a request: {0} open, {1} on its connection, {2} bytes held",
          requests.size(),
          c.open.size(),
          heldBytes);
      write(c, ThriftWriter.busy(call.seq())); // it was never sent
      return;
    }
    open(c, r);
    long now = loop.now();
    Query query =
        new Query(
            r.id,
            fields.queryClass(),
            fields.tenant(),
            null,
            Math.max(0, deadline - now),
            0,
            0,
            TableGroup.of(statement),
            false);
    tell(() -> module.onQuery(now, query));
  }

  /** Books a request that is taken. */
  private void open(ClientConnection c, ClientRequest r) {
    heldBytes += r.frame.length;
    byId.put(r.id, r);
    c.open.put(r.seq, r);
    clients.touch(c, r.arrivedAt);
    r.backstop =
        loop.deadlines()
            .add(r.deadline - ahead(r) / BACKSTOP_PART, () -> giveUp(r, "its time is up"));
  }

  private static long ahead(ClientRequest r) {
    return Math.min(AHEAD, (r.deadline - r.arrivedAt) / AHEAD_PART);
  }

  private void left(ClientRequest r) {
    if (r.over) {
      return;
    }
    close(r);
    tell(() -> module.onClientGone(loop.now(), r.id));
    drop(r);
  }

  /**
   * The front's own end of a request, for when no decision has come: a failure promises nothing.
   */
  private void giveUp(ClientRequest r, String why) {
    if (r.over) {
      return;
    }
    LOG.log(Level.INFO, "request {0} ends unserved: {1}", r.id, why);
    RequestLog.unserved(r, r.attempts.isEmpty() ? "refused" : "failed", loop.now());
    answer(r, r.attempts.isEmpty() ? ThriftWriter.busy(r.seq) : ThriftWriter.failed(r.seq));
    tell(() -> module.onClientGone(loop.now(), r.id));
    for (EngineAttempt a : List.copyOf(r.attempts)) {
      finish(a, AttemptOutcome.CANCELLED); // those that the module may not call off
    }
    drop(r);
  }

  private void answer(ClientRequest r, ByteBuffer bytes) {
    ClientConnection c = clients.get(r.client);
    close(r);
    if (c != null) {
      write(c, bytes);
    }
  }

  /** The request is owed nothing more. */
  private void close(ClientRequest r) {
    r.over = true;
    loop.deadlines().cancel(r.backstop);
    ClientConnection c = clients.get(r.client);
    if (c != null) {
      c.open.remove(r.seq, r);
      clients.touch(c, loop.now());
    }
  }

  /** Forgets a request that is over and has nothing out. */
  private void drop(ClientRequest r) {
    if (r.over && r.out == 0 && requests.get(r.handle) == r) {
      requests.remove(r.handle);
      byId.remove(r.id);
      heldBytes -= r.frame.length;
    }
  }

  private void write(ClientConnection c, ByteBuffer bytes) {
    clients.touch(c, loop.now());
    int size = bytes.remaining();
    boolean full = unsent.get() + size > MAX_UNSENT;
    if (full && c.session.getScheduledWriteBytes() > MAX_UNSENT / clients.size()) {
      LOG.log(
          Level.WARNING,
          "client {0} does not take its answers; its connection is closed",
          c.session.getRemoteAddress());
      c.session.closeNow();
      return;
    }
    unsent.addAndGet(size);
    Sockets.write(c.session, bytes).addListener(f -> unsent.addAndGet(-size));
  }

  // ---- What becomes of attempts ----

  /** The conditions that hold when bytes leave: the front's own, and what the module says. */
  @Override
  public boolean mayStart(EngineAttempt a) {
    ClientRequest r = a.request;
    long now = loop.now();
    try {
      return !r.over && !a.ended && now < a.deadlineNanos && module.mayStart(now, r.id, a.number);
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "the decision module failed on an event", e);
      return false;
    }
  }

  @Override
  public void onAttemptEnded(EngineAttempt a, AttemptOutcome outcome) {
    finish(a, outcome);
  }

  /**
   * Ends an attempt here; the module hears of it at once, or once the engine knows that it is given
   * up.
   */
  private void finish(EngineAttempt a, AttemptOutcome outcome) {
    if (a.ended) {
      return;
    }
    a.ended = true;
    loop.deadlines().cancel(a.timeout);
    boolean givenUp = outcome.mayRunOn && a.isConnected();
    engines.withdraw(a);
    if (outcome == AttemptOutcome.SERVED && !a.request.over) {
      answer(
          a.request, ThriftWriter.answer(a.request.seq, a.pages.stream().map(Bytes::of).toList()));
    }
    if (givenUp && !a.request.over) {
      // The word that it is given up travels on its own connection: a further attempt elsewhere,
      // sent at
      // once, could come before it, and two would be out.
      loop.deadlines().add(loop.now() + FAREWELL, () -> told(a, outcome));
    } else {
      told(a, outcome);
    }
  }

  private void told(EngineAttempt a, AttemptOutcome outcome) {
    ClientRequest r = a.request;
    r.out--;
    long now = loop.now();
    boolean served = outcome == AttemptOutcome.SERVED;
    RequestLog.ended(a, outcome, now - a.sentAtNanos);
    AttemptResult end =
        new AttemptResult(
            r.id,
            a.number,
            a.engine,
            outcome,
            now - a.sentAtNanos,
            r.over,
            served ? a.costMs : 0,
            served ? a.memoryMb : 0,
            a.loadReport);
    a.pages.clear();
    if (observer != null) {
      observer.onAttemptEnded(a.engine, outcome, served || !r.over);
    }
    tell(() -> module.onAttemptEnded(now, end));
    drop(r);
  }

  @Override
  public void onProgress(EngineAttempt a, ProgressKind kind, double amount) {
    tell(
        () ->
            module.onProgress(
                loop.now(), new ProgressReport(a.request.id, a.number, a.engine, kind, amount)));
  }

  @Override
  public void onHealthCheck(String engine, boolean answered, Optional<LoadReport> report) {
    tell(() -> module.onHealthCheck(loop.now(), engine, answered, report.orElse(null)));
  }

  // ---- What the module does ----

  @Override
  public void forward(String query, String engine, long timeout) {
    ClientRequest r = byId.get(query);
    if (r == null) {
      LOG.log(Level.ERROR, "the module sends {0}, which is not open", query);
      return;
    }
    long now = loop.now();
    long latest = r.deadline - ahead(r);
    long until = timeout <= 0 ? latest : Math.min(latest, now + timeout);
    EngineAttempt a = new EngineAttempt(r, r.attempts.size(), engine, now, until);
    r.attempts.add(a);
    r.out++;
    boolean allowed = !r.over && until > now && a.number < config.settings().limits().maxAttempts();
    if (!allowed) {
      loop.later(() -> finish(a, AttemptOutcome.NOT_SENT));
      return;
    }
    if (a.number > 0) {
      RequestLog.repeated(r, a, now);
    }
    a.timeout = loop.deadlines().add(until, () -> finish(a, a.progress().outcomeIfTimedOut));
    engines.send(a);
  }

  @Override
  public void setResources(String query, double grantMb, int priority) {
    ClientRequest r = byId.get(query);
    if (r != null && r.priority != priority) { // engines of this protocol take no grant
      r.priority = priority;
      r.attempts.stream().filter(a -> !a.ended).forEach(a -> engines.setPriority(a, priority));
    }
  }

  @Override
  public void cancelAttempt(String query, int attempt) {
    ClientRequest r = byId.get(query);
    if (r != null && attempt < r.attempts.size()) {
      loop.later(() -> finish(r.attempts.get(attempt), AttemptOutcome.CANCELLED));
    }
  }

  @Override
  public void reject(String query, long retryAfter) {
    conclude(query, "refused", r -> ThriftWriter.busy(r.seq));
  }

  @Override
  public void fail(String query) {
    conclude(query, "failed", r -> ThriftWriter.failed(r.seq));
  }

  /** The module's final answer; one that comes after another changes nothing. */
  private void conclude(String query, String answer, Function<ClientRequest, ByteBuffer> words) {
    ClientRequest r = byId.get(query);
    if (r != null && !r.over) {
      RequestLog.unserved(r, answer, loop.now());
      answer(r, words.apply(r));
      drop(r);
    }
  }

  @Override
  public void setTimer(long delay, long token) {
    loop.deadlines().add(loop.now() + delay, () -> tell(() -> module.onTimer(loop.now(), token)));
  }

  @Override
  public void checkHealth(String engine) {
    engines.checkHealth(engine);
  }

  @Override
  public void watchEndpoints() {
    // The change log is always followed; a break of it is told as it comes.
  }

  @Override
  public void log(String line) {
    LOG.log(Level.INFO, line);
  }
}
