package reachloom.lab.cluster;

import java.io.IOException;
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
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import reachloom.standin.FaultyCalls;
import reachloom.standin.SteppedClock;
import reachloom.standin.ThriftClient;

/**
 * Starts and controls gateway processes. Signals go only to processes that were started here. All
 * of them end with the laboratory, even if it is killed: a watcher process holds their ids and
 * kills them when the pipe to the laboratory breaks.
 */
public final class Processes implements AutoCloseable {
  private static final int CONCURRENT_STARTS = 16; // a start uses a core for about a second
  private static final long READY_TIMEOUT_S = 60;
  private static final int READY_POLL_MS = 50;
  private static final List<String> JVM_FLAGS =
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
  private final IntFunction<List<String>> arguments;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<Process> running = new ArrayList<>();
  private final Set<Integer> killed = new HashSet<>();
  private final Set<Integer> killedAfterTermination = new HashSet<>();
  private final ExecutorService starters = Executors.newFixedThreadPool(CONCURRENT_STARTS);
  private final Process watcher;
  private final Thread hook = new Thread(this::killAll);
  private final List<SteppedClock> clocks = new ArrayList<>();
  private final List<FaultyCalls> calls = new ArrayList<>();
  private Path archive;
  private volatile boolean closing;

  /**
   * Reserves the gateways' addresses and starts the watcher.
   *
   * @param folder the folder for logs and other files
   * @param jar the gateway's jar; null to run the gateway from the class path
   * @param configuration returns a gateway's configuration; called at each start
   * @param arguments returns a gateway's additional command-line arguments; called at each start
   */
  public Processes(
      Path folder,
      Path jar,
      int gateways,
      int heapMb,
      IntFunction<String> configuration,
      IntFunction<List<String>> arguments)
      throws IOException {
    this.folder = folder;
    this.jar = jar;
    this.heapMb = heapMb;
    this.configuration = configuration;
    this.arguments = arguments;
    List<ServerSocket> sockets = new ArrayList<>(); // open together, so that no two ports are equal
    for (int g = 0; g < gateways; g++) {
      ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(s);
      addresses.add((InetSocketAddress) s.getLocalSocketAddress());
      running.add(null);
    }
    for (ServerSocket s : sockets) {
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

  /** Returns the gateways' listen addresses. */
  public List<InetSocketAddress> addresses() {
    return addresses;
  }

  /**
   * Creates a class-data-sharing archive of the classes that a start loads, as the deployment's
   * build does; it shortens each of up to 200 starts. If it cannot be created, gateways start
   * without it.
   */
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
    if (p.waitFor(READY_TIMEOUT_S, TimeUnit.SECONDS) && p.exitValue() == 0 && Files.exists(file)) {
      archive = file;
    }
  }

  /** Joins two values of LD_PRELOAD, so that a process loads both libraries. */
  private static String join(String first, String second) {
    return first + ":" + second;
  }

  /** Gives each gateway started from now on its own wall clock, which can be stepped. */
  public void enableClockSteps() throws IOException, InterruptedException {
    for (int g = 0; g < addresses.size(); g++) {
      clocks.add(new SteppedClock(Files.createDirectories(folder.resolve("clock" + g))));
    }
  }

  /** Prepares each gateway started from now on for {@link #failCalls}. */
  public void enableCallFailures() throws IOException, InterruptedException {
    for (int g = 0; g < addresses.size(); g++) {
      calls.add(new FaultyCalls(Files.createDirectories(folder.resolve("calls" + g)), g));
    }
  }

  /** Sets how many in a thousand of a gateway's system calls on sockets fail. */
  void failCalls(int gateway, int perThousand) {
    try {
      calls.get(gateway).fail(FaultyCalls.Shares.all(perThousand));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sets the offset of a gateway's wall clock from this machine's, in seconds. */
  void stepClock(int gateway, double seconds) {
    try {
      clocks.get(gateway).step(Duration.ofMillis(Math.round(seconds * 1_000)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private List<String> command(String... more) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_FLAGS);
    command.addAll(List.of("-Xms" + Math.min(16, heapMb) + "m", "-Xmx" + heapMb + "m"));
    command.addAll(List.of(more));
    command.addAll(
        jar == null
            ? List.of("-cp", System.getProperty("java.class.path"), "reachloom.Main")
            : List.of("-jar", jar.toString()));
    return command;
  }

  /**
   * Starts a gateway without waiting until it is ready; does nothing if it runs already or after
   * {@link #close}.
   */
  void start(int gateway) throws IOException {
    start(gateway, configuration.apply(gateway)); // not locked: it waits for other threads
  }

  private synchronized void start(int gateway, String configurationText) throws IOException {
    if (closing || running.get(gateway) != null && running.get(gateway).isAlive()) {
      return;
    }
    Path config = Files.writeString(folder.resolve("g" + gateway + ".json"), configurationText);
    List<String> command =
        archive == null
            ? command()
            : command("-XX:SharedArchiveFile=" + archive, "-Xlog:cds=off", "-Xlog:cds+dynamic=off");
    command.add("serve");
    command.addAll(arguments.apply(gateway));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("g" + gateway + ".log").toFile()));
    builder.environment().keySet().removeIf(k -> k.startsWith("LB_") || k.startsWith("REACHLOOM_"));
    builder.environment().put("LB_CONFIG", config.toString());
    Map<String, String> environment = builder.environment();
    if (!clocks.isEmpty()) {
      clocks.get(gateway).environment().forEach((k, v) -> environment.merge(k, v, Processes::join));
    }
    if (!calls.isEmpty()) {
      calls.get(gateway).environment().forEach((k, v) -> environment.merge(k, v, Processes::join));
    }
    Process p = builder.start();
    running.set(gateway, p);
    watcher.getOutputStream().write((p.pid() + "\n").getBytes(StandardCharsets.US_ASCII));
    watcher.getOutputStream().flush();
    killed.remove(gateway);
    killedAfterTermination.remove(gateway);
  }

  /**
   * Starts all gateways, a limited number at once, and waits until they are ready; returns how many
   * are ready within 60 s of their start.
   */
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
        System.err.println("lab: a gateway could not be started: " + e.getCause().getMessage());
      }
    }
    return ready;
  }

