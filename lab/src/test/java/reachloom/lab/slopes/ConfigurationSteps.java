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
 * How long a changed configuration takes into one process of the gateway, step by step: from the
 * signal (or, where that is ignored, from the file) to the log line that tells it was read, and to
 * the first word at the change log that it names. Wall-clock milliseconds; the file names one of
 * two change logs in turns.
 */
public final class ConfigurationSteps {
  private static final int[] SIZES = {60, 150, 300, 630};
  private static final int TIMES = 20;
  private static final int TIMES_BY_FILE = 8;
  private static final long LONGEST = 30_000_000_000L; // nanoseconds
  private static final String READ = "the configuration is read again";

  private ConfigurationSteps() {}

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("reachloom-steps");
    try {
      settings(folder);
      for (int engines : SIZES) {
        play(folder, engines, List.of(), TIMES);
      }
      play(
          folder,
          SIZES[SIZES.length - 1],
          List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"),
          TIMES_BY_FILE);
    } finally {
      try (var files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
    System.out.printf(
        "load average %.1f%n", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    System.exit(0); // the stand-ins' threads
  }

  /** The installation's settings alone: XML against the schema, in this process. */
  private static void settings(Path folder) throws Exception {
    Installation installation = new Installation(folder);
    installation.instance("g1", "ca", 3);
    Path file =
        installation.file(
            installation.settings(
                "g1", Installation.freeAddress(), 1_000_000_000L, 4_096, List.of(), "ca"),
            "g1");
    var threads = ManagementFactory.getThreadMXBean();
    double[] taken = new double[TIMES];
    for (int i = 0; i < TIMES; i++) {
      long before = threads.getCurrentThreadCpuTime();
      LocalSettings.read(file.toString(), Map.of());
      taken[i] = (threads.getCurrentThreadCpuTime() - before) / 1e6;
    }
    System.out.printf(
        "settings file read, processor ms: first %.1f, then median %.1f%n",
        taken[0], median(Arrays.copyOfRange(taken, 1, TIMES)));
  }

  private static void play(Path folder, int engines, List<String> before, int times)
      throws Exception {
    InetSocketAddress[] addresses = new InetSocketAddress[engines];
    Arrays.fill(addresses, new InetSocketAddress("127.0.0.1", 9)); // nobody is asked anything there
    Path own = Files.createTempDirectory(folder, "gateway");
    try (FakeChangeLog one = new FakeChangeLog(1);
        FakeChangeLog two = new FakeChangeLog(1)) {
      List<FakeChangeLog> logs = List.of(one, two);
      String text =
          GatewayProcess.config(GatewayProcess.freeAddress(), one.address(), addresses)
              .replace("\"probes\":true", "\"probes\":false");
      try (GatewayProcess gateway = new GatewayProcess(own, text, before, List.of())) {
        gateway.ready().close();
        double[] read = new double[times];
        double[] heard = new double[times];
        for (int i = 0; i < times; i++) {
          FakeChangeLog next = logs.get((i + 1) % 2);
          int hellos = next.hellos.size();
          long lines = lines(gateway.log);
          long from = System.nanoTime();
          gateway.configure(
              text.replace(
                  ":" + one.address().getPort() + "\"", ":" + next.address().getPort() + "\""));
          long begun = before.isEmpty() ? System.nanoTime() : from;
          if (before.isEmpty()) {
            gateway.hangUp();
          }
          await(() -> lines(gateway.log) > lines);
          read[i] = (System.nanoTime() - begun) / 1e6;
          await(() -> next.hellos.size() > hellos);
          heard[i] = (System.nanoTime() - begun) / 1e6;
          Thread.sleep(137); // so that it does not stay in step with a clock that looks at the file
        }
        System.out.printf(
            "%s, %d engines, %d times, ms: read first %.0f, median %.0f, most %.0f; "
                + "new change log greeted first %.0f, median %.0f, most %.0f%n",
            before.isEmpty() ? "signal" : "file alone",
            engines,
            times,
            read[0],
            median(read),
            most(read),
            heard[0],
            median(heard),
            most(heard));
      }
    }
  }

  private static long lines(Path log) {
    try {
      return Files.readAllLines(log).stream().filter(l -> l.contains(READ)).count();
    } catch (java.io.IOException e) {
      return 0;
    }
  }

  private static void await(BooleanSupplier wanted) throws InterruptedException {
    long until = System.nanoTime() + LONGEST;
    while (!wanted.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new IllegalStateException("not within 30 s");
      }
      Thread.sleep(1);
    }
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static double most(double[] values) {
    return Arrays.stream(values).max().orElse(0);
  }
}
