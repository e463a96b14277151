package reachloom.gateway.lifecycle;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Map;
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
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Runs one gateway from its start to its end. */
public final class GatewayServer {
  private static final Logger LOG = System.getLogger(GatewayServer.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** New connections and requests may come for so long after SIGTERM. */
  private static final long TAKING = 700 * MILLISECOND;

  /**
   * All is answered by then: SIGKILL comes no sooner than the longest deadline and 0.7 s after
   * SIGTERM.
   */
  private static final long LONGEST_DEADLINE = 3_000 * MILLISECOND;

  private static final long ANSWERING = 400 * MILLISECOND;
  private static final int BAD_CONFIGURATION = 2;
  private static final long CHECK = 10 * MILLISECOND;

  /**
   * Connections stay open for so long after the last answer: a client that asks again at once on
   * one already closed draws a reset, which takes the answers with it that it has not read yet. It
   * makes restarts longer.
   */
  private static final long LINGER = 120 * MILLISECOND;

  /** ... and clients have so long to close theirs once the gateway has shut its output. */
  private static final long FLUSH = 100 * MILLISECOND;

  /**
   * Between looks at the configuration file where no signal tells of a new one; 4 s are allowed.
   */
  private static final long LOOK_MS = 1_000;

  private final GatewayConfig config;
  private final Map<String, String> environment;
  private final ConfigurationReloader configuration;
  private final EventLoop loop = new EventLoop();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final CountDownLatch open = new CountDownLatch(1);
  private GatewayService gateway;

  /** Null where gossip is off; then none of its classes is loaded. */
  private GossipNode gossip;

  private final long begun = loop.now();
  private boolean ready;
  private boolean stopping;
  private volatile int status;
  private boolean endWhenReady;
  private long openUntil;

  /**
   * A server that has not started. The environment names the file that SIGHUP reads again; the
   * settings of the installation are in the given file, else in the one that the environment names,
   * else all at their defaults.
   */
  public GatewayServer(GatewayConfig config, Map<String, String> environment, String settingsFile)
      throws ConfigException {
    this.config = config;
    this.environment = environment;
    configuration = new ConfigurationReloader(config, environment, settingsFile, this::takeOver);
  }

  /** Serves until SIGTERM; gives the exit status. */
  public int run() throws InterruptedException {
    gateway = new GatewayService(config, loop, QueryScheduler::new);
    gateway.setClientIdleTimeout(configuration.local().clientIdleTimeoutNanos());
    GossipSettings others = configuration.local().gossip().orElse(null);
    if (others != null && !joinOthers(others)) {
      return BAD_CONFIGURATION;
    }
    // Without a handler the virtual machine ends on SIGHUP; each signal comes on a thread of its
    // own.
    if (Signal.handle(new Signal("HUP"), s -> configuration.reload()) == SignalHandler.SIG_IGN) {
      lookAtTheFile();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::terminate, "stop"));
    loop.post(
        0,
        () -> {
          loop.deadlines().add(begun + EndpointWatch.LATEST_READY, this::ready);
          gateway.start(this::open);
        });
    Thread rehearsal =
        new Thread(
            () -> {
              new WarmUp(config, QueryScheduler::new).run(open);
              loop.post(0, this::ready);
            },
            "rehearsal");
    rehearsal.setDaemon(true);
    rehearsal.start();
    loop.run();
    stopped.countDown();
    return status;
  }

  /** Lets clients in: only now, since what the change log had to tell counts as known. */
  private void open() {
    if (stopping) {
      return;
    }
    try {
      gateway.listen();
      open.countDown();
    } catch (IOException e) {
      LOG.log(Level.ERROR, "listen: {0} can''t be bound: {1}", config.listen(), e.getMessage());
      status = 1;
      loop.end();
    }
  }

  /** Takes up gossip with other instances; false where the settings can't be used. */
  private boolean joinOthers(GossipSettings settings) {
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

  /**
   * Starts, and stops again once ready: for a virtual machine that keeps the classes which that
   * took.
   */
  public int rehearse() throws InterruptedException {
    endWhenReady = true;
    return run();
  }

  private void ready() {
    if (ready) {
      return;
    }
    ready = true;
    if (endWhenReady) {
      stop();
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

  /**
   * Where whoever started this process had SIGHUP ignored, as nohup does, the virtual machine
   * leaves that so, and nothing would tell of a new configuration: its file is looked at instead.
   */
  private void lookAtTheFile() {
    String file = environment.get("LB_CONFIG");
    if (file == null) {
      return;
    }
    LOG.log(
        Level.WARNING,
        "SIGHUP is ignored in this process: {0} is looked at each second instead",
        file);
    Thread look =
        new Thread(
            () -> {
              String last = state(Path.of(file));
              try {
                while (stopped.getCount() > 0) {
                  Thread.sleep(LOOK_MS);
                  String now = state(Path.of(file));
                  if (!now.equals(last)) {
                    last = now;
                    configuration.reload();
                  }
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "configuration");
    look.setDaemon(true);
    look.start();
  }

  /** What tells a file that was replaced or written from the one before. */
  private static String state(Path file) {
    try {
      BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
      return a.lastModifiedTime() + " " + a.size() + " " + a.fileKey();
    } catch (IOException e) {
      return "";
    }
  }

  /** A configuration, with the settings of the installation, is in force from now on. */
  private void takeOver(GatewayConfig next, LocalSettings nextLocal) {
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

  /**
   * On SIGTERM: the process goes on until the loop has ended, then exits as one that stopped well.
   */
  private void terminate() {
    loop.post(0, this::stop);
    try {
      boolean clean = stopped.await(1, TimeUnit.MINUTES);
      System.err.flush();
      Runtime.getRuntime().halt(clean ? status : 1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    long now = loop.now();
    long longest =
        config.settings().classes().stream().mapToLong(c -> c.deadlineNanos()).max().orElse(0);
    long by = now + Math.min(longest, LONGEST_DEADLINE) + ANSWERING;
    LOG.log(Level.INFO, "{0} stops with {1} requests open", config.name(), gateway.openRequests());
    gateway.setReady(false);
    if (gossip != null) {
      gossip.stop();
    }
    gateway.setLatestDeadline(by);
    loop.deadlines().add(by, gateway::expireOpenRequests);
    loop.deadlines().add(now + TAKING, this::finish);
  }

  private void finish() {
    long now = loop.now();
    openUntil = gateway.openRequests() > 0 ? now : openUntil;
    if (now < openUntil + LINGER) {
      loop.deadlines().add(now + CHECK, this::finish);
      return;
    }
    gateway.close();
    drain(now + FLUSH);
  }

  private void drain(long until) {
    if (gateway.closingConnections() > 0 && loop.now() < until) {
      loop.deadlines().add(loop.now() + CHECK, () -> drain(until));
      return;
    }
    LOG.log(Level.INFO, "{0} has stopped", config.name());
    loop.end();
  }
}
