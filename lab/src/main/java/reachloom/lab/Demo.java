package reachloom.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.Fault;
import reachloom.lab.cluster.FaultSchedule;
import reachloom.lab.cluster.HistoryChecker;
import reachloom.lab.cluster.ProcessFleet;
import reachloom.lab.command.Arguments;
import reachloom.lab.command.Command;

/**
 * Demonstration run: one gateway, six engine stand-ins, a change log and clients, all on loopback.
 * Halfway through the run one engine hangs: it accepts requests and sends no reply.
 */
final class Demo implements Command {
  private static final int ENGINES = 6;
  private static final double LOAD_SHARE = 0.5;
  private static final int HEAP_MB = 64;

  @Override
  public String purpose() {
    return "one gateway with engine stand-ins on loopback, one of which hangs halfway";
  }

  @Override
  public Options options() {
    return new Options().addOption(null, "seconds", true, "duration of the run in seconds (20)");
  }

  @Override
  public int run(CommandLine line) throws Exception {
    int seconds = Arguments.number(line, "seconds", 20, 4, 600);
    ClusterPlan plan = new ClusterPlan(1, ENGINES, 1, seconds, LOAD_SHARE, 0, 0, 1, 1);
    Fault hang =
        new Fault(
            seconds / 2.0,
            Fault.Who.ENGINES,
            Fault.Kind.HANG,
            1.0 / ENGINES,
            -1,
            -1,
            1,
            seconds,
            0);
    Path folder = Files.createTempDirectory("reachloom-demo");
    try (ProcessFleet fleet = new ProcessFleet(plan, folder, null, HEAP_MB)) {
      System.err.println(
          "starting a gateway; after "
              + seconds / 2
              + " of "
              + seconds
              + " s one of "
              + ENGINES
              + " engines hangs");
      fleet.play(new FaultSchedule("demo", List.of(hang)));
      print(fleet.rows(0));
    } finally {
      deleteRecursively(folder);
    }
    return 0;
  }

  private static void print(List<HistoryChecker.Row> rows) {
    System.out.printf(
        "%-8s %8s %8s %8s %8s %8s %9s %9s%n",
        "class", "asked", "in time", "late", "refused", "failed", "p50 ms", "p99 ms");
    rows.forEach(
        r ->
            System.out.printf(
                "%-8s %8d %8d %8d %8d %8d %9.1f %9.1f%n",
                r.kind(),
                r.asked(),
                r.inTime(),
                r.late(),
                r.refused(),
                r.failed(),
                r.p50(),
                r.p99()));
  }

  private static void deleteRecursively(Path folder) throws IOException {
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
  }
}
