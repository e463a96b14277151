package reachloom.lab.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import reachloom.balancing.EngineSubset;
import reachloom.config.ConfigException;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.config.GossipSettings;
import reachloom.config.LocalSettings;
import reachloom.gateway.EngineOutcomeListener;
import reachloom.gateway.EventLoop;
import reachloom.gateway.GatewayService;
import reachloom.gossip.net.GossipNode;
import reachloom.gossip.net.NodeIdentity;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineState;

/**
 * A gateway without clients and without a process of its own: event loop, gateway, change log,
 * gossip and decisions are those of the program, assembled as its server does, but no listener for
 * clients is opened. Gossip carries what a gateway observes of engines through client requests, so
 * gossip receives as many attempts as clients would cause, all served, at random among the engines
 * that are up and come first in this gateway's order of the engines ({@link EngineSubset}).
 */
final class SyntheticGateway {
  /** Receives events of the gateway, on its event loop. */
  interface Watcher {
    /** Reports that a gateway would accept clients, with the last event of its complete list. */
    void ready(int gateway, long lastEvent);

    /** Reports that a gateway received a list event for the first time since its complete list. */
    void onListEvent(int gateway, EngineMember member);

    /**
     * Reports that a gateway received a newer complete list with a reloaded configuration.
     *
     * @param lastEvent the last event that the list contains
     * @param ready whether the gateway was reported as ready before
     * @param receivedEvents the keys of the list events received since the previous complete list;
     *     the call removes them
     */
    void onReloadedList(int gateway, long lastEvent, boolean ready, Set<String> receivedEvents);

    /** Reports that the configuration reloaded for an issue is in force at a gateway. */
    void applied(int gateway, String issue);
  }

  private static final long ATTEMPT_INTERVAL_NANOS = 100_000_000;
  private static final int MAX_USED_ENGINES = 16;

  private final int number;
  private final Path configFile;
  private final String settingsFile;
  private final Watcher watcher;
  private final double rate;
  private final SplittableRandom random;
  private final ThreadGroup threads;
  private final EventLoop loop = new EventLoop();
  private final Set<String> receivedEvents = ConcurrentHashMap.newKeySet();
  private final Map<Long, Long> cpuNanosByThread = new LinkedHashMap<>();
  private GatewayService gateway;
  private GossipNode gossip;
  private final Set<String> upEngines = new TreeSet<>();
  private List<String> usedEngines = List.of();
  private double dueAttempts;
  private boolean initialListReceived;
  private boolean ready;

  /** The last event of the latest complete list: that of the start or of a reload. */
  private long completeListEvent;

  /** The last event of the list that is being reloaded; empty outside of a reload. */
  private OptionalLong reloadingEvent = OptionalLong.empty();

  /** Creates a gateway that observes {@code rate} ended attempts a second. */
  SyntheticGateway(int number, Path configFile, String settingsFile, double rate, Watcher watcher) {
    this.rate = rate;
    random = new SplittableRandom(number);
    this.number = number;
    this.configFile = configFile;
    this.settingsFile = settingsFile;
    this.watcher = watcher;
    threads = new ThreadGroup("gateway " + number); // identifies the threads whose CPU time counts
  }

  /** Starts the gateway on threads of its own. */
  void start() {
    Thread t =
        new Thread(
            threads,
            () -> {
              try {
                open();
                loop.run();
              } catch (ConfigException | IOException e) {
                System.err.println("gateway " + number + ": start failed: " + e.getMessage());
              }
            },
            "loop");
    t.setDaemon(true);
    t.start();
  }

  private void open() throws ConfigException, IOException {
    GatewayConfig config = GatewayConfig.fromFile(configFile, Map.of());
    LocalSettings local = LocalSettings.read(settingsFile, Map.of());
    gateway = new GatewayService(config, loop, QueryScheduler::new);
    if (local.gossip().isPresent()) {
      GossipSettings s = local.gossip().get();
      gossip = new GossipNode(loop, s, NodeIdentity.read(s), config.seed(), gateway::onPeerReport);
      loop.post(0, gossip::start);
      loop.post(0, this::reportAttempts);
    }
    gateway.setEngineOutcomeListener(new OutcomeForwarder());
    completeListEvent = config.lastEventNumber();
    loop.post(0, () -> gateway.start(this::reportReady));
  }

  private void reportReady() {
    ready = true;
    watcher.ready(number, completeListEvent);
  }

  private final class OutcomeForwarder implements EngineOutcomeListener {
    @Override
    public void onEndpoints(boolean fullList, List<EngineMember> members) {
      if (gossip != null) {
        gossip.onEndpoints(fullList, members);
      }
      if (fullList && reloadingEvent.isPresent()) {
        receiveReloadedList(reloadingEvent.getAsLong());
      } else if (initialListReceived) {
        receiveEvents(members);
      }
      initialListReceived = true;
      selectUsedEngines(fullList, members);
    }

