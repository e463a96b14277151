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

/** A fleet of gateway processes, with engines, change logs and clients on loopback. */
public final class ProcessFleet implements FaultInjector.Gateways, AutoCloseable {
  private static final long SETTLE_TIME = ClusterPlan.SECOND;
  private static final long MEMORY_SAMPLE_PERIOD = 2 * ClusterPlan.SECOND;
  private static final int SCHEDULER_TIMEOUT_S = 60;

  /** The listen address in the configuration of gateways that have no clients. */
  private static final InetSocketAddress UNUSED_ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private final ClusterPlan plan;
  private final RealTimeScheduler time = new RealTimeScheduler("cluster-model");
  private final ClusterModel model;
  private final SplittableRandom random;
  private final Processes processes;

  /** Null if there are no processes beside the gateways. */
  private final SideProcesses sideProcesses;

  private final GatewayAvailability availability;
  private final long[] starts;
  private HistoryChecker checker;
  private EngineHosts hosts;
  private Clients clients;
  private Workload workload;
  private Companion companion = (start, end, gateways) -> {};
  private double maxMemoryMb;
  private double totalMemoryMb;
  private long maxLateness;

  /**
   * Creates a fleet.
   *
   * @param folder the folder for the gateways' files
   * @param jar the gateway's jar; null to run the gateway from the class path
   */
  public ProcessFleet(ClusterPlan plan, Path folder, Path jar, int heapMb) throws IOException {
    this(plan, folder, jar, heapMb, g -> List.of());
  }

  /** Creates a fleet whose gateways have additional command-line arguments. */
  public ProcessFleet(
      ClusterPlan plan, Path folder, Path jar, int heapMb, IntFunction<List<String>> arguments)
      throws IOException {
    this(plan, folder, jar, heapMb, arguments, null);
  }

  /**
   * Creates a fleet with processes beside it; the plan's gateways are those that are gateway
   * processes and serve clients.
   */
  public ProcessFleet(
      ClusterPlan plan,
      Path folder,
      Path jar,
      int heapMb,
      IntFunction<List<String>> arguments,
      SideProcesses sideProcesses)
      throws IOException {
    this.plan = plan;
    this.sideProcesses = sideProcesses;
    model = new ClusterModel(plan, time);
    random = new SplittableRandom(plan.seed() * 13 + 11);
    starts = new long[totalGateways()];
    processes = new Processes(folder, jar, plan.gateways(), heapMb, this::configuration, arguments);
    availability = new GatewayAvailability(plan.gateways(), processes::wasKilled, random);
  }

  private int totalGateways() {
    return plan.gateways() + (sideProcesses == null ? 0 : sideProcesses.gateways());
  }

