package reachloom.lab.scale;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reachloom.discovery.EndpointWatch;
import reachloom.lab.cluster.ClusterModel;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.EngineHosts;
import reachloom.lab.cluster.Fault;
import reachloom.lab.cluster.FaultSchedule;
import reachloom.lab.cluster.HistoryChecker;
import reachloom.lab.cluster.ListServer;
import reachloom.lab.cluster.ProcessFleet;
import reachloom.lab.cluster.SideProcesses;
import reachloom.lab.cluster.Workload;
import reachloom.lab.gossip.Installation;

/** Runs an installation of the planned size, or smaller, on real sockets under a fault script. */
final class ScaleRun implements SideProcesses, FileAndSignalSource.Gateways, AutoCloseable {
  private static final int MAX_SEEDS = 3;
  private static final String OPERATOR = "operator";

  /** In installations with more gateways a gossip status reply is too long to request in a run. */
  private static final int MAX_GATEWAYS_FOR_STATUS = 8;

  private static final Pattern STATUS_TRAFFIC =
      Pattern.compile("bytes sent (\\d+) .* sent (\\d+), received (\\d+) of (\\d+) bytes");
  private static final int CONTROL_HEAP_MB = 64;
  private static final int SYNTHETIC_PROCESS_HEAP_MB = 64; // without its gateways
  private static final int HEAP_PER_GATEWAY_MB = 10;
  private static final int READY_TIMEOUT_S = 120;

  /** Spaces out starts: a process with many gateways has one machine's share of processor time. */
  private static final long LAUNCH_INTERVAL_MS = 20;

  private static final long LOG_POLL_MS = 50;

  /**
   * Maximum time that a gateway needs to wait for a change log, connect to it and receive the list;
   * doubled for a busy machine.
   */
  private static final long RECONNECT_TIME_NANOS =
      2 * (EndpointWatch.MAX_SILENCE_NANOS / 2 + EndpointWatch.CONNECT_TIMEOUT_NANOS);

  private static final long COMPLETION_TIMEOUT_MS = 20_000;

  /** Size of the installation; {@code rate} is in statements a second at each real gateway. */
  record Size(
      int gateways,
      int real,
      int engines,
      int regions,
      int zones,
      int control,
      int seconds,
      double rate,
      int settle,
      int aHost,
      int heapMb,
      boolean gossip,
      long period,
      int cap,
      long seed) {
    int synthetic() {
      return gateways - real;
    }

    int regionOf(int zone) {
      return zone % regions;
    }

    /** Returns the control machine that a gateway follows: one of its region if there is one. */
    int machineOf(int gateway) {
      int region = regionOf(gateway % zones);
      int machinesInRegion = (control - region + regions - 1) / regions;
      return machinesInRegion <= 0
          ? gateway % control
          : region + gateway / zones % machinesInRegion * regions;
    }
  }

  private final Size size;
  private final Path folder;
  private final ProcessFleet fleet;
  private final FileAndSignalSource source;
  private final RolloutTracker rollout = new RolloutTracker();
  private final EndpointListWatcher endpointLists;
  private final ResourceMonitor resourceMonitor;
  private final List<HelperProcess> syntheticProcesses = new ArrayList<>();
  private final HelperProcess[] controlMachines;
  private final boolean[] partitioned;
  private final boolean[] lostMachines;
  private final List<InetSocketAddress> gossipAddresses = new ArrayList<>();
  private final Map<Integer, Path> settingsFiles = new ConcurrentHashMap<>();
  private final BitSet runningGateways = new BitSet();
  private final ScheduledExecutorService issueExecutor =
      Executors.newSingleThreadScheduledExecutor(daemon("source"));
  private final ScheduledExecutorService samplingExecutor =
      Executors.newSingleThreadScheduledExecutor(daemon("sampling"));
  private final ExecutorService statusExecutor =
      Executors.newSingleThreadExecutor(daemon("status"));
  private final ExecutorService startExecutor = Executors.newCachedThreadPool(daemon("starts"));
  private final CountDownLatch ready;
  private Installation installation;
  private ClusterModel clusterModel;
  private EngineHosts engines;
  private HistoryChecker history;
  private int changeLogPort;
  private volatile boolean failed;
  private final Map<Integer, ResourceMonitor.Count> gossipFirst = new ConcurrentHashMap<>();
  private final Map<Integer, ResourceMonitor.Count> gossipLast = new ConcurrentHashMap<>();
  private long issuedChanges;
  private long haltsNotPlayed;
  private boolean closing;

