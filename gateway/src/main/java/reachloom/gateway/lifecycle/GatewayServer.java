package reachloom.gateway.lifecycle;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import reachloom.config.ConfigException;
import reachloom.config.GatewayConfig;
import reachloom.config.GossipSettings;
import reachloom.config.LocalSettings;
import reachloom.discovery.EndpointWatch;
import reachloom.gateway.EventLoop;
import reachloom.gateway.GatewayService;
import reachloom.gossip.net.GossipNode;
import reachloom.gossip.net.NodeIdentity;
import reachloom.pause.PauseDetector;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.QueryClass;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs one gateway as a process: start, readiness, SIGHUP, SIGTERM and graceful shutdown.
 *
 * <p>{@link #run} executes the event loop on the calling thread, which owns all state of this class
 * except the latches and the exit status. Signals, the warm-up and the shutdown hook run on their
 * own threads and post to the loop.
 */
public final class GatewayServer {
  private static final Logger LOG = System.getLogger(GatewayServer.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int EXIT_BAD_CONFIGURATION = 2;

  /** New connections and requests are admitted for at least this long after SIGTERM. */
  private static final long MIN_DRAIN_TIME_NANOS = 700 * NANOS_PER_MILLI;

  /**
   * The longest deadline considered at shutdown. All requests get a response within the longest
   * deadline of a class, limited by this, plus {@link #RESPONSE_MARGIN_NANOS} after SIGTERM:
   * SIGKILL follows no sooner than that deadline plus 0.7 s.
   */
  private static final long MAX_DEADLINE_NANOS = 3_000 * NANOS_PER_MILLI;

  private static final long RESPONSE_MARGIN_NANOS = 400 * NANOS_PER_MILLI;

  /** Interval at which a shutdown checks whether its next step may follow. */
  private static final long SHUTDOWN_POLL_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;

  /**
   * If requests are still open when {@link #MIN_DRAIN_TIME_NANOS} has passed, connections stay open
   * for this long after the last one has been closed: if a client sends at once on a closed
   * connection, the connection is reset, which destroys responses that the client has not read yet.
   * The delay prolongs restarts.
   */
  private static final long CLOSE_DELAY_NANOS = 120 * NANOS_PER_MILLI;

  /** What has arrived is read within this time before connections are closed. */
  private static final long MAX_READ_TIME_NANOS = 50 * NANOS_PER_MILLI;

  /** Interval at which it is checked whether that is read. */
  private static final long READ_POLL_INTERVAL_NANOS = NANOS_PER_MILLI;

  /** Clients may take this long to close their connections after the gateway shuts its output. */
  private static final long MAX_CLOSE_TIME_NANOS = 100 * NANOS_PER_MILLI;

  /**
   * Interval between polls of the configuration file if SIGHUP is ignored; a new configuration has
   * to be in force within 4 s.
   */
  private static final long FILE_POLL_INTERVAL_MS = 1_000;

  private final GatewayConfig config;
  private final Map<String, String> environment;
  private final ConfigurationReloader configuration;
  private final EventLoop loop = new EventLoop();
  private final CountDownLatch stopped = new CountDownLatch(1);

  /** Opens once clients are admitted. */
  private final CountDownLatch listening = new CountDownLatch(1);

  private final long startedAtNanos = loop.now();
  private GatewayService gateway;

  /** Null if gossip is disabled; none of its classes is loaded then. */
  private GossipNode gossip;

  private boolean ready;
  private boolean stopping;
  private boolean stopWhenReady;
  private volatile int exitStatus;

  /** When all requests are answered that arrived after SIGTERM, at the latest. */
  private long respondByNanos;

  /** When the shutdown last observed an open request. */
  private long lastOpenAtNanos;

  /**
   * Creates a server that has not started.
   *
   * @param environment names the configuration file that SIGHUP reloads
   * @param settingsFile the settings of the installation; if absent, those that the environment
   *     names, else the defaults
   * @throws ConfigException if the settings are invalid
   */
  public GatewayServer(
      GatewayConfig config, Map<String, String> environment, Optional<String> settingsFile)
      throws ConfigException {
    this.config = config;
    this.environment = environment;
    configuration =
        new ConfigurationReloader(config, environment, settingsFile.orElse(null), this::apply);
  }

  /** Serves until SIGTERM; returns the exit status. */
  public int run() throws InterruptedException {
    gateway = new GatewayService(config, loop, QueryScheduler::new);
    gateway.setClientIdleTimeout(configuration.local().clientIdleTimeoutNanos());
    GossipSettings gossipSettings = configuration.local().gossip().orElse(null);
    if (gossipSettings != null && !startGossip(gossipSettings)) {
      return EXIT_BAD_CONFIGURATION;
    }
    reloadOnSignal();
    Runtime.getRuntime().addShutdownHook(new Thread(this::onTerminate, "stop"));
    loop.post(
        0,
        () -> {
          loop.deadlines().add(startedAtNanos + EndpointWatch.MAX_START_NANOS, this::onReady);
          gateway.start(this::listen);
        });
    startWarmUp();
    loop.run();
    stopped.countDown();
    return exitStatus;
  }

  /**
   * Starts the gateway, and stops it once ready: for a virtual machine that archives the loaded
   * classes. Returns the exit status.
   */
  public int warmUp() throws InterruptedException {
    stopWhenReady = true;
    return run();
  }

  // ---- Start ----

  /**
   * Starts gossip with other instances; returns false if the settings are invalid or the socket
   * can't be bound.
   */
  private boolean startGossip(GossipSettings settings) {
    try {
      gossip =
          new GossipNode(
              loop,
              settings,
              NodeIdentity.read(settings),
              config.seed(),
              gateway::onPeerReport,
              configuration::put);
      gateway.setEngineOutcomeListener(gossip);
      loop.post(0, gossip::start);
      return true;
    } catch (ConfigException | IOException e) {
      LOG.log(Level.ERROR, "gossip at {0} failed to start: {1}", settings.listen(), e.getMessage());
      return false;
    }
  }

  private void startWarmUp() {
    Thread thread =
        new Thread(
            () -> {
              new WarmUp(config, QueryScheduler::new).run(listening);
              loop.post(0, this::onReady);
            },
            "warm-up");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Admits clients; called once the change log has sent its events, or its time for that is over.
   */
  private void listen() {
    if (stopping) {
      return;
    }
    try {
      gateway.listen();
      listening.countDown();
    } catch (IOException e) {
      LOG.log(Level.ERROR, "listen: {0} can''t be bound: {1}", config.listen(), e.getMessage());
      exitStatus = 1;
      loop.end();
    }
  }

  private void onReady() {
    if (ready) {
      return;
    }
    ready = true;
    if (stopWhenReady) {
      shutDown(loop.now());
    } else if (!stopping) {
      gateway.setReady(true);
      LOG.log(
          Level.INFO,
          "{0} serves at {1}; the configuration lists {2} engines",
          config.name(),
          config.listen(),
          config.knownEngines().size());
    }
  }

  // ---- New configurations ----

  /**
   * Reloads the configuration on SIGHUP; without a handler the virtual machine would exit. Each
   * signal is handled on its own thread.
   */
  private void reloadOnSignal() {
    SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> configuration.reload());
    if (previous == SignalHandler.SIG_IGN) {
      pollConfigurationFile();
    }
  }

  /**
   * Polls the configuration file if this process was started with SIGHUP ignored, as by nohup: the
   * virtual machine keeps the signal ignored, so that it can't announce a new configuration.
   */
  private void pollConfigurationFile() {
    String file = environment.get("LB_CONFIG");
    if (file == null) {
      return;
    }
    LOG.log(
        Level.WARNING,
        "SIGHUP is ignored in this process: {0} is polled every {1} ms instead",
        file,
        Long.toString(FILE_POLL_INTERVAL_MS));
    Thread thread = new Thread(() -> reloadOnChange(Path.of(file)), "configuration");
    thread.setDaemon(true);
    thread.start();
  }

  private void reloadOnChange(Path file) {
    String last = fingerprint(file);
    try {
      while (stopped.getCount() > 0) {
        Thread.sleep(FILE_POLL_INTERVAL_MS);
        String current = fingerprint(file);
        if (!current.equals(last)) {
          last = current;
          configuration.reload();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns attributes that change when a file is replaced or written. */
  private static String fingerprint(Path file) {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
    } catch (IOException e) {
      return "";
    }
  }

  /** Applies a new configuration and settings; may be called from any thread. */
  private void apply(GatewayConfig next, LocalSettings nextLocal) {
    loop.post(
        0,
        () -> {
          gateway.reload(next);
          gateway.setClientIdleTimeout(nextLocal.clientIdleTimeoutNanos());
          if (gossip != null) {
            nextLocal.gossip().ifPresent(gossip::reload);
          }
        });
  }

  // ---- Shutdown ----

  /**
   * Shuts down on SIGTERM: the process continues until the event loop has ended, and then exits
   * with the server's exit status, or after 1 minute with 1.
   */
  private void onTerminate() {
    long terminatedAtNanos = earliestSignalNanos();
    loop.post(0, () -> shutDown(terminatedAtNanos));
    try {
      boolean clean = stopped.await(1, TimeUnit.MINUTES);
      System.err.flush();
      Runtime.getRuntime().halt(clean ? exitStatus : 1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the earliest time at which the signal that is handled now may have arrived: if the
   * process did not run, the signal was pending.
   */
  private long earliestSignalNanos() {
    long now = loop.now();
    return loop.pauses().earliestArrival(now - PauseDetector.MAX_WAKE_UP_DELAY_NANOS, now);
  }

  /**
   * Stops being ready, and continues to admit and serve requests for a while. Requests arrive for a
   * time that counts from now, since the signal may just have arrived; the responses are due by a
   * time that counts from its earliest arrival.
   */
  private void shutDown(long terminatedAtNanos) {
    if (stopping) {
      return;
    }
    stopping = true;
    long now = loop.now();
    long longestDeadline =
        config.settings().classes().stream().mapToLong(QueryClass::deadlineNanos).max().orElse(0);
    respondByNanos =
        terminatedAtNanos + Math.min(longestDeadline, MAX_DEADLINE_NANOS) + RESPONSE_MARGIN_NANOS;
    LOG.log(
        Level.INFO, "{0} shuts down with {1} open requests", config.name(), gateway.openRequests());
    gateway.setReady(false);
    if (gossip != null) {
      gossip.stop();
    }
    gateway.setLatestDeadline(respondByNanos);
    loop.deadlines().add(respondByNanos, gateway::expireOpenRequests);
    loop.deadlines().add(now + MIN_DRAIN_TIME_NANOS, this::closeOnceDrained);
  }

  private void closeOnceDrained() {
    long now = loop.now();
    if (gateway.openRequests() > 0) {
      lastOpenAtNanos = now;
    }
    if (now < lastOpenAtNanos + CLOSE_DELAY_NANOS) {
      loop.deadlines().add(now + SHUTDOWN_POLL_INTERVAL_NANOS, this::closeOnceDrained);
      return;
    }
    closeOnceRead(gateway.readArrived(), now + MAX_READ_TIME_NANOS);
  }

  /**
   * Closes all connections once what arrived on them before the last check is read and handled, so
   * that only requests which have just been sent cross the close; or after a time.
   */
  private void closeOnceRead(BooleanSupplier read, long latestNanos) {
    long now = loop.now();
    if (now < latestNanos && !read.getAsBoolean()) {
      loop.deadlines().add(now + READ_POLL_INTERVAL_NANOS, () -> closeOnceRead(read, latestNanos));
      return;
    }
    if (now < respondByNanos && gateway.openRequests() > 0) {
      closeOnceDrained();
      return;
    }
    gateway.expireOpenRequests();
    gateway.close();
    endOnceClosed(loop.now() + MAX_CLOSE_TIME_NANOS);
  }

  private void endOnceClosed(long latestNanos) {
    if (gateway.closingConnections() > 0 && loop.now() < latestNanos) {
      loop.deadlines()
          .add(loop.now() + SHUTDOWN_POLL_INTERVAL_NANOS, () -> endOnceClosed(latestNanos));
      return;
    }
    LOG.log(Level.INFO, "{0} has stopped", config.name());
    loop.end();
  }
}
