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

/** The installation at its planned size, or smaller, played under a script on real sockets. */
final class ScaleRun implements SideProcesses, FileAndSignalSource.Gateways, AutoCloseable {
  private static final int SEEDS = 3;
  private static final String OPERATOR = "operator";

  /** Among more than so many an answer to an operator is too long to be asked for in a run. */
  private static final int MAX_ASKED = 8;

  private static final Pattern TRAFFIC =
      Pattern.compile("bytes sent (\\d+) .* sent (\\d+), received (\\d+) of (\\d+) bytes");
  private static final int CONTROL_HEAP_MB = 64;
  private static final int HOLLOW_HEAP_MB = 64; // and as much again for each gateway as measured
  private static final int HEAP_A_GATEWAY_MB = 10;
  private static final int READY_S = 120;
  private static final long LAUNCH_GAP_MS =
      20; // a process of so many has one machine's share to start with
  private static final long LOG_LOOK_MS = 50;

  /**
   * The longest wait for a change log, its dial and the list, with as much again on a busy machine.
   */
  private static final long REDIAL =
      2 * (EndpointWatch.MAX_SILENCE_NANOS / 2 + EndpointWatch.CONNECT_TIMEOUT_NANOS);

  private static final long PATIENCE_MS = 20_000;

  /** What is played; {@code rate} is in statements a second at each real gateway. */
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
    int hollow() {
      return gateways - real;
    }

    int regionOf(int zone) {
      return zone % regions;
    }