  ScaleRun(Size size, Path folder, Path jar) throws IOException {
    this.size = size;
    this.folder = folder;
    double load =
        size.rate
            * size.real
            * Workload.meanWork()
            / new ClusterPlan(1, size.engines, size.zones, 1, 1, 0, 0, 1, size.seed).allCores();
    ClusterPlan plan =
        new ClusterPlan(
            size.real,
            size.engines,
            size.zones,
            size.seconds,
            load,
            0,
            0,
            size.gateways,
            size.seed);
    controlMachines = new HelperProcess[size.control];
    partitioned = new boolean[size.control];
    lostMachines = new boolean[size.control];
    ready = new CountDownLatch(size.synthetic());
    endpointLists = new EndpointListWatcher();
    resourceMonitor = new ResourceMonitor(size);
    fleet =
        new ProcessFleet(
            plan,
            folder,
            jar,
            size.heapMb,
            g ->
                settingsFiles.containsKey(g)
                    ? List.of("--settings", settingsFiles.get(g).toString())
                    : List.of(),
            this);
    source = new FileAndSignalSource(folder, size.real, fleet::configuration, this, rollout);
  }

  private static java.util.concurrent.ThreadFactory daemon(String name) {
    return r -> {
      Thread t = new Thread(r, name);
      t.setDaemon(true);
      return t;
    };
  }

  Map<String, Object> play(FaultSchedule script) throws IOException, InterruptedException {
    Map<String, Object> fleetFigures = fleet.play(script, this::awaitCompletion);
    Map<String, Object> f = new LinkedHashMap<>();
    f.put("gateways_ready", fleetFigures.get("gateways_ready"));
    resourceMonitor.figures(f);
    rollout.figures(f);
    endpointLists.figures(f, runningSyntheticCount());
    for (String name : List.of("rules_broken", "broken", "unanswered", "service", "asked")) {
      if (size.real > 0) {
        f.put(name, fleetFigures.get(name));
      }
    }
    f.put("rate_a_gateway", size.rate);
    f.put("rss_mb_max", size.real == 0 ? null : fleetFigures.get("rss_mb_max"));
    f.put("ready_s", fleetFigures.get("ready_s"));
    f.put("probes_per_s", fleetFigures.get("probes_per_s"));
    f.put("engine_connections_max", fleetFigures.get("connections_max"));
    f.put("crashed", fleetFigures.get("crashed"));
    f.put("clients_late_ms", fleetFigures.get("clients_late_ms"));
    f.put("halts_not_played", haltsNotPlayed);
    f.put("gossip_cut", false);
    f.put("rig_defects", ((Number) fleetFigures.get("rig_defects")).intValue() + (failed ? 1 : 0));
    f.put("machine_idle_share", resourceMonitor.idleShare());
    f.put("void", resourceMonitor.voidReasons(f));
    return f;
  }

  // ---- Preparation and start of the gateways ----

  @Override
  public int gateways() {
    return size.synthetic();
  }

  @Override
  public InetSocketAddress changeLog(int gateway) {
    return ListServer.machine(size.machineOf(gateway), gateway % size.zones, changeLogPort);
  }

