package reachloom.lab.slopes;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import reachloom.config.LocalSettings;
import reachloom.lab.gossip.Installation;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.GatewayProcess;

/**
 * Measures how long one gateway process takes to apply a changed configuration, step by step: from
 * the signal (or, if signals are ignored, from writing the file) to the log line that reports the
 * reload, and to the first message at the change log that the configuration names. Times are
 * wall-clock milliseconds; the file alternates between two change logs.
 */
public final class ConfigurationSteps {
  private static final int[] SIZES = {60, 150, 300, 630};
  private static final int REPETITIONS = 20;
  private static final int REPETITIONS_WITHOUT_SIGNAL = 8;
  private static final long TIMEOUT_NANOS = 30_000_000_000L;
  private static final String RELOADED = "the configuration is read again";

  private ConfigurationSteps() {}

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("reachloom-steps");
    try {
      measureSettings(folder);
      for (int engines : SIZES) {
        measure(folder, engines, List.of(), REPETITIONS);
      }
      measure(
          folder,
          SIZES[SIZES.length - 1],
          List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"),
          REPETITIONS_WITHOUT_SIGNAL);
    } finally {
      try (var files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
    System.out.printf(
        "load average %.1f%n", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    System.exit(0); // the stand-ins' threads would keep the process alive
  }

  /** Measures reading the settings file, which is validated against its schema, in this process. */
  private static void measureSettings(Path folder) throws Exception {
    Installation installation = new Installation(folder);
    installation.instance("g1", "ca", 3);
    Path file =
        installation.file(
            installation.settings(
                "g1", Installation.freeAddress(), 1_000_000_000L, 4_096, List.of(), "ca"),
            "g1");
    var threads = ManagementFactory.getThreadMXBean();
    double[] millis = new double[REPETITIONS];
    for (int i = 0; i < REPETITIONS; i++) {
      long before = threads.getCurrentThreadCpuTime();
      LocalSettings.read(file.toString(), Map.of());
      millis[i] = (threads.getCurrentThreadCpuTime() - before) / 1e6;
    }
    System.out.printf(
        "settings file read, processor ms: first %.1f, then median %.1f%n",
        millis[0], median(Arrays.copyOfRange(millis, 1, REPETITIONS)));
  }

  private static void measure(Path folder, int engines, List<String> prefix, int times)
      throws Exception {
    InetSocketAddress[] addresses = new InetSocketAddress[engines];
    Arrays.fill(addresses, new InetSocketAddress("127.0.0.1", 9)); // receives no requests
    Path gatewayFolder = Files.createTempDirectory(folder, "gateway");
    try (FakeChangeLog one = new FakeChangeLog(1);
        FakeChangeLog two = new FakeChangeLog(1)) {
      List<FakeChangeLog> logs = List.of(one, two);
      String text =
          GatewayProcess.config(GatewayProcess.freeAddress(), one.address(), addresses)
              .replace("\"probes\":true", "\"probes\":false");
      try (GatewayProcess gateway = new GatewayProcess(gatewayFolder, text, prefix, List.of())) {
        gateway.ready().close();
        double[] reloaded = new double[times];
        double[] greeted = new double[times];
        for (int i = 0; i < times; i++) {
          FakeChangeLog next = logs.get((i + 1) % 2);
          int hellos = next.hellos.size();
          long reloads = countReloads(gateway.log);
          long beforeWrite = System.nanoTime();
          gateway.configure(
              text.replace(
                  ":" + one.address().getPort() + "\"", ":" + next.address().getPort() + "\""));
          long start = prefix.isEmpty() ? System.nanoTime() : beforeWrite;
          if (prefix.isEmpty()) {
            gateway.hangUp();
          }
          await(() -> countReloads(gateway.log) > reloads);
          reloaded[i] = (System.nanoTime() - start) / 1e6;
          await(() -> next.hellos.size() > hellos);
          greeted[i] = (System.nanoTime() - start) / 1e6;
          Thread.sleep(137); // avoids staying in step with the timer that polls the file
        }
        System.out.printf(
            "%s, %d engines, %d times, ms: read first %.0f, median %.0f, most %.0f; "
                + "new change log greeted first %.0f, median %.0f, most %.0f%n",
            prefix.isEmpty() ? "signal" : "file alone",
            engines,
            times,
            reloaded[0],
            median(reloaded),
            max(reloaded),
            greeted[0],
            median(greeted),
            max(greeted));
      }
    }
  }

  private static long countReloads(Path log) {
    try {
      return Files.readAllLines(log).stream().filter(l -> l.contains(RELOADED)).count();
    } catch (java.io.IOException e) {
      return 0;
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new IllegalStateException(
            "no reload logged, or no message at the new change log, within 30 s");
      }
      Thread.sleep(1);
    }
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static double max(double[] values) {
    return Arrays.stream(values).max().orElse(0);
  }
}