    /** The control machine that a gateway follows: one of its region where there is one. */
    int machineOf(int gateway) {
      int region = regionOf(gateway % zones);
      int there = (control - region + regions - 1) / regions;
      return there <= 0 ? gateway % control : region + gateway / zones % there * regions;
    }
  }

  private final Size size;
  private final Path folder;
  private final ProcessFleet fleet;
  private final FileAndSignalSource source;
  private final RolloutTracker inForce = new RolloutTracker();
  private final EndpointListWatcher lists;
  private final ResourceMonitor meters;
  private final List<HelperProcess> hosts = new ArrayList<>();
  private final HelperProcess[] machines;
  private final boolean[] apart;
  private final boolean[] lost;
  private final List<InetSocketAddress> ports = new ArrayList<>();
  private final Map<Integer, Path> settings = new ConcurrentHashMap<>();
  private final BitSet up = new BitSet();
  private final ScheduledExecutorService work =
      Executors.newSingleThreadScheduledExecutor(daemon("source"));
  private final ScheduledExecutorService looks =
      Executors.newSingleThreadScheduledExecutor(daemon("looks"));
  private final ExecutorService asks = Executors.newSingleThreadExecutor(daemon("asks"));
  private final ExecutorService starts = Executors.newCachedThreadPool(daemon("starts"));
  private final CountDownLatch ready;
  private Installation installation;
  private ClusterModel world;
  private EngineHosts engines;
  private HistoryChecker truth;
  private int port;
  private volatile boolean failed;
  private final Map<Integer, ResourceMonitor.Count> gossipFirst = new ConcurrentHashMap<>();
  private final Map<Integer, ResourceMonitor.Count> gossipLast = new ConcurrentHashMap<>();
  private long issued;
  private long halts;
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
    machines = new HelperProcess[size.control];
    apart = new boolean[size.control];
    lost = new boolean[size.control];
    ready = new CountDownLatch(size.hollow());
    lists = new EndpointListWatcher();
    meters = new ResourceMonitor(size);
    fleet =
        new ProcessFleet(
            plan,
            folder,
            jar,
            size.heapMb,
            g ->
                settings.containsKey(g)
                    ? List.of("--settings", settings.get(g).toString())
                    : List.of(),
            this);
    source = new FileAndSignalSource(folder, size.real, fleet::configuration, this, inForce);
  }

  private static java.util.concurrent.ThreadFactory daemon(String name) {
    return r -> {
      Thread t = new Thread(r, name);
      t.setDaemon(true);
      return t;
    };
  }

  Map<String, Object> play(FaultSchedule script) throws IOException, InterruptedException {
    Map<String, Object> of = fleet.play(script, this::finish);
    Map<String, Object> f = new LinkedHashMap<>();
    f.put("gateways_ready", of.get("gateways_ready"));
    meters.figures(f);
    inForce.figures(f);
    lists.figures(f, hollowUp());
    for (String name : List.of("rules_broken", "broken", "unanswered", "service", "asked")) {
      if (size.real > 0) {
        f.put(name, of.get(name));
      }
    }
    f.put("rate_a_gateway", size.rate);
    f.put("rss_mb_max", size.real == 0 ? null : of.get("rss_mb_max"));
    f.put("ready_s", of.get("ready_s"));
    f.put("probes_per_s", of.get("probes_per_s"));
    f.put("engine_connections_max", of.get("connections_max"));
    f.put("crashed", of.get("crashed"));
    f.put("clients_late_ms", of.get("clients_late_ms"));
    f.put("halts_not_played", halts);
    f.put("gossip_cut", false);
    f.put("rig_defects", ((Number) of.get("rig_defects")).intValue() + (failed ? 1 : 0));
    f.put("machine_idle_share", meters.idleShare());
    f.put("void", meters.unbearable(f));
    return f;
  }

  // ---- What the gateways need ----

  @Override
  public int gateways() {
    return size.hollow();
  }

  @Override
  public InetSocketAddress changeLog(int gateway) {
    return ListServer.machine(size.machineOf(gateway), gateway % size.zones, port);
  }

  @Override
  public void open(ClusterModel of, EngineHosts listening)
      throws IOException, InterruptedException {
    world = of;
    engines = listening;
    if (size.gossip) {
      identities();
    }
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    for (int m = 0; m < size.control; m++) {
      machine(m);
    }
    fleet.runOnScheduler(() -> world.views.get(0).addListener(this::announce));
  }

  private void identities() throws IOException {
    installation = new Installation(folder);
    installation.instance(OPERATOR, "ca", 30);
    List<DatagramSocket> taken = new ArrayList<>(); // all at once, so that no two are the same
    for (int g = 0; g < size.gateways; g++) {
      DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress());
      taken.add(s);
      ports.add((InetSocketAddress) s.getLocalSocketAddress());
    }
    taken.forEach(DatagramSocket::close);
    for (int g = 0; g < size.gateways; g++) {
      String name = "g" + g;
      installation.instance(name, "ca", 30);
      settings.put(
          g,
          installation.file(
              installation.settings(
                  name,
                  ports.get(g),
                  size.period,
                  size.cap,
                  ports.subList(0, Math.min(g, SEEDS)),
                  "ca"),
              name));
    }
  }

  /** Starts a control machine, tells it all of the list, and waits until it listens. */
  private void machine(int m) throws IOException, InterruptedException {
    CountDownLatch listening = new CountDownLatch(1);
    HelperProcess child =
        new HelperProcess(
            CONTROL_HEAP_MB,
            folder.resolve("control" + m + ".log"),
            line -> {
              if (line.equals("listening")) {
                listening.countDown();
              } else {
                meters.control(m, line);
              }
            },
            HelperMain.CONTROL,
            "--machine",
            Integer.toString(m),
            "--port",
            Integer.toString(port),
            "--engine-port",
            Integer.toString(engines.port()),
            "--engines",
            Integer.toString(size.engines),
            "--zones",
            Integer.toString(size.zones));
    meters.controlStarts(m, child.pid());
    fleet.runOnScheduler(
        () -> {
          world.views.get(0).log.forEach(e -> child.tell(words(e)));
          machines[m] = child;
        });
    child.tell("listen");
    if (!listening.await(READY_S, TimeUnit.SECONDS)) {
      throw new IOException("control machine " + m + " does not listen");
    }
  }

  private static String words(ClusterModel.Event e) {
    return "event "
        + e.number()
        + " "
        + e.engine().id()
        + " "
        + e.engine().state()
        + " "
        + e.engine().startedMs();
  }

  private void announce(ClusterModel.Event e) {
    lists.announced(
        e.number(),
        ClusterModel.name(e.engine().id())
            + " "
            + e.engine().state()
            + " "
            + e.engine().startedMs(),
        MachineTime.millis());
    for (int m = 0; m < machines.length; m++) {
      if (!apart[m] && !lost[m]) {
        machines[m].tell(words(e));
      }
    }
  }

  @Override
  public int startGateways() throws IOException, InterruptedException {
    int count = (size.hollow() + size.aHost - 1) / size.aHost;
    for (int h = 0; h < count; h++) {
      int host = h;
      int on = Math.min(size.aHost, size.hollow() - h * size.aHost);
      HelperProcess child =
          new HelperProcess(
              HOLLOW_HEAP_MB + on * HEAP_A_GATEWAY_MB,
              folder.resolve("hollow" + h + ".log"),
              line -> heard(host, line),
              HelperMain.HOLLOW);
      meters.hollowStarts(h, child.pid());
      hosts.add(child);
    }
    synchronized (up) {
      up.set(0, size.real);
    }
    for (int g = size.real; g < size.gateways; g++) {
      launch(g);
      Thread.sleep(LAUNCH_GAP_MS);
    }
    ready.await(READY_S, TimeUnit.SECONDS);
    int joined = size.hollow() - (int) ready.getCount();
    Thread.sleep(size.settle * 1_000L);
    return joined;
  }

  private HelperProcess host(int gateway) {
    return hosts.get((gateway - size.real) / size.aHost);
  }

  private void launch(int gateway) throws IOException {
    Path file = source.write(gateway);
    host(gateway)
        .tell(
            "start "
                + gateway
                + " "
                + size.rate
                + " "
                + file
                + (size.gossip ? " " + settings.get(gateway) : ""));
  }

  private void heard(int host, String line) {
    String[] words = line.split(" ");
    switch (words[0]) {
      case "ready" -> {
        int g = Integer.parseInt(words[1]);
        synchronized (up) {
          up.set(g);
        }
        inForce.started(g, Long.parseLong(words[2]));
        lists.started(g, Long.parseLong(words[3]));
        ready.countDown();
      }
      case "applied" ->
          inForce.applied(
              Integer.parseInt(words[1]), Long.parseLong(words[2]), Long.parseLong(words[3]));
      case "lacks" ->
          System.err.println(
              "gateway "
                  + words[1]
                  + " was told "
                  + words[2]
                  + " of "
                  + lists.count()
                  + " changes of the list since its start");
      case "list" ->
          lists.held(
              host,
              words[1] + " " + words[2] + " " + words[3],
              Integer.parseInt(words[4]),
              Long.parseLong(words[5]));
      default -> meters.hollow(host, words);
    }
  }

  @Override
  public void begin(HistoryChecker of, long start, long end) {
    truth = of;
    world.time.at(
        start,
        () -> {
          meters.begin(fleet::pids);
          asks.execute(() -> askAll(gossipFirst));
        });
    world.time.at(end, () -> asks.execute(() -> askAll(gossipLast)));
    world.time.at(end, meters::end);
    looks.scheduleAtFixedRate(meters::look, 1, 1, TimeUnit.SECONDS);
    looks.scheduleAtFixedRate(
        () -> source.look(g -> inForce.appliedNext(g, MachineTime.millis())),
        0,
        LOG_LOOK_MS,
        TimeUnit.MILLISECONDS);
  }

  /** What was issued last has its time, too. */
  private void finish() {
    try {
      work.submit(() -> {})
          .get(PATIENCE_MS, TimeUnit.MILLISECONDS); // what is to be issued is issued
      asks.submit(() -> {}).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
      long until = MachineTime.millis() + PATIENCE_MS;
      while ((inForce.open() || anyLost() || lists.open(hollowUp()))
          && MachineTime.millis() < until) {
        Thread.sleep(LOG_LOOK_MS);
      }
      if (inForce.open()) {
        System.err.println("these lack a change of configuration: " + inForce.lacking());
      }
      if (lists.open(hollowUp())) {
        hosts.forEach(h -> h.tell("lacking " + lists.count()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      failed = true;
    }
  }

  /** What each gateway tells an operator of its gossip, real or hollow. */
  private void askAll(Map<Integer, ResourceMonitor.Count> to) {
    for (int g = 0; g < size.gateways && size.gossip && size.gateways <= MAX_ASKED; g++) {
      try {
        Matcher m =
            TRAFFIC.matcher(
                Installation.tool(
                    "status",
                    "--address",
                    "127.0.0.1:" + ports.get(g).getPort(),
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
        System.err.println("gateway " + g + " does not tell its status: " + e.getMessage());
      }
    }
  }

  /**
   * Gossip of a gateway, real or hollow, in datagrams and bytes a second; in a small installation.
   */
  double[] gossip(int gateway) {
    return gossipLast.get(gateway).since(gossipFirst.get(gateway));
  }

  /** The change log's frames and bytes a second to the gateways of a zone, by one machine. */
  double[] changeLog(int machine, int zone) {
    return meters.changeLog(machine, zone);
  }

  private boolean anyLost() {
    boolean[] any = {false};
    fleet.runOnScheduler(
        () -> {
          for (boolean l : lost) {
            any[0] |= l;
          }
        });
    return any[0];
  }

  private int hollowUp() {
    synchronized (up) {
      return up.get(size.real, size.gateways).cardinality();
    }
  }

  // ---- Troubles ----

  private interface Attempted {
    void run() throws IOException, InterruptedException;
  }

  /** Does that off the timeline: on the source's thread in order, or beside all else. */
  private void attempt(Executor on, Attempted what) {
    on.execute(
        () -> {
          try {
            what.run();
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
          world.time.at(
              world.time.now() + t.spread() * i / (int) t.by(),
              () -> attempt(work, () -> source.issue(++issued)));
        }
      }
      case LOSE -> {
        for (int m = 0; m < Math.min((int) t.by(), size.control); m++) {
          lose(m, t.length());
        }
      }
      default -> {
        part(true);
        world.time.at(world.time.now() + t.length(), () -> part(false));
      }
    }
  }

  private void lose(int m, long length) {
    if (lost[m]) {
      return;
    }
    lost[m] = true;
    cutOff();
    machines[m].kill();
    world.time.at(
        world.time.now() + length,
        () ->
            attempt(
                starts,
                () -> {
                  fleet.runOnScheduler(() -> lost[m] = false);
                  machine(m);
                  lists.healed(MachineTime.millis());
                  fleet.runOnScheduler(this::hearAgain);
                }));
  }

  /**
   * Regions lose each other, or meet again: engines' ways, and the list beyond the first region.
   */
  private void part(boolean now) {
    for (int g = 0; g < size.zones; g++) {
      for (int e = 0; e < size.zones; e++) {
        if (size.regionOf(g) != size.regionOf(e)) {
          world.link(g, e).cutOut = now;
          world.link(g, e).cutIn = now;
          truth.impaired(g, e, now);
        }
      }
    }
    for (int m = 0; m < size.control; m++) {
      if (size.regionOf(m) != 0) {
        apart[m] = now;
        cutOff();
        if (!now && !lost[m]) {
          catchUp(m);
        }
      }
    }
    if (!now) {
      lists.healed(MachineTime.millis());
      hearAgain();
    }
  }

  private boolean follows(int zone, boolean[] machinesThat) {
    for (int g = zone; g < size.real; g += size.zones) {
      if (machinesThat[size.machineOf(g)]) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whoever follows a machine that can't be reached, or learns nothing, is not bound by what it
   * missed.
   */
  private void cutOff() {
    for (int z = 0; z < size.zones; z++) {
      if (follows(z, lost) || follows(z, apart)) {
        truth.setUpdatesBlocked(z, true);
      }
    }
  }

  /** They have dialled and heard all by then, where they can. */
  private void hearAgain() {
    world.time.at(
        world.time.now() + REDIAL,
        () -> {
          for (int z = 0; z < size.zones; z++) {
            if (!follows(z, lost) && !follows(z, apart)) {
              truth.setUpdatesBlocked(z, false);
            }
          }
        });
  }

  /** A machine that could not be reached is told all again; it skips what it has. */
  private void catchUp(int m) {
    world.views.get(0).log.forEach(e -> machines[m].tell(words(e)));
  }

  @Override
  public void kill(int gateway) {
    gone(gateway, "kill ");
  }

  @Override
  public void terminate(int gateway) {
    gone(gateway, "terminate ");
  }

  private void gone(int gateway, String how) {
    synchronized (up) {
      up.clear(gateway);
    }
    inForce.started(gateway, 0); // none is owed to one that does not run
    lists.ended(gateway);
    host(gateway).tell(how + gateway);
  }

  @Override
  public void halt(int gateway, boolean now) {
    halts += now ? 1 : 0; // its process holds others, too
  }

  @Override
  public void start(int gateway) {
    attempt(starts, () -> launch(gateway));
  }

  @Override
  public void onGatewayRunning(int gateway, boolean now) {
    synchronized (up) {
      up.set(gateway, now);
    }
    inForce.started(gateway, now ? MachineTime.millis() : 0);
  }

  // ---- The source's way to the gateways ----

  @Override
  public List<Integer> running() {
    synchronized (up) {
      return up.stream().boxed().toList();
    }
  }

  @Override
  public void hangUp() {
    fleet.hangUp();
  }

  @Override
  public void reload(int gateway, long change) {
    host(gateway).tell("reload " + gateway + " " + change);
  }

  @Override
  public void close() throws InterruptedException {
    closing = true;
    looks.shutdownNow();
    asks.shutdownNow();
    starts.shutdownNow();
    work.shutdownNow();
    fleet.close();
    hosts.forEach(HelperProcess::close);
    for (HelperProcess m : machines) {
      if (m != null) {
        m.close();
      }
    }
  }
}