    @Override
    public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted) {
      if (gossip != null) {
        gossip.onAttemptEnded(engine, outcome, wanted);
      }
    }
  }

  private void selectUsedEngines(boolean fullList, List<EngineMember> members) {
    if (fullList) {
      upEngines.clear();
    }
    for (EngineMember m : members) {
      if (m.endpoint().state() == EngineState.UP) {
        upEngines.add(m.endpoint().name());
      } else {
        upEngines.remove(m.endpoint().name());
      }
    }
    usedEngines =
        new EngineSubset(number)
                .order(upEngines.stream().map(e -> new EngineSubset.WeightedEngine(e, 1)).toList())
                .keySet()
                .stream()
                .limit(MAX_USED_ENGINES)
                .toList();
  }

  /** Reports to gossip the attempts that clients would have caused since the last call. */
  private void reportAttempts() {
    for (dueAttempts += rate * ATTEMPT_INTERVAL_NANOS / 1e9; dueAttempts >= 1; dueAttempts--) {
      if (!usedEngines.isEmpty()) {
        gossip.onAttemptEnded(
            usedEngines.get(random.nextInt(usedEngines.size())), AttemptOutcome.SERVED, true);
      }
    }
    loop.deadlines().add(loop.now() + ATTEMPT_INTERVAL_NANOS, this::reportAttempts);
  }

  /** Returns the keys of the list events that the gateway has received since its complete list. */
  Set<String> receivedEvents() {
    return receivedEvents;
  }

  /** Returns a key of a list event: the engine's name, state and start in milliseconds. */
  static String eventKey(EngineMember m) {
    return m.endpoint().name()
        + " "
        + m.endpoint().state().ordinal()
        + " "
        + m.endpoint().incarnation() / 1_000_000;
  }

  /** Reloads the configuration, as the program does on SIGHUP, on a thread of its own. */
  void reload(String issue) {
    Thread t =
        new Thread(
            threads,
            () -> {
              try {
                GatewayConfig next = GatewayConfig.fromFile(configFile, Map.of());
                LocalSettings local = LocalSettings.read(settingsFile, Map.of());
                loop.post(
                    0,
                    () -> {
                      reloadList(next);
                      if (gossip != null) {
                        local.gossip().ifPresent(gossip::reload);
                      }
                      watcher.applied(number, issue);
                    });
              } catch (ConfigException e) {
                System.err.println(
                    "gateway "
                        + number
                        + ": reload failed, the configuration stays in force: "
                        + e.getMessage());
              }
            },
            "reload");
    t.setDaemon(true);
    t.start();
  }

  /**
   * Reloads the list of a configuration. If it is newer than the gateway's, the gateway never
   * receives the events that led to it.
   */
  private void reloadList(GatewayConfig next) {
    reloadingEvent = OptionalLong.of(next.lastEventNumber());
    gateway.reload(next);
    reloadingEvent = OptionalLong.empty();
  }

  private void receiveReloadedList(long lastEvent) {
    completeListEvent = lastEvent;
    watcher.onReloadedList(number, lastEvent, ready, receivedEvents);
  }

  private void receiveEvents(List<EngineMember> members) {
    for (EngineMember m : members) {
      if (receivedEvents.add(eventKey(m))) {
        watcher.onListEvent(number, m);
      }
    }
  }

  /** Ends the gateway: with notice to its peers, as SIGTERM does, or without, as SIGKILL does. */
  void end(boolean gracefully) {
    loop.post(
        0,
        () -> {
          if (gossip != null) {
            if (gracefully) {
              gossip.stop();
            } else {
              gossip.abandon();
            }
          }
          gateway.terminate();
          loop.end();
        });
  }

  /**
   * Returns the processor time of the gateway's threads so far in nanoseconds. A thread that has
   * ended counts as of the last call before its end; the process calls this each second.
   */
  long cpuNanos() {
    ThreadMXBean bean = ManagementFactory.getThreadMXBean();
    Thread[] active = new Thread[threads.activeCount() + 8];
    int count = threads.enumerate(active);
    for (int i = 0; i < count; i++) {
      long time = bean.getThreadCpuTime(active[i].getId());
      if (time > 0) {
        cpuNanosByThread.put(active[i].getId(), time);
      }
    }
    return cpuNanosByThread.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the traffic of the gossip port; all zero if gossip is off. */
  GossipNode.Traffic traffic() {
    return gossip == null ? new GossipNode.Traffic(0, 0, 0, 0) : gossip.traffic();
  }
}
