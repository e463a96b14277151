package reachloom.gateway;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.wire.EndpointListEvent;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * One gateway on sockets: tells a scheduler what happens, in order, and carries out its actions. It
 * translates, keeps time and enforces bounds; the scheduler decides. It connects the parts that do
 * the work: {@link ClientConnections} accepts and closes clients, {@link RequestHandler} carries
 * out their calls, {@link RequestRegistry} holds open requests, {@link AttemptLifecycle} follows
 * attempts, {@link ResponseWriter} writes responses, {@link EngineClient} connects to engines and
 * {@link ChangeLogClient} follows the list of engines.
 *
 * <p>Confined to the thread of its {@link EventLoop} from {@link #start()} on; only the sockets'
 * thread runs beside it, and hands everything it reads to the loop.
 */
public final class GatewayService
    implements SchedulerActions, EngineClientListener, ChangeLogClient.Subscriber {
  /**
   * The parts of the front log under one name: operators filter on it, and the logger bounds the
   * lines of a name in a second.
   */
  static final Logger LOG = System.getLogger(GatewayService.class.getName());

  /** Told of engines and outcomes where nobody else is. */
  static final EngineOutcomeListener NO_LISTENER =
      new EngineOutcomeListener() {
        @Override
        public void onEndpoints(boolean complete, List<EngineMember> members) {}

        @Override
        public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted) {}
      };

  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** Overdue clients and stalled responses of engines are looked for this often. */
  private static final long SWEEP_INTERVAL = 200 * MILLISECOND;

  /** Clients and engines each get one in so many of the sockets that the configuration allows. */
  private static final int SOCKET_PARTS = 3;

  /** Connections just accepted or closing, beside the clients admitted: one for so many. */
  private static final int ARRIVING_PART = 8;

  private final GatewayConfig config;
  private final EventLoop loop;
  private final Sockets sockets;
  private final LingeringClose closing;
  private final SchedulerEvents scheduler;
  private final ClientConnectionTable clientTable;
  private final ClientConnections clients;
  private final RequestRegistry requests;
  private final RequestHandler handler;
  private final AttemptLifecycle attempts;
  private final EngineClient engines;
  private final ChangeLogClient changeLog;
  private EngineOutcomeListener listener = NO_LISTENER;

  /**
   * A gateway that has not started.
   *
   * @param scheduler makes the scheduler that decides, given the actions it may take
   */
  public GatewayService(
      GatewayConfig config, EventLoop loop, Function<SchedulerActions, SchedulerEvents> scheduler) {
    this.config = config;
    this.loop = loop;
    this.scheduler = new GuardedScheduler(scheduler.apply(this));
    int maxClients = config.maxSockets() / SOCKET_PARTS;
    int maxArriving = maxClients / ARRIVING_PART;
    sockets = new Sockets(maxClients + maxArriving);
    closing = new LingeringClose(loop, sockets, config.transport().dialTimeoutNanos(), maxArriving);
    engines = engineClient(config.maxSockets() / SOCKET_PARTS);
    clientTable = new ClientConnectionTable(maxClients + maxArriving);
    requests = new RequestRegistry(loop, clientTable, config.transport().maxOpenRequests());
    ResponseWriter responses = new ResponseWriter(loop, clientTable, requests);
    int maxAttempts = config.settings().limits().maxAttempts();
    attempts =
        new AttemptLifecycle(loop, engines, requests, responses, this.scheduler, maxAttempts);
    handler = new RequestHandler(config, loop, requests, responses, attempts, this.scheduler);
    clients = new ClientConnections(loop, sockets, closing, clientTable, maxClients, handler);
    changeLog = new ChangeLogClient(loop, sockets, closing, config, this);
  }

  private EngineClient engineClient(int maxConnections) {
    boolean loadReports = config.settings().traits().loadReports();
    return new EngineClient(
        loop,
        sockets,
        closing,
        this,
        new EngineClient.Options(config.transport(), loadReports, maxConnections));
  }

  // ---- Start and shutdown ----

  /**
   * Starts as {@link #start()}, and runs {@code then} once the list of engines is up to date, as
   * far as the change log tells in its time.
   */
  public void start(Runnable then) {
    start();
    changeLog.whenCaughtUp(then);
  }

  /** Starts the scheduler with the engines that the configuration names; follows the change log. */
  public void start() {
    engines.update(true, config.knownEngines());
    scheduler.onStart(loop.now(), config.seed(), config.settings());
    scheduler.onEndpoints(loop.now(), true, endpoints(config.knownEngines()));
    listener.onEndpoints(true, config.knownEngines());
    changeLog.connect();
    sweep();
  }

  /** Sets who is told of engines and outcomes beside the scheduler; before the start. */
  public void setEngineOutcomeListener(EngineOutcomeListener listener) {
    this.listener = listener;
    attempts.setOutcomeListener(listener);
  }

  /**
   * Listens for clients.
   *
   * @throws IOException if the address of the configuration can't be bound
   */
  public void listen() throws IOException {
    clients.listen(config.listen());
  }

  /** Takes over from a new configuration what may change without a restart. */
  public void reload(GatewayConfig next) {
    changeLog.reconfigure(next);
  }

  /**
   * Sets how long clients may stay connected without open requests, in nanoseconds; the default
   * where it is absent.
   */
  public void setClientIdleTimeout(OptionalLong nanos) {
    clients.setIdleTimeout(nanos);
  }

  /** Sets what a client's {@code check} reports from now on. */
  public void setReady(boolean ready) {
    handler.setReady(ready);
  }

  /** Bounds the deadlines of all requests that arrive from now on, on the event loop's clock. */
  public void setLatestDeadline(long deadlineNanos) {
    handler.setLatestDeadline(deadlineNanos);
  }

  /** How many requests are open. */
  public int openRequests() {
    return requests.open().size();
  }

  /** Responds to all open requests, as far as that is allowed without the scheduler's decisions. */
  public void expireOpenRequests() {
    handler.expireAll("gateway shutdown");
  }

  /** Admits no more clients, and closes all connections once what is owed to them is written. */
  public void close() {
    clients.close();
  }

  /**
   * Ends all connections and threads at once, as the end of the process would; for many gateways in
   * one process. From any thread.
   */
  public void terminate() {
    sockets.abandon();
  }

  /** How many connections are closing. */
  public int closingConnections() {
    return closing.pending();
  }

  /** The number of entries of each table, by name. */
  Map<String, Integer> tableSizes() {
    return Map.of(
        "requests",
        requests.size(),
        "ids",
        requests.ids(),
        "clients",
        clientTable.size(),
        "statements",
        (int) requests.statementBytes(),
        "engines",
        engines.engineCount(),
        "connections",
        engines.connectionCount(),
        "unhanded",
        engines.unsentAttempts(),
        "deadlines",
        loop.deadlines().size());
  }

  private void sweep() {
    long now = loop.now();
    clients.sweep();
    engines.closeStalledConnections();
    logWallClockStep();
    loop.deadlines().add(now + SWEEP_INTERVAL, this::sweep);
  }

  private void logWallClockStep() {
    long stepNanos = loop.wallClockStep();
    if (stepNanos != 0) {
      LOG.log(
          Level.WARNING,
          "the wall clock was stepped by {0} ms; all spans of time run on as they were",
          Long.toString(stepNanos / MILLISECOND));
    }
  }

  // ---- What happens to engines ----

  @Override
  public void onEvent(EndpointListEvent change) {
    engines.update(change.isComplete(), change.members());
    scheduler.onEndpoints(loop.now(), change.isComplete(), endpoints(change.members()));
    listener.onEndpoints(change.isComplete(), change.members());
  }

  private static List<EngineEndpoint> endpoints(List<EngineMember> members) {
    return members.stream().map(EngineMember::endpoint).toList();
  }

  @Override
  public void onUnavailable() {
    if (config.settings().subscribe()) {
      scheduler.onEndpointsUnavailable(loop.now());
    }
  }

  /**
   * What peers report of an engine, weighted.
   *
   * @param level from 0, nothing against it, to 1
   */
  public void onPeerReport(String engine, double level) {
    scheduler.onPeerReport(loop.now(), engine, level);
  }

  @Override
  public boolean mayStart(EngineAttempt attempt) {
    return attempts.mayStart(attempt);
  }

  @Override
  public void onAttemptEnded(EngineAttempt attempt, AttemptOutcome outcome) {
    attempts.finish(attempt, outcome);
  }

  @Override
  public void onProgress(EngineAttempt attempt, ProgressKind kind, double amount) {
    scheduler.onProgress(
        loop.now(),
        new ProgressReport(attempt.request.id, attempt.number, attempt.engine, kind, amount));
  }

  @Override
  public void onHealthCheck(String engine, boolean answered, Optional<LoadReport> report) {
    scheduler.onHealthCheck(loop.now(), engine, answered, report.orElse(null));
  }

  // ---- Actions of the scheduler ----

  @Override
  public void forward(String query, String engine, long timeout) {
    requests
        .find(query)
        .ifPresentOrElse(
            request -> attempts.start(request, engine, timeout),
            () -> LOG.log(Level.ERROR, "the scheduler forwards {0}, which is not open", query));
  }

  /** {@inheritDoc} The grant is left out: engines of this protocol take none. */
  @Override
  public void setResources(String query, double grantMb, int priority) {
    requests.find(query).ifPresent(request -> attempts.setPriority(request, priority));
  }

  @Override
  public void cancelAttempt(String query, int attempt) {
    requests.find(query).ifPresent(request -> attempts.cancel(request, attempt));
  }

  @Override
  public void reject(String query, long retryAfter) {
    handler.reject(query);
  }

  @Override
  public void fail(String query) {
    handler.fail(query);
  }

  @Override
  public void setTimer(long delay, long token) {
    loop.deadlines().add(loop.now() + delay, () -> scheduler.onTimer(loop.now(), token));
  }

  @Override
  public void checkHealth(String engine) {
    engines.checkHealth(engine);
  }

  /**
   * {@inheritDoc} Nothing to do: the change log is always followed, and its breaks are reported.
   */
  @Override
  public void watchEndpoints() {}

  @Override
  public void log(String line) {
    LOG.log(Level.INFO, line);
  }
}
