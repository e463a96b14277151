package reachloom.lab.cluster;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import reachloom.standin.FaultyCalls;
import reachloom.standin.SteppedClock;
import reachloom.standin.ThriftClient;

/**
 * The gateways as processes of the program. Signals go only to processes that were started here;
 * all end with the laboratory, also where it is killed: a watcher holds the numbers of all and a
 * pipe that breaks then.
 */
public final class Processes implements AutoCloseable {
  private static final int WAVE = 16; // started at once: a start takes a core for about a second
  private static final long READY_S = 60;
  private static final int STATUS_STEPS = 50;
  private static final List<String> FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-Xss512k",
          "-XX:TieredStopAtLevel=1",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:MaxMetaspaceSize=48m",
          "-XX:MaxDirectMemorySize=8m",
          "-XX:+ExitOnOutOfMemoryError",
          "-XX:-UsePerfData",
          "-Djava.net.preferIPv4Stack=true");

  private final Path folder;
  private final Path jar;
  private final int heapMb;
  private final IntFunction<String> configuration;
  private final IntFunction<List<String>> words;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<Process> running = new ArrayList<>();
  private final Set<Integer> ended = new HashSet<>();
  private final ExecutorService starters = Executors.newFixedThreadPool(WAVE);
  private final Process watcher;
  private final Thread hook = new Thread(this::killAll);
  private final List<SteppedClock> clocks = new ArrayList<>();
  private final List<FaultyCalls> calls = new ArrayList<>();
  private Path archive;
  private volatile boolean closing;

  /**
   * Gateways whose logs and files go to that folder; a configuration and further words for the
   * command line are asked for at each start.
   */
  public Processes(
      Path folder,
      Path jar,
      int gateways,
      int heapMb,
      IntFunction<String> configuration,
      IntFunction<List<String>> words)
      throws IOException {
    this.folder = folder;
    this.jar = jar;
    this.heapMb = heapMb;
    this.configuration = configuration;
    this.words = words;
    List<ServerSocket> taken = new ArrayList<>(); // all at once, so that no two are the same
    for (int g = 0; g < gateways; g++) {
      ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      taken.add(s);
      addresses.add((InetSocketAddress) s.getLocalSocketAddress());
      running.add(null);
    }
    for (ServerSocket s : taken) {
      s.close();
    }
    watcher =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                "while read p; do all=\"$all $p\"; done; [ -z \"$all\" ] || kill -9 $all 2>/dev/null")
            .start();
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /** Where each listens. */
  public List<InetSocketAddress> addresses() {
    return addresses;
  }

  /** Keeps the classes that a start takes, as the deployment's build does: 200 starts are many. */
  public void archive() throws IOException, InterruptedException {
    Path file = folder.resolve("classes.jsa");
    List<String> command =
        command("-XX:ArchiveClassesAtExit=" + file, "-Xlog:cds=off", "-Xlog:cds+dynamic=off");
    command.add("rehearse");
    Process p =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("rehearse.log").toFile())
            .start();
    if (p.waitFor(READY_S, TimeUnit.SECONDS) && p.exitValue() == 0 && Files.exists(file)) {
      archive = file;
    }
  }

  /** Two libraries that are preloaded into one process. */
  private static String both(String first, String second) {
    return first + ":" + second;
  }

  /** Gives each gateway that starts from now on a wall clock of its own, which can be stepped. */
  public void ownClocks() throws IOException, InterruptedException {
    for (int g = 0; g < addresses.size(); g++) {
      clocks.add(new SteppedClock(Files.createDirectories(folder.resolve("clock" + g))));
    }
  }

  /** Lets system calls of each gateway that starts from now on fail, once that is asked for. */
  public void ownCalls() throws IOException, InterruptedException {
    for (int g = 0; g < addresses.size(); g++) {
      calls.add(new FaultyCalls(Files.createDirectories(folder.resolve("calls" + g)), g));
    }
  }

  /** From now on so many in a thousand of a gateway's system calls on sockets fail. */
  void failCalls(int gateway, int perThousand) {
    try {
      calls.get(gateway).fail(FaultyCalls.Shares.all(perThousand));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** From now on a gateway's wall clock is off by so many seconds from this machine's. */
  void stepClock(int gateway, double seconds) {
    try {
      clocks.get(gateway).step(Duration.ofMillis(Math.round(seconds * 1_000)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private List<String> command(String... more) {
    List<String> words = new ArrayList<>();
    words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    words.addAll(FLAGS);
    words.addAll(List.of("-Xms" + Math.min(16, heapMb) + "m", "-Xmx" + heapMb + "m"));
    words.addAll(List.of(more));
    words.addAll(
        jar == null
            ? List.of("-cp", System.getProperty("java.class.path"), "reachloom.Main")
            : List.of("-jar", jar.toString()));
    return words;
  }

  /** Starts a gateway; it is not ready yet. */
  synchronized void start(int gateway) throws IOException {
    if (closing || running.get(gateway) != null && running.get(gateway).isAlive()) {
      return;
    }
    Path config =
        Files.writeString(folder.resolve("g" + gateway + ".json"), configuration.apply(gateway));
    List<String> command =
        archive == null
            ? command()
            : command("-XX:SharedArchiveFile=" + archive, "-Xlog:cds=off", "-Xlog:cds+dynamic=off");
    command.add("serve");
    command.addAll(words.apply(gateway));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("g" + gateway + ".log").toFile()));
    builder.environment().keySet().removeIf(k -> k.startsWith("LB_") || k.startsWith("REACHLOOM_"));
    builder.environment().put("LB_CONFIG", config.toString());
    Map<String, String> environment = builder.environment();
    if (!clocks.isEmpty()) {
      clocks.get(gateway).environment().forEach((k, v) -> environment.merge(k, v, Processes::both));
    }
    if (!calls.isEmpty()) {
      calls.get(gateway).environment().forEach((k, v) -> environment.merge(k, v, Processes::both));
    }
    Process p = builder.start();
    running.set(gateway, p);
    OutputStream to = watcher.getOutputStream();
    to.write((p.pid() + "\n").getBytes(StandardCharsets.US_ASCII));
    to.flush();
    ended.remove(gateway);
  }

  /** Starts all by waves, and waits until each is ready; gives how many are within a minute. */
  public int startAll() throws InterruptedException {
    List<java.util.concurrent.Future<Boolean>> starts = new ArrayList<>();
    for (int g = 0; g < addresses.size(); g++) {
      int gateway = g;
      starts.add(
          starters.submit(
              () -> {
                start(gateway);
                return ready(gateway);
              }));
    }
    int ready = 0;
    for (var s : starts) {
      try {
        ready += s.get() ? 1 : 0;
      } catch (java.util.concurrent.ExecutionException e) {
        System.err.println("a gateway did not start: " + e.getCause().getMessage());
      }
    }
    return ready;
  }

  /** Starts one again, off this thread, and does that once it is ready. */
  void restart(int gateway, Runnable then) {
    try {
      starters.execute(
          () -> {
            try {
              start(gateway);
              if (ready(gateway)) {
                then.run();
              }
            } catch (IOException e) {
              System.err.println("gateway " + gateway + " did not start: " + e.getMessage());
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
    } catch (java.util.concurrent.RejectedExecutionException e) {
      // the run is over
    }
  }

  /** Waits until check says good; false where that does not come within a minute. */
  private boolean ready(int gateway) throws InterruptedException {
    long until = System.nanoTime() + READY_S * 1_000_000_000L;
    while (System.nanoTime() < until && !closing && running.get(gateway).isAlive()) {
      try (ThriftClient c = new ThriftClient(addresses.get(gateway))) {
        if (c.check()) {
          return true;
        }
      } catch (IOException e) {
        // not there yet
      }
      Thread.sleep(STATUS_STEPS);
    }
    return false;
  }

  synchronized void kill(int gateway) {
    ended.add(gateway);
    running.get(gateway).destroyForcibly();
  }

  synchronized void terminate(int gateway) {
    running.get(gateway).destroy();
  }

  /** Those that run now. */
  synchronized List<Long> pids() {
    return running.stream().filter(p -> p != null && p.isAlive()).map(Process::pid).toList();
  }

  /** Tells all that run to read their configuration again. */
  synchronized void hangUp() {
    List<String> words = new ArrayList<>(List.of("kill", "-HUP"));
    running.stream()
        .filter(p -> p != null && p.isAlive())
        .forEach(p -> words.add(Long.toString(p.pid())));
    if (words.size() > 2) {
      signal(words, "the gateways");
    }
  }

  /** Stops it where it stands, or lets it go on. */
  void halt(int gateway, boolean now) {
    Process p = running.get(gateway);
    if (p != null && p.isAlive()) {
      signal(
          List.of("kill", now ? "-STOP" : "-CONT", Long.toString(p.pid())), "gateway " + gateway);
    }
  }

  private static void signal(List<String> words, String whom) {
    try {
      new ProcessBuilder(words).start().waitFor();
    } catch (IOException e) {
      System.err.println(whom + " could not be signalled: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The number that the system knows it by. */
  public synchronized long pid(int gateway) {
    return running.get(gateway).pid();
  }

  /** Whether it was killed, and has not been started again since. */
  synchronized boolean killed(int gateway) {
    return ended.contains(gateway);
  }

  /** Ended without being told to. */
  synchronized List<Integer> crashed() {
    List<Integer> crashed = new ArrayList<>();
    for (int g = 0; g < running.size(); g++) {
      Process p = running.get(g);
      if (p != null && !p.isAlive() && !ended.contains(g) && p.exitValue() != 0) {
        crashed.add(g);
      }
    }
    return crashed;
  }

  /**
   * The most resident memory of any of them now, and of all, in MB; what can't be read is left out.
   */
  double[] memory() {
    double most = 0;
    double sum = 0;
    for (Process p : List.copyOf(running)) {
      try {
        if (p != null && p.isAlive()) {
          String line =
              Files.readAllLines(Path.of("/proc/" + p.pid() + "/status")).stream()
                  .filter(l -> l.startsWith("VmRSS:"))
                  .findFirst()
                  .orElse("VmRSS: 0 kB");
          double mb = Double.parseDouble(line.replaceAll("\\D+", "")) / 1024;
          most = Math.max(most, mb);
          sum += mb;
        }
      } catch (IOException e) {
        // it has just ended
      }
    }
    return new double[] {most, sum};
  }

  private void killAll() {
    closing = true;
    for (Process p : running) {
      if (p != null) {
        p.destroyForcibly();
      }
    }
    watcher.destroyForcibly(); // it has nobody left to end
  }

  @Override
  public void close() throws InterruptedException {
    closing = true;
    starters.shutdownNow();
    starters.awaitTermination(READY_S, TimeUnit.SECONDS);
    killAll();
    for (Process p : running) {
      if (p != null) {
        p.waitFor();
      }
    }
    Runtime.getRuntime().removeShutdownHook(hook);
  }
}