  /**
   * Returns the configuration for a gateway's start or reload, with the list as the gateway's zone
   * has received it now.
   */
  public String configuration(int gateway) {
    AtomicReference<List<ClusterModel.Event>> log = new AtomicReference<>();
    ClusterModel.View view = model.views.get(plan.zoneOf(gateway));
    runOnScheduler(
        () -> {
          log.set(List.copyOf(view.log));
          starts[gateway]++;
        });
    Map<Integer, ClusterModel.ListEntry> known = new java.util.LinkedHashMap<>();
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
        plan.seed() * 1_000_003 + gateway + starts[gateway] * 7_919,
        gateway < plan.gateways() ? processes.addresses().get(gateway) : UNUSED_ADDRESS,
        sideProcesses == null ? hosts.listAddress(view.zone) : sideProcesses.changeLog(gateway),
        log.get().size(),
        engines);
  }

  /** Makes all gateway processes reload their configuration (SIGHUP). */
  public void hangUp() {
    processes.hangUp();
  }

  /** Returns the ids of the running processes. */
  public List<Long> pids() {
    return processes.pids();
  }

  /** Returns the scheduler on whose thread the cluster model is accessed. */
  public RealTimeScheduler time() {
    return time;
  }

  /** Runs an action on the scheduler's thread and waits until it has finished. */
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
      if (!done.await(SCHEDULER_TIMEOUT_S, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            "the scheduler's thread did not run the action in " + SCHEDULER_TIMEOUT_S + " s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /** Runs a script; returns the figures. */
  public Map<String, Object> play(FaultSchedule script) throws IOException, InterruptedException {
    return play(script, () -> {});
  }

  /** Runs a script, and an action when the queries are over and the gateways still run. */
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
      processes.enableClockSteps();
    }
    if (script.failsCalls()) {
      processes.enableCallFailures();
    }
    int ready = processes.startAll() + (sideProcesses == null ? 0 : sideProcesses.startGateways());
    long started = time.now() - from;
    System.err.printf(
        "%d of %d gateways are ready after %.1f s%n", ready, totalGateways(), started / 1e9);
    long start = time.now() + SETTLE_TIME;
    long end = start + plan.seconds() * ClusterPlan.SECOND;
    runOnScheduler(
        () -> {
          availability.allUp();
          checker.begin(start);
          workload = new Workload(plan, start);
          clients = new Clients(model, checker, processes.addresses(), availability);
          companion.begin(start, end, processes.addresses());
          new FaultInjector(
                  model, totalGateways(), this, workload, checker, this::injectInstallationFault)
              .play(script, start, () -> time.now() < end);
          if (sideProcesses != null) {
            sideProcesses.begin(checker, start, end);
          }
          time.at(start, () -> checker.watch(end));
          sampleMemory(end);
          scheduleNext(end);
        });
    long longest = Workload.KINDS.stream().mapToLong(Workload.Kind::deadline).max().orElse(0);
    while (time.now() < end + longest + ClusterPlan.SECOND && !settled(end)) {
      Thread.sleep(100);
    }
    Thread.sleep(500); // messages still in transit arrive
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
          f.put("rss_mb_max", Math.round(maxMemoryMb * 10) / 10.0);
          f.put("rss_mb_all", Math.round(totalMemoryMb));
          f.put("clients_late_ms", maxLateness / ClusterPlan.MILLISECOND);
          figures.set(f);
        });
    return figures.get();
  }

  /** Sets what runs beside the queries; to be called before {@link #play}. */
  public void setCompanion(Companion companion) {
    this.companion = companion;
  }

  /** Returns the outcomes, by class, of the queries that arrived from a second on. */
  public List<HistoryChecker.Row> rows(double fromSecond) {
    AtomicReference<List<HistoryChecker.Row>> rows = new AtomicReference<>();
    runOnScheduler(() -> rows.set(checker.rows((long) (fromSecond * ClusterPlan.SECOND))));
    return rows.get();
  }

  private boolean settled(long end) {
    return time.now() > end + ClusterPlan.SECOND && checker.allAnswered();
  }

  private void sampleMemory(long end) {
    ProcessMemory memory = processes.memory();
    maxMemoryMb = Math.max(maxMemoryMb, memory.most());
    totalMemoryMb = Math.max(totalMemoryMb, memory.sum());
    if (time.now() < end) {
      time.at(time.now() + MEMORY_SAMPLE_PERIOD, () -> sampleMemory(end));
    }
  }

  private void scheduleNext(long end) {
    Arrival a = workload.next();
    if (a.at() < end) {
      time.at(
          a.at(),
          () -> {
            maxLateness = Math.max(maxLateness, time.now() - a.at());
            route(a);
            scheduleNext(end);
          });
    }
  }

  private void route(Arrival a) {
    if (availability.isTerminating(a.gateway()) && clients.hasConnection(a.gateway())) {
      clients.send(a, a.gateway());
      return;
    }
    int gateway = availability.route(a.gateway(), time.now());
    if (availability.isUp(gateway)) {
      clients.send(a, gateway);
    } else {
      checker.unplaced(a);
    }
  }

  private void reportDown(int gateway) {
    if (sideProcesses != null) {
      sideProcesses.onGatewayRunning(gateway, false);
    }
  }

  private void injectInstallationFault(Fault t) {
    if (sideProcesses == null) {
      throw new IllegalStateException("this fleet cannot inject " + t);
    }
    sideProcesses.injectFault(t);
  }

  @Override
  public void kill(int gateway) {
    if (gateway >= plan.gateways()) {
      sideProcesses.kill(gateway);
      return;
    }
    availability.killed(gateway, time.now());
    reportDown(gateway);
    processes.kill(gateway);
  }

  @Override
  public void terminate(int gateway) {
    if (gateway >= plan.gateways()) {
      sideProcesses.terminate(gateway);
      return;
    }
    availability.removed(gateway, time.now());
    reportDown(gateway);
    processes.terminate(gateway);
  }

  @Override
  public boolean terminateInUse(int gateway) {
    boolean possible = availability.isUp(gateway) && availability.mostAreUp();
    if (possible) {
      availability.terminatesInUse(gateway, time.now());
      processes.terminate(gateway);
    }
    return possible;
  }

  @Override
  public void killTerminated(int gateway) {
    if (availability.isTerminating(gateway)) {
      processes.killTerminated(gateway);
      availability.ended(gateway);
    }
  }

  @Override
  public void hangUp(int gateway) {
    if (availability.isUp(gateway) || availability.isTerminating(gateway)) { // not while it starts
      processes.hangUp(gateway);
    }
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
                  availability.started(gateway);
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