  /**
   * Starts a gateway again on another thread, and runs an action once it is ready; the action does
   * not run if the gateway is not ready within 60 s.
   */
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
              System.err.println(
                  "lab: gateway " + gateway + " could not be started: " + e.getMessage());
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
    } catch (java.util.concurrent.RejectedExecutionException e) {
      // the run is over
    }
  }

  /** Waits until a gateway's readiness check succeeds; returns false if it does not within 60 s. */
  private boolean ready(int gateway) throws InterruptedException {
    long until = System.nanoTime() + READY_TIMEOUT_S * 1_000_000_000L;
    while (System.nanoTime() < until && !closing && running.get(gateway).isAlive()) {
      try (ThriftClient c = new ThriftClient(addresses.get(gateway))) {
        if (c.check()) {
          return true;
        }
      } catch (IOException e) {
        // the gateway does not listen yet
      }
      Thread.sleep(READY_POLL_MS);
    }
    return false;
  }

  synchronized void kill(int gateway) {
    killed.add(gateway);
    running.get(gateway).destroyForcibly();
  }

  synchronized void terminate(int gateway) {
    running.get(gateway).destroy();
  }

  /** Kills a gateway that was terminated, if its process has not ended; that is no crash. */
  synchronized void killTerminated(int gateway) {
    if (running.get(gateway).isAlive()) {
      killedAfterTermination.add(gateway);
      running.get(gateway).destroyForcibly();
    }
  }

  /** Makes a gateway reload its configuration (SIGHUP). */
  void hangUp(int gateway) {
    Process p = running.get(gateway);
    if (p != null && p.isAlive()) {
      signal(List.of("kill", "-HUP", Long.toString(p.pid())), "gateway " + gateway);
    }
  }

  /** Returns the ids of the running processes. */
  synchronized List<Long> pids() {
    return running.stream().filter(p -> p != null && p.isAlive()).map(Process::pid).toList();
  }

  /** Makes all running gateways reload their configuration (SIGHUP). */
  synchronized void hangUp() {
    List<String> command = new ArrayList<>(List.of("kill", "-HUP"));
    running.stream()
        .filter(p -> p != null && p.isAlive())
        .forEach(p -> command.add(Long.toString(p.pid())));
    if (command.size() > 2) {
      signal(command, "the gateways");
    }
  }

  /** Suspends a gateway (SIGSTOP), or resumes it (SIGCONT). */
  void halt(int gateway, boolean now) {
    Process p = running.get(gateway);
    if (p != null && p.isAlive()) {
      signal(
          List.of("kill", now ? "-STOP" : "-CONT", Long.toString(p.pid())), "gateway " + gateway);
    }
  }

  private static void signal(List<String> command, String target) {
    try {
      new ProcessBuilder(command).start().waitFor();
    } catch (IOException e) {
      System.err.println("lab: " + target + " could not be signalled: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the process id of a gateway. */
  public synchronized long pid(int gateway) {
    return running.get(gateway).pid();
  }

  /** Returns whether a gateway was killed and has not been started again since. */
  synchronized boolean wasKilled(int gateway) {
    return killed.contains(gateway);
  }

  /** Returns the gateways that exited with an error and were not killed. */
  synchronized List<Integer> crashed() {
    List<Integer> crashed = new ArrayList<>();
    for (int g = 0; g < running.size(); g++) {
      Process p = running.get(g);
      boolean wasSignalled = killed.contains(g) || killedAfterTermination.contains(g);
      if (p != null && !p.isAlive() && !wasSignalled && p.exitValue() != 0) {
        crashed.add(g);
      }
    }
    return crashed;
  }

  /** Returns the resident memory of the gateways. */
  ProcessMemory memory() {
    return ProcessMemory.of(running.stream().filter(Objects::nonNull).toList());
  }

  private void killAll() {
    closing = true;
    for (Process p : running) {
      if (p != null) {
        p.destroyForcibly();
      }
    }
    watcher.destroyForcibly(); // all processes have been killed
  }

  @Override
  public void close() throws InterruptedException {
    closing = true;
    starters.shutdownNow();
    starters.awaitTermination(READY_TIMEOUT_S, TimeUnit.SECONDS);
    killAll();
    for (Process p : running) {
      if (p != null) {
        p.waitFor();
      }
    }
    Runtime.getRuntime().removeShutdownHook(hook);
  }
}
