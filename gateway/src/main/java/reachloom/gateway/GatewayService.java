package reachloom.gateway;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.gateway.state.ClientConnectionTable;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.IdempotencyKeyTable;
import reachloom.gateway.state.RequestIdTable;
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
 * One gateway on sockets: reports events to a scheduler, in order, and carries out its actions. It
 * translates, keeps time and enforces limits; the scheduler decides. It connects the components:
 * {@link ClientConnections} accepts and closes clients, {@link RequestHandler} executes their
 * calls, {@link RequestRegistry} holds open requests, {@link AttemptLifecycle} tracks attempts,
 * {@link ResponseWriter} writes responses, {@link EngineClient} connects to engines and {@link
 * ChangeLogClient} follows the endpoint list.
 *
 * <p>Confined to the thread of its {@link EventLoop} once {@link #start()} is called. Only the
 * threads of the sockets run beside it, and post everything to the loop.
 */
public final class GatewayService
    implements SchedulerActions, EngineClientListener, ChangeLogClient.Subscriber {
  /**
   * The components that serve clients and call the scheduler log under one name: operators filter
   * on it, and the logger limits the lines of each name per second. Other components, such as those
   * of {@link EngineClient} and {@link ChangeLogClient}, have loggers of their own.
   */
  static final Logger LOG = System.getLogger(GatewayService.class.getName());

  /** Ignores endpoints and outcomes; used until a listener is set. */
  static final EngineOutcomeListener NO_LISTENER =
      new EngineOutcomeListener() {
        @Override
        public void onEndpoints(boolean complete, List<EngineMember> members) {}

        @Override
        public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted) {}
      };

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Interval of the search for overdue clients and overdue partial responses of engines. */
  private static final long SWEEP_INTERVAL_NANOS = 200 * NANOS_PER_MILLI;

  /** Clients and engines each get this fraction (1/n) of the configured sockets. */
  private static final int SOCKET_SHARE_DIVISOR = 3;

  /**
   * Beside the largest number of admitted clients, 1/n of that number of connections may be just
   * accepted, and as many may be closing.
   */
  private static final int TRANSIENT_CONNECTION_DIVISOR = 8;

  private final GatewayConfig config;
  private final EventLoop loop;
  private final Sockets sockets;
  private final LingeringClose closing;
  private final SchedulerEvents scheduler;
  private final ClientConnectionTable clientTable;
  private final ClientConnections clients;
  private final RequestIdTable requestIds = new RequestIdTable();
  private final IdempotencyKeyTable keys;
  private final RequestRegistry requests;
  private final RequestHandler handler;
  private final AttemptLifecycle attempts;
  private final EngineClient engines;
  private final ChangeLogClient changeLog;
  private final OverloadLog overload;
  private EngineOutcomeListener listener = NO_LISTENER;

  /**
   * Creates a gateway that has not started.
   *
   * @param scheduler creates the scheduler, given the actions that it may take
   */
  public GatewayService(
      GatewayConfig config, EventLoop loop, Function<SchedulerActions, SchedulerEvents> scheduler) {
    this.config = config;
    this.loop = loop;
    this.scheduler = new GuardedScheduler(scheduler.apply(this));
    int maxClients = config.maxSockets() / SOCKET_SHARE_DIVISOR;
    int maxTransient = maxClients / TRANSIENT_CONNECTION_DIVISOR;
    sockets = new Sockets(maxClients + maxTransient, loop.pauses());
    loop.setSocketReader(sockets::readArrived);
    closing =
        new LingeringClose(loop, sockets, config.transport().dialTimeoutNanos(), maxTransient);
    engines = engineClient(config.maxSockets() / SOCKET_SHARE_DIVISOR);
    clientTable = new ClientConnectionTable(maxClients + maxTransient);
    keys = new IdempotencyKeyTable(config.settings().classes());
    requests =
        new RequestRegistry(
            loop, clientTable, requestIds, keys, config.transport().maxOpenRequests());
    ResponseWriter responses = new ResponseWriter(loop, clientTable, requests);
    overload = new OverloadLog(loop, responses);
    CancelledIds cancelledIds = new CancelledIds(loop);
    int maxAttempts = config.settings().limits().maxAttempts();
    attempts =
        new AttemptLifecycle(
            loop,
            engines,
            clientTable,
            requests,
            responses,
            this.scheduler,
            cancelledIds,
            maxAttempts);
    ArrivalBarrier arrivals = new ArrivalBarrier(loop, sockets::readArrived);
    SubmissionGate gate =
        new SubmissionGate(loop, clientTable, requests, requestIds, keys, cancelledIds, arrivals);
    handler =
        new RequestHandler(
            config, loop, requests, responses, attempts, engines, gate, this.scheduler);
    clients =
        new ClientConnections(loop, sockets, arrivals, closing, clientTable, maxClients, handler);
    changeLog = new ChangeLogClient(loop, sockets, closing, config, this);
  }

  private EngineClient engineClient(int maxConnections) {
    boolean loadReports = config.settings().capabilities().loadReports();
    return new EngineClient(
        loop,
        sockets,
        closing,
        this,
        new EngineClient.Options(config.transport(), loadReports, maxConnections));
  }

  // ---- Start and shutdown ----

  /**
   * Starts as {@link #start()} does, and runs {@code then} once the change log has sent the current
   * endpoint list, or its time for that has passed.
   */
  public void start(Runnable then) {
    start();
    changeLog.whenCaughtUp(then);
  }

  /** Starts the scheduler with the engines of the configuration, and follows the change log. */
  public void start() {
    engines.update(true, config.knownEngines());
    scheduler.onStart(loop.now(), config.seed(), config.settings());
    scheduler.onEndpoints(loop.now(), true, endpoints(config.knownEngines()));
    listener.onEndpoints(true, config.knownEngines());
    changeLog.connect();
    sweep();
  }

  /** Sets a listener for endpoints and outcomes beside the scheduler; to be called before start. */
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

  /** Applies the parts of a new configuration that may change without a restart. */
  public void reload(GatewayConfig next) {
    changeLog.reconfigure(next);
  }

  /**
   * Sets how long clients may stay connected without open requests, in nanoseconds; empty for the
   * default.
   */
  public void setClientIdleTimeout(OptionalLong nanos) {
    clients.setIdleTimeout(nanos);
  }

  /** Sets whether {@code check} calls of clients report the gateway as ready. */
  public void setReady(boolean ready) {
    handler.setReady(ready);
  }

  /** Limits the deadlines of all requests that arrive later, on the event loop's clock. */
  public void setLatestDeadline(long deadlineNanos) {
    handler.setLatestDeadline(deadlineNanos);
  }

  /** Reads what has arrived on all connections; the result tells whether that is done. */
  public BooleanSupplier readArrived() {
    return sockets.readArrived();
  }

  /** Returns the number of open requests. */
  public int openRequests() {
    return requests.open().size();
  }

  /** Responds to all open requests without waiting for the scheduler's decisions. */
  public void expireOpenRequests() {
    handler.expireAll("gateway shutdown");
  }

  /**
   * Stops admitting clients, abandons open requests, and closes each connection once the responses
   * already written to it are sent.
   */
  public void close() {
    clients.close();
  }

  /**
   * Ends all connections and threads at once, as the exit of the process would; for many gateways
   * in one process. May be called from any thread.
   */
  public void terminate() {
    sockets.abandon();
  }

  /** Returns the number of connections that are closing. */
  public int closingConnections() {
    return closing.pending();
  }

  /** Returns the number of entries of each table by name; for statements, the number of bytes. */
  Map<String, Integer> tableSizes() {
    return Map.of(
        "requests",
        requests.size(),
        "ids",
        requests.ids(),
        "heldIds",
        requestIds.heldCount(),
        "keys",
        keys.size(),
        "clients",
        clientTable.size(),
        "statements",
        (int) requests.statementBytes(),
        "engines",
        engines.engineCount(),
        "connections",
        engines.connectionCount(),
        "unsentAttempts",
        engines.unsentAttempts(),
        "deadlines",
        loop.deadlines().size());
  }

  private void sweep() {
    long now = loop.now();
    clients.sweep();
    engines.closeStalledConnections();
    logWallClockStep();
    overload.sample();
    loop.deadlines().add(now + SWEEP_INTERVAL_NANOS, this::sweep);
  }

  private void logWallClockStep() {
    long stepNanos = loop.wallClockStep();
    if (stepNanos != 0) {
      LOG.log(
          Level.WARNING,
          "the wall clock was stepped by {0} ms; timeouts and deadlines are not affected",
          Long.toString(stepNanos / NANOS_PER_MILLI));
    }
  }

  // ---- Events of engines ----

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
   * Receives the weighted reports of peers about an engine.
   *
   * @param level from 0, no complaint, to 1
   */
  public void onPeerReport(String engine, double level) {
    scheduler.onPeerReport(loop.now(), engine, level);
  }

  @Override
  public boolean mayStart(EngineAttempt attempt) {
    return attempts.mayStart(attempt);
  }

  @Override
  public boolean awaitsClientInput(EngineAttempt attempt) {
    return attempts.awaitsClientInput(attempt);
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
  public void onHealthCheck(String engine, boolean up, Optional<LoadReport> report) {
    scheduler.onHealthCheck(loop.now(), engine, up, report.orElse(null));
  }

  // ---- Actions of the scheduler ----

  @Override
  public void forward(String query, String engine, long timeout) {
    requests
        .find(query)
        .ifPresentOrElse(
            request -> attempts.start(request, engine, timeout),
            () ->
                LOG.log(
                    Level.ERROR,
                    "the scheduler forwarded request {0}, which is not open; ignored",
                    query));
  }

  /** {@inheritDoc} The grant is ignored: the engine protocol has no field for it. */
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
   * {@inheritDoc} Does nothing: the change log is always followed, and its outages are reported if
   * the settings subscribe to it.
   */
  @Override
  public void watchEndpoints() {}

  @Override
  public void log(String line) {
    LOG.log(Level.INFO, line);
  }
}
