package reachloom.lab.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;
import reachloom.lab.cluster.Workload.Arrival;
import reachloom.standin.model.RealTimeScheduler;

/** The fleet as processes of the program, among engines, change logs and clients on loopback. */
public final class ProcessFleet implements FaultInjector.Gateways, AutoCloseable {
  private static final long FRONT_NOTICE = ClusterPlan.SECOND;
  private static final long SETTLE = ClusterPlan.SECOND;
  private static final long MEMORY_GAP = 2 * ClusterPlan.SECOND;
  private static final long LATEST = ClusterPlan.SECOND;
  private static final int PATIENCE_S = 60;

  /** Where gateways that no client asks are said to listen. */
  private static final InetSocketAddress NOWHERE =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private final ClusterPlan plan;
  private final RealTimeScheduler time = new RealTimeScheduler("cluster-model");
  private final ClusterModel model;
  private final SplittableRandom random;
  private final Processes processes;

  /** Null where the gateways are alone. */
  private final SideProcesses sideProcesses;

  private final boolean[] up;
  private final long[] changedAt;
  private final long[] lives;
  private HistoryChecker checker;
  private EngineHosts hosts;
  private Clients clients;
  private Workload workload;
  private double memoryMost;
  private double memoryAll;
  private long latest;

  /**
   * A fleet whose files go to that folder; {@code jar} null takes the program from the class path.
   */
  public ProcessFleet(ClusterPlan plan, Path folder, Path jar, int heapMb) throws IOException {
    this(plan, folder, jar, heapMb, g -> List.of());
  }

  /** The same, each gateway with further words on its command line. */
  public ProcessFleet(
      ClusterPlan plan, Path folder, Path jar, int heapMb, IntFunction<List<String>> words)
      throws IOException {
    this(plan, folder, jar, heapMb, words, null);
  }

  /** The same in company; the plan's gateways are those that are processes and that clients ask. */
  public ProcessFleet(
      ClusterPlan plan,
      Path folder,
      Path jar,
      int heapMb,
      IntFunction<List<String>> words,
      SideProcesses sideProcesses)
      throws IOException {
    this.plan = plan;
    this.sideProcesses = sideProcesses;
    model = new ClusterModel(plan, time);
    random = new SplittableRandom(plan.seed() * 13 + 11);
    up = new boolean[plan.gateways()];
    changedAt = new long[plan.gateways()];
    lives = new long[all()];
    processes = new Processes(folder, jar, plan.gateways(), heapMb, this::configuration, words);
  }

  private int all() {
    return plan.gateways() + (sideProcesses == null ? 0 : sideProcesses.gateways());
  }

  /**
   * What a gateway is told at its start or by a change of configuration: the list as its view has
   * it now.
   */
  public String configuration(int gateway) {
    AtomicReference<List<ClusterModel.Event>> log = new AtomicReference<>();
    ClusterModel.View view = model.views.get(plan.zoneOf(gateway));
    runOnScheduler(
        () -> {
          log.set(List.copyOf(view.log));
          lives[gateway]++;
        });
    Map<Integer, ClusterModel.Listed> known = new java.util.LinkedHashMap<>();
    log.get().forEach(e -> known.put(e.engine().id(), e.engine()));
    List<ObjectNode> engines = new ArrayList<>();
    known
        .values()
        .forEach(
            e ->
                engines.add(GatewayConfigurations.host(plan, e, hosts.address(e.id(), view.zone))));
    return GatewayConfigurations.configuration(
        plan,
        gateway,
        plan.seed() * 1_000_003 + gateway + lives[gateway] * 7_919,
        gateway < plan.gateways() ? processes.addresses().get(gateway) : NOWHERE,
        sideProcesses == null ? hosts.listAddress(view.zone) : sideProcesses.changeLog(gateway),
        log.get().size(),
        engines);
  }

  /** Tells all gateways that are processes to read their configuration again. */
  public void hangUp() {
    processes.hangUp();
  }

  /** The processes that run now. */
  public List<Long> pids() {
    return processes.pids();
  }

  /** The time of the world; what touches it runs there. */
  public RealTimeScheduler time() {
    return time;
  }

