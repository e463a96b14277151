package reachloom.lab.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * A gateway without clients and without a process of its own: loop, gateway, change log, gossip and
 * decisions are those of the program, put together as its server does; only the door for clients
 * stays shut. What clients would let it see of engines rides on gossip, so gossip is told of as
 * many attempts, all served, at the engines that come first in this gateway's own order.
 */
final class SyntheticGateway {
  /** Hears, on the gateway's loop, what it does. */
  interface Watcher {
    /** It would let clients in now; its configuration told the list up to that event. */
    void ready(int gateway, long lastEvent);

    /** It has been told this of the list since. */
    void holds(int gateway, EngineMember member);

    /** A configuration read again is in force. */
    void applied(int gateway, String issue);
  }

  private static final long SEE = 100_000_000; // nanoseconds
  private static final int KEPT_TO = 16;

  private final int number;
  private final Path configFile;
  private final String settingsFile;
  private final Watcher watcher;
  private final double rate;
  private final SplittableRandom random;
  private final ThreadGroup threads;
  private final EventLoop loop = new EventLoop();
  private final Set<String> held = ConcurrentHashMap.newKeySet();
  private final Map<Long, Long> spent = new LinkedHashMap<>();
  private GatewayService gateway;
  private GossipNode gossip;
  private final Set<String> inUse = new TreeSet<>();
  private List<String> first = List.of();
  private double due;
  private boolean begun;

  /** One that sees so many attempts end a second. */
  SyntheticGateway(int number, Path configFile, String settingsFile, double rate, Watcher watcher) {
    this.rate = rate;
    random = new SplittableRandom(number);
    this.number = number;
    this.configFile = configFile;
    this.settingsFile = settingsFile;
    this.watcher = watcher;
    threads = new ThreadGroup("gateway " + number); // its threads' time is told by it
  }

  /** Starts it on threads of its own. */
  void start() {
    Thread t =
        new Thread(
            threads,
            () -> {
              try {
                open();
                loop.run();
              } catch (ConfigException | IOException e) {
                System.err.println("gateway " + number + ": " + e.getMessage());
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
      loop.post(0, this::see);
    }
    gateway.setEngineOutcomeListener(new Heard());
    loop.post(0, () -> gateway.start(() -> watcher.ready(number, config.lastEventNumber())));
  }

  private final class Heard implements EngineOutcomeListener {
    @Override
    public void onEndpoints(boolean whole, List<EngineMember> members) {
      if (gossip != null) {
        gossip.onEndpoints(whole, members);
      }
      for (EngineMember m : members) {
        if (begun && held.add(key(m))) {
          watcher.holds(number, m);
        }
      }
      begun = true;
      keepTo(whole, members);
    }

    @Override
    public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted) {
      if (gossip != null) {
        gossip.onAttemptEnded(engine, outcome, wanted);
      }
    }
  }

  private void keepTo(boolean whole, List<EngineMember> members) {
    if (whole) {
      inUse.clear();
    }
    for (EngineMember m : members) {
      if (m.endpoint().state() == EngineState.UP) {
        inUse.add(m.endpoint().name());
      } else {
        inUse.remove(m.endpoint().name());
      }
    }
    first =
        new EngineSubset(number)
            .order(inUse.stream().map(e -> new EngineSubset.WeightedEngine(e, 1)).toList())
            .keySet()
            .stream()
                .limit(KEPT_TO)
                .toList();
  }

  /** What its clients would have let it see since the last time. */
  private void see() {
    for (due += rate * SEE / 1e9; due >= 1; due--) {
      if (!first.isEmpty()) {
        gossip.onAttemptEnded(first.get(random.nextInt(first.size())), AttemptOutcome.SERVED, true);
      }
    }
    loop.deadlines().add(loop.now() + SEE, this::see);
  }

  /** Which events of the list it has been told since its start. */
  Set<String> held() {
    return held;
  }

  /** What one event of the list said. */
  static String key(EngineMember m) {
    return m.endpoint().name()
        + " "
        + m.endpoint().state().ordinal()
        + " "
        + m.endpoint().incarnation() / 1_000_000;
  }

  /** Reads the configuration again, as the program does on SIGHUP, on a thread of its own. */
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
                      gateway.reload(next);
                      if (gossip != null) {
                        local.gossip().ifPresent(gossip::reload);
                      }
                      watcher.applied(number, issue);
                    });
              } catch (ConfigException e) {
                System.err.println(
                    "gateway " + number + ": the configuration stays as it is: " + e.getMessage());
              }
            },
            "reload");
    t.setDaemon(true);
    t.start();
  }

  /** Ends it; with a word to the others, as SIGTERM does, or without one, as SIGKILL. */
  void end(boolean kindly) {
    loop.post(
        0,
        () -> {
          if (gossip != null) {
            if (kindly) {
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
   * Processor time of its threads so far, in nanoseconds, but for what a thread spent in its last
   * second.
   */
  long processor() {
    ThreadMXBean bean = ManagementFactory.getThreadMXBean();
    Thread[] some = new Thread[threads.activeCount() + 8];
    int count = threads.enumerate(some);
    for (int i = 0; i < count; i++) {
      long time = bean.getThreadCpuTime(some[i].getId());
      if (time > 0) {
        spent.put(some[i].getId(), time);
      }
    }
    return spent.values().stream().mapToLong(Long::longValue).sum();
  }

  /** What went through its gossip port, or nothing. */
  GossipNode.Traffic traffic() {
    return gossip == null ? new GossipNode.Traffic(0, 0, 0, 0) : gossip.traffic();
  }
}