  @Override
  public void open(ClusterModel model, EngineHosts listening)
      throws IOException, InterruptedException {
    clusterModel = model;
    engines = listening;
    if (size.gossip) {
      createIdentities();
    }
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      changeLogPort = free.getLocalPort();
    }
    for (int m = 0; m < size.control; m++) {
      startControlMachine(m);
    }
    fleet.runOnScheduler(() -> clusterModel.views.get(0).addListener(this::sendListEvent));
  }

  private void createIdentities() throws IOException {
    installation = new Installation(folder);
    installation.instance(OPERATOR, "ca", 30);
    // All sockets are open at once, so that no two ports are the same.
    List<DatagramSocket> taken = new ArrayList<>();
    for (int g = 0; g < size.gateways; g++) {
      DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress());
      taken.add(s);
      gossipAddresses.add((InetSocketAddress) s.getLocalSocketAddress());
    }
    taken.forEach(DatagramSocket::close);
    for (int g = 0; g < size.gateways; g++) {
      String name = "g" + g;
      installation.instance(name, "ca", 30);
      settingsFiles.put(
          g,
          installation.file(
              installation.settings(
                  name,
                  gossipAddresses.get(g),
                  size.period,
                  size.cap,
                  gossipAddresses.subList(0, Math.min(g, MAX_SEEDS)),
                  "ca"),
              name));
    }
  }

  /** Starts a control machine, sends it the whole list and waits until it listens. */
  private void startControlMachine(int m) throws IOException, InterruptedException {
    CountDownLatch listening = new CountDownLatch(1);
    HelperProcess child =
        new HelperProcess(
            CONTROL_HEAP_MB,
            folder.resolve("control" + m + ".log"),
            line -> {
              if (line.equals("listening")) {
                listening.countDown();
              } else {
                resourceMonitor.onControlUsage(m, line);
              }
            },
            HelperMain.CONTROL,
            "--machine",
            Integer.toString(m),
            "--port",
            Integer.toString(changeLogPort),
            "--engine-port",
            Integer.toString(engines.port()),
            "--engines",
            Integer.toString(size.engines),
            "--zones",
            Integer.toString(size.zones));
    resourceMonitor.controlMachineStarted(m, child.pid());
    fleet.runOnScheduler(
        () -> {
          clusterModel.views.get(0).log.forEach(e -> child.sendLine(eventLine(e)));
          controlMachines[m] = child;
        });
    child.sendLine("listen");
    if (!listening.await(READY_TIMEOUT_S, TimeUnit.SECONDS)) {
      throw new IOException(
          "control machine " + m + " did not listen within " + READY_TIMEOUT_S + " s");
    }
  }

  private static String eventLine(ClusterModel.Event e) {
    return "event "
        + e.number()
        + " "
        + e.engine().id()
        + " "
        + e.engine().state()
        + " "
        + e.engine().startedMs();
  }

  private void sendListEvent(ClusterModel.Event e) {
    endpointLists.announced(
        e.number(),
        ClusterModel.name(e.engine().id())
            + " "
            + e.engine().state()
            + " "
            + e.engine().startedMs(),
        MachineTime.millis());
    for (int m = 0; m < controlMachines.length; m++) {
      if (!partitioned[m] && !lostMachines[m]) {
        controlMachines[m].sendLine(eventLine(e));
      }
    }
  }

  @Override
  public int startGateways() throws IOException, InterruptedException {
    int count = (size.synthetic() + size.aHost - 1) / size.aHost;
    for (int h = 0; h < count; h++) {
      int process = h;
      int on = Math.min(size.aHost, size.synthetic() - h * size.aHost);
      HelperProcess child =
          new HelperProcess(
              SYNTHETIC_PROCESS_HEAP_MB + on * HEAP_PER_GATEWAY_MB,
              folder.resolve("hollow" + h + ".log"),
              line -> handleLine(process, line),
              HelperMain.SYNTHETIC_GATEWAYS);
      resourceMonitor.syntheticProcessStarted(h, child.pid());
      syntheticProcesses.add(child);
    }
    synchronized (runningGateways) {
      runningGateways.set(0, size.real);
    }
    for (int g = size.real; g < size.gateways; g++) {
      startSyntheticGateway(g);
      Thread.sleep(LAUNCH_INTERVAL_MS);
    }
    ready.await(READY_TIMEOUT_S, TimeUnit.SECONDS);
    int joined = size.synthetic() - (int) ready.getCount();
    Thread.sleep(size.settle * 1_000L);
    return joined;
  }

  private HelperProcess processOf(int gateway) {
    return syntheticProcesses.get((gateway - size.real) / size.aHost);
  }

  private void startSyntheticGateway(int gateway) throws IOException {
    Path file = source.write(gateway);
    processOf(gateway)
        .sendLine(
            "start "
                + gateway
                + " "
                + size.rate
                + " "
                + file
                + (size.gossip ? " " + settingsFiles.get(gateway) : ""));
  }

  private void handleLine(int process, String line) {
    String[] words = line.split(" ");
    switch (words[0]) {
      case "ready" -> {
        int g = Integer.parseInt(words[1]);
        synchronized (runningGateways) {
          runningGateways.set(g);
        }
        rollout.started(g, Long.parseLong(words[2]));
        endpointLists.started(g, Long.parseLong(words[3]));
        ready.countDown();
      }
      case "applied" ->
          rollout.applied(
              Integer.parseInt(words[1]), Long.parseLong(words[2]), Long.parseLong(words[3]));
      case "lacks" ->
          System.err.println(
              "gateway "
                  + words[1]
                  + " has received "
                  + words[2]
                  + " of "
                  + endpointLists.count()
                  + " list changes since its start");
      case "list" ->
          endpointLists.recordReceived(
              process,
              words[1] + " " + words[2] + " " + words[3],
              Integer.parseInt(words[4]),
              Long.parseLong(words[5]));
      case "reloaded" -> handleReloadedList(line);
      default -> resourceMonitor.onSyntheticUsage(process, words);
    }
  }

  private void handleReloadedList(String line) {
    String[] words = line.split(" ", 5); // the last word is the keys, which contain spaces
    Set<String> receivedKeys = Set.of(words[4].split(EndpointListWatcher.KEY_SEPARATOR));
    endpointLists.reloaded(
        Integer.parseInt(words[1]),
        Long.parseLong(words[2]),
        Long.parseLong(words[3]),
        receivedKeys);
  }

  @Override
  public void begin(HistoryChecker checker, long start, long end) {
    history = checker;
    clusterModel.time.at(
        start,
        () -> {
          resourceMonitor.begin(fleet::pids);
          statusExecutor.execute(() -> readGossipTraffic(gossipFirst));
        });
    clusterModel.time.at(end, () -> statusExecutor.execute(() -> readGossipTraffic(gossipLast)));
    clusterModel.time.at(end, resourceMonitor::end);
    samplingExecutor.scheduleAtFixedRate(resourceMonitor::sample, 1, 1, TimeUnit.SECONDS);
    samplingExecutor.scheduleAtFixedRate(
        () -> source.readLogs(g -> rollout.appliedNext(g, MachineTime.millis())),
        0,
        LOG_POLL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Waits until the last changes are in force and lost control machines are back, at most {@link
   * #COMPLETION_TIMEOUT_MS} for each of issuing, status requests and changes.
   */
  private void awaitCompletion() {
    try {
      // Waits until all changes are issued and all status requests are answered.
      issueExecutor.submit(() -> {}).get(COMPLETION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      statusExecutor.submit(() -> {}).get(COMPLETION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      long until = MachineTime.millis() + COMPLETION_TIMEOUT_MS;
      while ((rollout.hasPending()
              || hasLostMachine()
              || endpointLists.hasPending(runningSyntheticCount()))
          && MachineTime.millis() < until) {
        Thread.sleep(LOG_POLL_MS);
      }
      if (rollout.hasPending()) {
        System.err.println(
            "gateways with a pending configuration change: " + rollout.lackingGateways());
      }
      if (endpointLists.hasPending(runningSyntheticCount())) {
        syntheticProcesses.forEach(h -> h.sendLine("lacking " + endpointLists.count()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      failed = true;
    }
  }

  /** Reads the gossip traffic of each gateway, real or synthetic, as an operator does. */
  private void readGossipTraffic(Map<Integer, ResourceMonitor.Count> to) {
    for (int g = 0;
        g < size.gateways && size.gossip && size.gateways <= MAX_GATEWAYS_FOR_STATUS;
        g++) {
      try {
        Matcher m =
            STATUS_TRAFFIC.matcher(
                Installation.tool(
                    "status",
                    "--address",
                    "127.0.0.1:" + gossipAddresses.get(g).getPort(),
                    "--cluster",
                    Installation.CLUSTER,
                    "--key",
                    installation.path(OPERATOR + ".key").toString(),
                    "--certificate",
                    installation.path(OPERATOR + ".crt").toString(),
                    "--authority",
                    installation.path("ca.crt").toString()));
        if (m.find()) {
          to.put(
              g,
              new ResourceMonitor.Count(
                  MachineTime.millis(),
                  Long.parseLong(m.group(2)) + Long.parseLong(m.group(3)),
                  Long.parseLong(m.group(1)) + Long.parseLong(m.group(4))));
        }
      } catch (IOException e) {
        System.err.println("gateway " + g + ": gossip status failed: " + e.getMessage());
      }
    }
  }

  /**
   * Returns the gossip traffic of a gateway, real or synthetic, in datagrams and bytes a second;
   * available in a small installation only.
   */
  double[] gossip(int gateway) {
    return gossipLast.get(gateway).since(gossipFirst.get(gateway));
  }

  /** Returns the change log frames and bytes a second from one machine to a zone's gateways. */
  double[] changeLog(int machine, int zone) {
    return resourceMonitor.changeLog(machine, zone);
  }

  private boolean hasLostMachine() {
    boolean[] any = {false};
    fleet.runOnScheduler(
        () -> {
          for (boolean l : lostMachines) {
            any[0] |= l;
          }
        });
    return any[0];
  }

  private int runningSyntheticCount() {
    synchronized (runningGateways) {
      return runningGateways.get(size.real, size.gateways).cardinality();
    }
  }

  // ---- Faults ----

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  /** Runs a task off the timeline on the given executor; a failure is a defect of the run. */
  private void runOffTimeline(Executor executor, Task task) {
    executor.execute(
        () -> {
          try {
            task.run();
          } catch (IOException | RuntimeException e) {
            if (!closing) {
              failed = true;
              System.err.println("scale: " + e);
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  @Override
  public void injectFault(Fault t) {
    switch (t.kind()) {
      case ISSUE -> {
        for (int i = 0; i < (int) t.by(); i++) {
          clusterModel.time.at(
              clusterModel.time.now() + t.spread() * i / (int) t.by(),
              () -> runOffTimeline(issueExecutor, () -> source.issue(++issuedChanges)));
        }
      }
      case LOSE -> {
        for (int m = 0; m < Math.min((int) t.by(), size.control); m++) {
          loseControlMachine(m, t.length());
        }
      }
      default -> {
        setPartitioned(true);
        clusterModel.time.at(clusterModel.time.now() + t.length(), () -> setPartitioned(false));
      }
    }
  }

  private void loseControlMachine(int m, long length) {
    if (lostMachines[m]) {
      return;
    }
    lostMachines[m] = true;
    exemptCutOffZones();
    controlMachines[m].kill();
    clusterModel.time.at(
        clusterModel.time.now() + length,
        () ->
            runOffTimeline(
                startExecutor,
                () -> {
                  fleet.runOnScheduler(() -> lostMachines[m] = false);
                  startControlMachine(m);
                  endpointLists.healed(MachineTime.millis());
                  fleet.runOnScheduler(this::endExemptionAfterReconnect);
                }));
  }

  /**
   * Partitions the regions or ends the partition: cuts the links to engines of other regions, and
   * the list's way to control machines outside the first region.
   */
  private void setPartitioned(boolean now) {
    for (int g = 0; g < size.zones; g++) {
      for (int e = 0; e < size.zones; e++) {
        if (size.regionOf(g) != size.regionOf(e)) {
          clusterModel.link(g, e).cutOut = now;
          clusterModel.link(g, e).cutIn = now;
          history.impaired(g, e, now);
        }
      }
    }
    for (int m = 0; m < size.control; m++) {
      if (size.regionOf(m) != 0) {
        partitioned[m] = now;
        exemptCutOffZones();
        if (!now && !lostMachines[m]) {
          sendWholeList(m);
        }
      }
    }
    if (!now) {
      endpointLists.healed(MachineTime.millis());
      endExemptionAfterReconnect();
    }
  }

  /** Returns whether a real gateway of the zone follows one of the flagged machines. */
  private boolean followsAny(int zone, boolean[] flaggedMachines) {
    for (int g = zone; g < size.real; g += size.zones) {
      if (flaggedMachines[size.machineOf(g)]) {
        return true;
      }
    }
    return false;
  }

  /**
   * Tells the checker which zones have a real gateway that follows a lost or partitioned control
   * machine: the checker does not hold the zone to list changes that it missed.
   */
  private void exemptCutOffZones() {
    for (int z = 0; z < size.zones; z++) {
      if (followsAny(z, lostMachines) || followsAny(z, partitioned)) {
        history.setUpdatesBlocked(z, true);
      }
    }
  }

  /**
   * Ends the exemption of zones whose control machines can be reached, once their gateways had time
   * to reconnect and receive the list.
   */
  private void endExemptionAfterReconnect() {
    clusterModel.time.at(
        clusterModel.time.now() + RECONNECT_TIME_NANOS,
        () -> {
          for (int z = 0; z < size.zones; z++) {
            if (!followsAny(z, lostMachines) && !followsAny(z, partitioned)) {
              history.setUpdatesBlocked(z, false);
            }
          }
        });
  }

  /** Sends a machine that could not be reached the whole list again; it skips known events. */
  private void sendWholeList(int m) {
    clusterModel.views.get(0).log.forEach(e -> controlMachines[m].sendLine(eventLine(e)));
  }

  @Override
  public void kill(int gateway) {
    stopGateway(gateway, "kill ");
  }

  @Override
  public void terminate(int gateway) {
    stopGateway(gateway, "terminate ");
  }

  private void stopGateway(int gateway, String how) {
    synchronized (runningGateways) {
      runningGateways.clear(gateway);
    }
    rollout.started(gateway, 0); // a stopped gateway has no pending changes
    endpointLists.ended(gateway);
    processOf(gateway).sendLine(how + gateway);
  }

  @Override
  public void halt(int gateway, boolean now) {
    haltsNotPlayed += now ? 1 : 0; // not played: its process runs other gateways, too
  }

  @Override
  public void start(int gateway) {
    runOffTimeline(startExecutor, () -> startSyntheticGateway(gateway));
  }

  @Override
  public void onGatewayRunning(int gateway, boolean now) {
    synchronized (runningGateways) {
      runningGateways.set(gateway, now);
    }
    rollout.started(gateway, now ? MachineTime.millis() : 0);
  }

  // ---- Access of the configuration source to the gateways ----

  @Override
  public List<Integer> running() {
    synchronized (runningGateways) {
      return runningGateways.stream().boxed().toList();
    }
  }

  @Override
  public void hangUp() {
    fleet.hangUp();
  }

  @Override
  public void reload(int gateway, long change) {
    processOf(gateway).sendLine("reload " + gateway + " " + change);
  }

  @Override
  public void close() throws InterruptedException {
    closing = true;
    samplingExecutor.shutdownNow();
    statusExecutor.shutdownNow();
    startExecutor.shutdownNow();
    issueExecutor.shutdownNow();
    fleet.close();
    syntheticProcesses.forEach(HelperProcess::close);
    for (HelperProcess m : controlMachines) {
      if (m != null) {
        m.close();
      }
    }
  }
}