  /** Runs something on the world's thread, and waits for it. */
  public void runOnScheduler(Runnable work) {
    CountDownLatch done = new CountDownLatch(1);
    time.at(
        0,
        () -> {
          try {
            work.run();
          } finally {
            done.countDown();
          }
        });
    try {
      if (!done.await(PATIENCE_S, TimeUnit.SECONDS)) {
        throw new IllegalStateException("the model thread stands still");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /** Plays the script; gives the figures. */
  public Map<String, Object> play(FaultSchedule script) throws IOException, InterruptedException {
    return play(script, () -> {});
  }

  /** Plays the script, and does that when the queries are over and the gateways still run. */
  public Map<String, Object> play(FaultSchedule script, Runnable atEnd)
      throws IOException, InterruptedException {
    AtomicReference<IOException> failed = new AtomicReference<>();
    runOnScheduler(
        () -> {
          checker = new HistoryChecker(model, time.now());
          try {
            hosts = new EngineHosts(model, checker, sideProcesses == null);
          } catch (IOException e) {
            failed.set(e);
          }
        });
    if (failed.get() != null) {
      throw failed.get();
    }
    long from = time.now();
    if (sideProcesses != null) {
      sideProcesses.open(model, hosts);
    }
    processes.archive();
    if (script.stepsClocks()) {
      processes.ownClocks();
    }
    if (script.failsCalls()) {
      processes.ownCalls();
    }
    int ready = processes.startAll() + (sideProcesses == null ? 0 : sideProcesses.startGateways());
    long started = time.now() - from;
    System.err.printf("%d of %d gateways are ready after %.1f s%n", ready, all(), started / 1e9);
    long start = time.now() + SETTLE;
    long end = start + plan.seconds() * ClusterPlan.SECOND;
    runOnScheduler(
        () -> {
          java.util.Arrays.fill(up, true);
          checker.begin(start);
          workload = new Workload(plan, start);
          clients = new Clients(model, checker, processes.addresses(), processes::killed);
          new FaultInjector(model, all(), this, workload, checker, this::ofInstallation)
              .play(script, start, () -> time.now() < end);
          if (sideProcesses != null) {
            sideProcesses.begin(checker, start, end);
          }
          time.at(start, () -> checker.watch(end));
          look(end);
          next(end);
        });
    long longest = Workload.KINDS.stream().mapToLong(Workload.Kind::deadline).max().orElse(0);
    while (time.now() < end + longest + ClusterPlan.SECOND && !settled(end)) {
      Thread.sleep(100);
    }
    Thread.sleep(500); // what is still on its way
    atEnd.run();
    AtomicReference<Map<String, Object>> figures = new AtomicReference<>();
    runOnScheduler(
        () -> {
          Map<String, Object> f = checker.figures(time.now(), start);
          f.put("connections_max", hosts.mostConnections());
          f.put("handshakes", hosts.accepted());
          f.put("probes_per_s", hosts.probes() / plan.seconds());
          f.put("gateways_ready", ready);
          f.put("ready_s", Math.round(started / 1e8) / 10.0);
          f.put("crashed", processes.crashed().size());
          f.put("rig_defects", time.defects());
          f.put("rss_mb_max", Math.round(memoryMost * 10) / 10.0);
          f.put("rss_mb_all", Math.round(memoryAll));
          f.put("clients_late_ms", latest / ClusterPlan.MILLISECOND);
          figures.set(f);
        });
    return figures.get();
  }

  /** What became of the queries that came from that second on, by class. */
  public List<HistoryChecker.Row> rows(double fromSecond) {
    AtomicReference<List<HistoryChecker.Row>> rows = new AtomicReference<>();
    runOnScheduler(() -> rows.set(checker.rows((long) (fromSecond * ClusterPlan.SECOND))));
    return rows.get();
  }

  private boolean settled(long end) {
    return time.now() > end + ClusterPlan.SECOND && checker.allAnswered();
  }

  private void look(long end) {
    double[] memory = processes.memory();
    memoryMost = Math.max(memoryMost, memory[0]);
    memoryAll = Math.max(memoryAll, memory[1]);
    if (time.now() < end) {
      time.at(time.now() + MEMORY_GAP, () -> look(end));
    }
  }

  private void next(long end) {
    Arrival a = workload.next();
    if (a.at() < end) {
      time.at(
          a.at(),
          () -> {
            latest = Math.max(latest, time.now() - a.at());
            place(a);
            next(end);
          });
    }
  }

  private void place(Arrival a) {
    int g = a.gateway();
    if (!up[g] && time.now() > changedAt[g] + FRONT_NOTICE) {
      List<Integer> others = new ArrayList<>();
      for (int i = 0; i < up.length; i++) {
        if (up[i]) {
          others.add(i);
        }
      }
      g = others.isEmpty() ? g : others.get(random.nextInt(others.size()));
    }
    if (up[g]) {
      clients.send(a, g);
    } else {
      checker.unplaced(a);
    }
  }

  private void ends(int gateway) {
    up[gateway] = false;
    if (sideProcesses != null) {
      sideProcesses.onGatewayRunning(gateway, false);
    }
  }

  private void ofInstallation(Fault t) {
    if (sideProcesses == null) {
      throw new IllegalStateException("nobody here can bring about " + t);
    }
    sideProcesses.injectFault(t);
  }

  @Override
  public void kill(int gateway) {
    if (gateway >= plan.gateways()) {
      sideProcesses.kill(gateway);
      return;
    }
    ends(gateway);
    changedAt[gateway] = time.now();
    processes.kill(gateway);
  }

  @Override
  public void terminate(int gateway) {
    if (gateway >= plan.gateways()) {
      sideProcesses.terminate(gateway);
      return;
    }
    ends(gateway);
    changedAt[gateway] = time.now() - FRONT_NOTICE - LATEST; // its front takes it out first
    processes.terminate(gateway);
  }

  @Override
  public void halt(int gateway, boolean now) {
    if (gateway >= plan.gateways()) {
      sideProcesses.halt(gateway, now);
    } else {
      processes.halt(gateway, now);
    }
  }

  @Override
  public void failCalls(int gateway, int perThousand) {
    processes.failCalls(gateway, perThousand);
  }

  @Override
  public void stepClock(int gateway, double seconds) {
    processes.stepClock(gateway, seconds);
  }

  @Override
  public void start(int gateway) {
    if (gateway >= plan.gateways()) {
      sideProcesses.start(gateway);
      return;
    }
    processes.restart(
        gateway,
        () ->
            time.at(
                0,
                () -> {
                  up[gateway] = true;
                  if (sideProcesses != null) {
                    sideProcesses.onGatewayRunning(gateway, true);
                  }
                }));
  }

  @Override
  public void close() throws InterruptedException {
    processes.close();
    time.close();
    if (clients != null) {
      clients.close();
    }
    if (hosts != null) {
      hosts.close();
    }
  }
}
