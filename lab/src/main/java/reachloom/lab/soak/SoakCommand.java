package reachloom.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.ProcessFleet;
import reachloom.lab.command.Arguments;
import reachloom.lab.command.Command;

/**
 * Runs gateways as processes beside hostile clients, signals and faults of engines, one run for
 * each seed, and reports the runs in which a rule was broken, a process ended by itself or too much
 * memory was used.
 */
public final class SoakCommand implements Command {
  private static final int GATEWAYS = 4;
  private static final int ENGINES = 8;
  private static final int ZONES = 2;
  private static final double LOAD = 0.3;
  private static final double SKEW = 0.3;

  /** The memory limit of a gateway in the deployment, in MB. */
  private static final double MAX_MEMORY_MB = 192;

  /** The result of one run. */
  record Result(SoakPlan plan, Map<String, Object> figures) {
    boolean passed() {
      return number("rules_broken") == 0
          && number("crashed") == 0
          && number("rss_mb_max") < MAX_MEMORY_MB
          && number("asked") > 0;
    }

    private double number(String figure) {
      return ((Number) figures.get(figure)).doubleValue();
    }

    @Override
    public String toString() {
      return String.format(
          "seed %d: %s; %s asked, service %s, refused %s, %s rules broken %s, %s crashed, %s MB;"
              + " %d episodes, %d idle clients",
          plan.seed(),
          passed() ? "passed" : "FAILED",
          figures.get("asked"),
          figures.get("service"),
          figures.get("refused"),
          figures.get("rules_broken"),
          figures.getOrDefault("broken_first", ""),
          figures.get("crashed"),
          figures.get("rss_mb_max"),
          plan.episodes().size(),
          plan.idleClients());
    }
  }

  @Override
  public String purpose() {
    return "drawn runs of gateway processes beside hostile clients, signals and faults";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(null, "seed", true, "seed of the first run (1)")
        .addOption(null, "runs", true, "runs, each with the next seed (1)")
        .addOption(null, "seconds", true, "seconds for which queries arrive in a run (20)")
        .addOption(null, "heap-mb", true, "heap of each gateway (64)")
        .addOption(null, "jar", true, "the program (the one built beside the laboratory)")
        .addOption(null, "logs", true, "folder for the gateways' logs");
  }

  @Override
  public int run(CommandLine line) throws Exception {
    int first = Arguments.number(line, "seed", 1, 0, Integer.MAX_VALUE);
    int runs = Arguments.number(line, "runs", 1, 1, 1_000);
    int seconds = Arguments.number(line, "seconds", 20, 5, 600);
    int heapMb = Arguments.number(line, "heap-mb", 64, 24, 512);
    int failed = 0;
    for (long seed = first; seed < (long) first + runs; seed++) {
      Path folder =
          line.hasOption("logs")
              ? Files.createDirectories(Path.of(line.getOptionValue("logs"), "seed-" + seed))
              : Files.createTempDirectory("reachloom-soak");
      Result result = play(seed, seconds, folder, Arguments.jar(line), heapMb);
      System.out.println(result);
      failed += result.passed() ? 0 : 1;
      if (!line.hasOption("logs")) {
        delete(folder);
      }
    }
    System.out.printf("%d of %d runs failed%n", failed, runs);
    return failed == 0 ? 0 : 1;
  }

  /** Plays one run. */
  static Result play(long seed, int seconds, Path folder, Path jar, int heapMb) throws Exception {
    SoakPlan plan = SoakPlan.draw(seed, GATEWAYS, seconds);
    ClusterPlan size =
        new ClusterPlan(GATEWAYS, ENGINES, ZONES, seconds, LOAD, SKEW, 0, GATEWAYS, seed);
    try (ProcessFleet fleet = new ProcessFleet(size, folder, jar, heapMb);
        HostileLoad load = new HostileLoad(plan, fleet.time())) {
      fleet.setCompanion(load);
      return new Result(plan, fleet.play(plan.faults()));
    }
  }

  private static void delete(Path folder) throws IOException {
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
  }
}
