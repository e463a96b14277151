package reachloom.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway that runs in its own process. */
public final class GatewayProcess implements AutoCloseable {
  private static final String SETTINGS =
      """
      {"balancers":1,"classes":[
        {"name":"quick","effect":"repeatable","dedupScope":"all","giveUp":3000000000,"goalTime":500000000,
         "worth":1,"keyTtl":5000000000},
        {"name":"keyed","effect":"by_key","dedupScope":"all","giveUp":3000000000,"goalTime":500000000,
         "worth":5,"keyTtl":5000000000},
        {"name":"once","effect":"once","giveUp":3000000000,"goalTime":500000000,"worth":5}],
       "limits":{"dialTimeout":250000000,"keepalive":30000000000,"maxAttempts":4,"mayCancel":true,
         "probes":true,"streamsPerConn":100,"maxOpen":2000},
       "contract":{"graceToAnswer":20000000,"coldFrom":0.3,"cold":1000000000,"fall":1000000000,
         "fallMultiple":3},
       "orgs":[{"name":"one","quotaPerS":1000}],"kinds":["small"],"zones":["here"],"zone":0,"selfIndex":0,
       "specifics":{"cpuOfKind":[8],"ramOfKindMb":[16000],"widthByClass":[1,1,1],"notePeriod":500000000},
       "stats":{"names":["util","queue","x0","x1"],"via":"pull"},"tick":5000000,"discovery":"automatic"}
      """;

  private static final int BYTES_PER_KIB = 1024;

  public final InetSocketAddress listen;
  public final Path log;
  private final Path config;
  private final Process process;

  /** Starts a gateway whose configuration lists the given engines, numbered from 1. */
  public GatewayProcess(
      Path folder, FakeChangeLog changeLog, InetSocketAddress listen, FakeEngine... nodes)
      throws IOException {
    this(folder, config(listen, changeLog, nodes));
  }

  /** Starts a gateway with the given configuration. */
  public GatewayProcess(Path folder, String configuration) throws IOException {
    this(folder, configuration, List.of());
  }

  /** Starts a gateway with the given configuration and additional command-line arguments. */
  public GatewayProcess(Path folder, String configuration, List<String> arguments)
      throws IOException {
    this(folder, configuration, List.of(), arguments);
  }

  /** Starts a gateway with the given configuration and additional environment variables. */
  public GatewayProcess(Path folder, String configuration, Map<String, String> environment)
      throws IOException {
    this(folder, configuration, environment, List.of(), List.of());
  }

  /**
   * Starts a gateway through a command prefix, for example a shell that replaces itself (exec) with
   * the rest of the command.
   */
  public GatewayProcess(
      Path folder, String configuration, List<String> commandPrefix, List<String> arguments)
      throws IOException {
    this(folder, configuration, Map.of(), commandPrefix, arguments);
  }

  private GatewayProcess(
      Path folder,
      String configuration,
      Map<String, String> environment,
      List<String> commandPrefix,
      List<String> arguments)
      throws IOException {
    Matcher address = Pattern.compile("\"listen\":\"([0-9.]+):([0-9]+)\"").matcher(configuration);
    if (!address.find()) {
      throw new IllegalArgumentException("the configuration has no \"listen\" address");
    }
    listen = new InetSocketAddress(address.group(1), Integer.parseInt(address.group(2)));
    config = Files.writeString(folder.resolve("config.json"), configuration);
    log = folder.resolve("log" + System.nanoTime());
    List<String> all = new ArrayList<>(List.of("serve"));
    all.addAll(arguments);
    process = start(config, log, environment, commandPrefix, all);
  }

  public static Process start(Path config, Path log, String... arguments) throws IOException {
    return start(config, log, Map.of(), List.of(), List.of(arguments));
  }

  private static Process start(
      Path config,
      Path log,
      Map<String, String> environment,
      List<String> commandPrefix,
      List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>(commandPrefix);
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-cp",
            System.getProperty("java.class.path"),
            "reachloom.Main"));
    command.addAll(arguments);
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
    builder.environment().keySet().removeIf(k -> k.startsWith("LB_"));
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().putAll(environment);
    return builder.start();
  }

  public static String config(
      InetSocketAddress listen, FakeChangeLog changeLog, FakeEngine... nodes) {
    return config(
        listen,
        changeLog.address(),
        Arrays.stream(nodes).map(FakeEngine::address).toArray(InetSocketAddress[]::new));
  }

  /**
   * Returns a configuration with a change log and engines, numbered from 1, at the given addresses.
   */
  public static String config(
      InetSocketAddress listen, InetSocketAddress changeLog, InetSocketAddress... engines) {
    StringBuilder hosts = new StringBuilder();
    for (int i = 0; i < engines.length; i++) {
      hosts
          .append(i == 0 ? "" : ",")
          .append(
              String.format(
                  "{\"host\":\"s-%08x\",\"dial\":\"%s\","
                      + "\"site\":\"here\",\"class\":\"small\",\"block\":0,\"health\":\"in_service\",\"share\":1,"
                      + "\"born_ms\":0}",
                  i + 1, text(engines[i])));
    }
    return String.format(
        "{\"name\":\"g1\",\"listen\":\"%s\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"changelog\":\"%s\",\"known\":"
            + "{\"seq\":1,\"results\":[{\"seq\":1,\"fleet\":{\"seq\":1,\"whole\":true,\"hosts\":[%s]}}]},"
            + "\"settings\":%s}",
        text(listen), text(changeLog), hosts, SETTINGS);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  public static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) s.getLocalSocketAddress();
    }
  }

  /**
   * Waits until the gateway's readiness check succeeds, with up to 600 checks 50 ms apart; returns
   * the client whose check succeeded.
   */
  public ThriftClient ready() throws IOException, InterruptedException {
    for (int i = 0; i < 600; i++) {
      try {
        ThriftClient c = new ThriftClient(listen);
        if (c.check()) {
          return c;
        }
        c.close();
      } catch (IOException e) {
        if (!process.isAlive()) {
          throw new IOException(
              "gateway process exited commandPrefix it was ready: " + Files.readString(log), e);
        }
      }
      Thread.sleep(50);
    }
    throw new IOException("gateway did not become ready: " + Files.readString(log));
  }

  /** Replaces the configuration file atomically. */
  public void configure(String text) throws IOException {
    Path next = Files.writeString(config.resolveSibling("next.json"), text);
    Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  public void hangUp() throws IOException, InterruptedException {
    signal("HUP");
  }

  /** Suspends the process (SIGSTOP): data on its sockets and further signals stay pending. */
  public void suspend() throws IOException, InterruptedException {
    signal("STOP");
  }

  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  public void terminate() {
    process.destroy();
  }

  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  public int exit() throws InterruptedException {
    return process.waitFor(20, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /**
   * Returns the resident memory of the process in bytes.
   *
   * @throws IOException if the process has ended
   */
  public long residentBytes() throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")) * BYTES_PER_KIB)
        .findFirst()
        .orElseThrow(() -> new IOException("process " + process.pid() + " has ended"));
  }

  /** Returns the CPU time that the process has used. */
  public Duration processorTime() {
    return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  public boolean alive() {
    return process.isAlive();
  }

  @Override
  public void close() throws InterruptedException {
    kill();
  }
}
