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
import reachloom.config.ConfigException;
import reachloom.config.GatewayConfig;
import reachloom.config.GossipSettings;
import reachloom.config.LocalSettings;
import reachloom.discovery.EndpointWatch;
import reachloom.gateway.EventLoop;
import reachloom.gateway.GatewayService;
import reachloom.gossip.net.GossipNode;
import reachloom.gossip.net.NodeIdentity;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.QueryClass;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs one gateway as a process: start, readiness, SIGHUP, SIGTERM and graceful shutdown.
 *
 * <p>{@link #run} turns the calling thread into the event loop's, which owns all state of this
 * class but the latches and the exit status. Signals, the warm-up and the shutdown hook have
 * threads of their own and post to the loop.
 */
public final class GatewayServer {
  private static final Logger LOG = System.getLogger(GatewayServer.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int BAD_CONFIGURATION = 2;

  /** New connections and requests are admitted for this long after SIGTERM. */
  private static final long MIN_DRAIN_TIME = 700 * MILLISECOND;

  /**
   * All requests have a response by the longest deadline, or this time if shorter, and {@link
   * #RESPONSE_MARGIN} after SIGTERM: SIGKILL comes no sooner than that deadline and 0.7 s after it.
   */
  private static final long MAX_DEADLINE = 3_000 * MILLISECOND;

  private static final long RESPONSE_MARGIN = 400 * MILLISECOND;

  /** How often a shutdown looks whether its next step may follow. */
  private static final long SHUTDOWN_POLL_INTERVAL = 10 * MILLISECOND;

  /**
   * Connections stay open for this long after the last response: a client that sends at once on one
   * already closed draws a reset, which destroys the responses that it has not read yet. It makes
   * restarts longer.
   */
  private static final long CLOSE_DELAY = 120 * MILLISECOND;

  /** Clients may take this long to close their connections once the gateway has shut its output. */
  private static final long MAX_CLOSE_TIME = 100 * MILLISECOND;

  /**
   * Between polls of the configuration file where no signal tells of a new one; 4 s are allowed.
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

  /** Null where gossip is off; then none of its classes is loaded. */
  private GossipNode gossip;

  private boolean ready;
  private boolean stopping;
  private boolean stopWhenReady;
  private volatile int exitStatus;

  /** When a request was last seen open during the shutdown. */
  private long lastOpenAtNanos;

  /**
   * A server that has not started.
   *
   * @param environment names the configuration file that SIGHUP reads again
   * @param settingsFile the settings of the installation; if absent, those that the environment
   *     names, else the defaults
   * @throws ConfigException if the settings can't be used
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
      return BAD_CONFIGURATION;
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
   * Starts, and stops again once ready: for a virtual machine that archives the classes which that
   * loads. Returns the exit status.
   */
  public int warmUp() throws InterruptedException {
    stopWhenReady = true;
    return run();
  }

  // ---- Start ----

  /** Starts gossip with other instances; false where the settings can't be used. */
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
      LOG.log(Level.ERROR, "gossip at {0}: {1}", settings.listen(), e.getMessage());
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

  /** Admits clients: only once the change log has told what it holds. */
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
      shutDown();
    } else if (!stopping) {
      gateway.setReady(true);
      LOG.log(
          Level.INFO,
          "{0} serves at {1} with {2} engines known",
          config.name(),
          config.listen(),
          config.knownEngines().size());
    }
  }

  // ---- New configurations ----

  /**
   * Reads the configuration again on SIGHUP; without a handler the virtual machine would end. Each
   * signal is handled on a thread of its own.
   */
  private void reloadOnSignal() {
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> configuration.reload());
    if (before == SignalHandler.SIG_IGN) {
      pollConfigurationFile();
    }
  }

  /**
   * Where whoever started this process had SIGHUP ignored, as nohup does, the virtual machine
   * leaves that so, and nothing would tell of a new configuration: its file is polled instead.
   */
  private void pollConfigurationFile() {
    String file = environment.get("LB_CONFIG");
    if (file == null) {
      return;
    }
    LOG.log(
        Level.WARNING,
        "SIGHUP is ignored in this process: {0} is looked at each second instead",
        file);
    Thread thread = new Thread(() -> reloadOnChange(Path.of(file)), "configuration");
    thread.setDaemon(true);
    thread.start();
  }

  private void reloadOnChange(Path file) {
    String last = fingerprint(file);
    try {
      while (stopped.getCount() > 0) {
        Thread.sleep(FILE_POLL_INTERVAL_MS);
        String present = fingerprint(file);
        if (!present.equals(last)) {
          last = present;
          configuration.reload();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** What tells a file that was replaced or written from the one before. */
  private static String fingerprint(Path file) {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
    } catch (IOException e) {
      return "";
    }
  }

  /** Applies a configuration and settings that are in force from now on; from any thread. */
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
   * On SIGTERM: the process goes on until the loop has ended, then exits as one that stopped well.
   */
  private void onTerminate() {
    loop.post(0, this::shutDown);
    try {
      boolean clean = stopped.await(1, TimeUnit.MINUTES);
      System.err.flush();
      Runtime.getRuntime().halt(clean ? exitStatus : 1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Is no longer ready, and goes on admitting and serving for a while. */
  private void shutDown() {
    if (stopping) {
      return;
    }
    stopping = true;
    long now = loop.now();
    long longestDeadline =
        config.settings().classes().stream().mapToLong(QueryClass::deadlineNanos).max().orElse(0);
    long respondBy = now + Math.min(longestDeadline, MAX_DEADLINE) + RESPONSE_MARGIN;
    LOG.log(Level.INFO, "{0} stops with {1} requests open", config.name(), gateway.openRequests());
    gateway.setReady(false);
    if (gossip != null) {
      gossip.stop();
    }
    gateway.setLatestDeadline(respondBy);
    loop.deadlines().add(respondBy, gateway::expireOpenRequests);
    loop.deadlines().add(now + MIN_DRAIN_TIME, this::closeOnceDrained);
  }

  private void closeOnceDrained() {
    long now = loop.now();
    if (gateway.openRequests() > 0) {
      lastOpenAtNanos = now;
    }
    if (now < lastOpenAtNanos + CLOSE_DELAY) {
      loop.deadlines().add(now + SHUTDOWN_POLL_INTERVAL, this::closeOnceDrained);
      return;
    }
    gateway.close();
    endOnceClosed(now + MAX_CLOSE_TIME);
  }

  private void endOnceClosed(long latestNanos) {
    if (gateway.closingConnections() > 0 && loop.now() < latestNanos) {
      loop.deadlines().add(loop.now() + SHUTDOWN_POLL_INTERVAL, () -> endOnceClosed(latestNanos));
      return;
    }
    LOG.log(Level.INFO, "{0} has stopped", config.name());
    loop.end();
  }
}
