package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway: its configuration file, and the process that the deploy file's line starts. */
final class Gateway implements AutoCloseable {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

  final String name;
  final InetSocketAddress listen;
  final Path log;
  private final Record record;
  private final Path root;
  private final Path folder;
  private final Path configuration;
  private final String settings;
  private Process process;

  /** Creates a gateway that is not started; {@code root} is the repository. */
  Gateway(Path root, Path folder, int index, String settings, Record record) throws IOException {
    this.root = root;
    this.record = record;
    this.settings = settings.replace("@SELF@", Integer.toString(index));
    name = "n" + index;
    this.folder = Files.createDirectories(folder.resolve(name));
    configuration = this.folder.resolve("config.json");
    log = this.folder.resolve("log");
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  /** Writes the configuration, replacing the file in one step. */
  void configure(InetSocketAddress changeLog, List<Engine> engines) throws IOException {
    StringBuilder hosts = new StringBuilder();
    for (Engine engine : engines) {
      hosts
          .append(hosts.isEmpty() ? "" : ",")
          .append("{\"host\":\"")
          .append(engine.name)
          .append("\",\"dial\":\"")
          .append(text(engine.address()))
          .append("\",\"site\":\"hall-a\",\"class\":\"std-8\",\"block\":0,")
          .append("\"health\":\"in_service\",\"share\":1,\"born_ms\":0}");
    }
    String text =
        "{\"name\":\""
            + name
            + "\",\"listen\":\""
            + text(listen)
            + "\",\"seed\":\""
            + String.format("%016x", System.nanoTime())
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"changelog\":\""
            + text(changeLog)
            + "\",\"known\":{\"seq\":1,\"results\":[{\"seq\":1,\"fleet\":{\"seq\":1,\"whole\":true,"
            + "\"hosts\":["
            + hosts
            + "]}}]},\"settings\":"
            + settings
            + "}";
    Path next = Files.writeString(folder.resolve("next.json"), text);
    Files.move(
        next, configuration, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts the process by the deploy file's {@code run}, from the repository's root. */
  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml has no run line");
    }
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", run.group(1))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().keySet().removeIf(key -> key.startsWith("LB_"));
    builder.environment().put("LB_NAME", name);
    builder.environment().put("LB_LISTEN", text(listen));
    builder.environment().put("LB_CONFIG", configuration.toString());
    builder.environment().put("TMPDIR", folder.toString());
    process = builder.start();
    record.line("gateway %s: started as process %d", name, process.pid());
  }

  /** Waits until {@code check} is answered with good; false if the process ends or 30 s pass. */
  boolean awaitReady() {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < until && process.isAlive()) {
      try (Client client = new Client(listen)) {
        if (client.check()) {
          record.line("gateway %s: ready", name);
          return true;
        }
      } catch (IOException e) {
        // not listening yet
      }
      Threads.sleep(50);
    }
    return false;
  }

  void signal(String signal) throws IOException {
    record.line("gateway %s: SIG%s to process %d", name, signal, process.pid());
    try {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
          .inheritIO()
          .start()
          .waitFor();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Waits for the end of the process; returns its status, or -1 if it goes on. */
  int awaitEnd(long ms) {
    try {
      return process.waitFor(ms, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    }
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  @Override
  public void close() {
    if (process != null && process.isAlive()) {
      process.destroyForcibly();
      awaitEnd(5_000);
    }
  }
}
