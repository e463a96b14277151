package reachloom.lab.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.FaultSchedule;
import reachloom.lab.cluster.PauseSchedule;
import reachloom.lab.cluster.ProcessFleet;
import reachloom.lab.command.Arguments;
import reachloom.lab.command.Command;
import reachloom.lab.command.Figures;
import reachloom.scheduler.QueryScheduler;

/**
 * Runs a fleet of gateways under a script of faults, and reports how the load was spread and which
 * rules were broken.
 */
public final class FleetCommand implements Command {
  private static final double PERCENT = 100;

  @Override
  public String purpose() {
    return "a fleet of gateways under faults: processes of the program, or in simulated time";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(
            null,
            "mode",
            true,
            "sockets: each gateway is a process of the program (the default); "
                + "virtual: simulated time")
        .addOption(null, "gateways", true, "gateways (24)")
        .addOption(null, "engines", true, "engines at the start (12)")
        .addOption(null, "zones", true, "zones that gateways and engines are spread over (3)")
        .addOption(null, "seconds", true, "seconds for which queries arrive (20)")
        .addOption(
            null, "load", true, "share of all cores that the queries need, in hundredths (70)")
        .addOption(
            null, "skew", true, "exponent of Zipf's law over the gateways, in hundredths (80)")
        .addOption(null, "large", true, "share of engines with twice the cores (0)")
        .addOption(
            null, "believed", true, "how many gateways their settings name (as many as there are)")
        .addOption(
            null,
            "clocks-apart-ms",
            true,
            "maximum offset of a gateway's clock, in simulated time (0)")
        .addOption(null, "report-age-ms", true, "additional age of load reports (0)")
        .addOption(
            null,
            "script",
            true,
            "a file, pauses (drawn by the seed), or one of " + FaultSchedule.NAMED + " (calm)")
        .addOption(
            null,
            "policy",
            true,
            "reachloom, or in simulated time random, two, " + "reported, fresh, oracle")
        .addOption(
            null, "jar", true, "the program, on sockets (the one built beside the laboratory)")
        .addOption(null, "heap-mb", true, "heap of each gateway, on sockets (24)")
        .addOption(null, "seed", true, "seed of all random choices (1)")
        .addOption(null, "json", true, "file for the figures")
        .addOption(null, "logs", true, "folder for the gateways' logs, on sockets");
  }

  @Override
  public int run(CommandLine line) throws Exception {
    String mode = line.getOptionValue("mode", "sockets");
    if (!mode.equals("virtual") && !mode.equals("sockets")) {
      throw new ParseException("--mode: '" + mode + "' is neither virtual nor sockets");
    }
    int gateways = Arguments.number(line, "gateways", 24, 1, 1_000);
    ClusterPlan plan =
        new ClusterPlan(
            gateways,
            Arguments.number(line, "engines", 12, 1, 500),
            Arguments.number(line, "zones", 3, 1, 16),
            Arguments.number(line, "seconds", 20, 2, 600),
            Arguments.number(line, "load", 70, 1, 300) / PERCENT,
            Arguments.number(line, "skew", 80, 0, 300) / PERCENT,
            Arguments.share(line, "large", 0),
            Arguments.number(line, "believed", gateways, 1, 10_000),
            Arguments.number(line, "seed", 1, 0, Integer.MAX_VALUE),
            Arguments.number(line, "clocks-apart-ms", 0, 0, 3_600_000) * ClusterPlan.MILLISECOND,
            Arguments.number(line, "report-age-ms", 0, 0, 10_000) * ClusterPlan.MILLISECOND);
    FaultSchedule script = script(line.getOptionValue("script", "calm"), plan);
    if (script.ofInstallation()) {
      throw new ParseException(
          "--script: "
              + script.name()
              + " has faults of regions, control or configuration, "
              + "which only the command scale can inject");
    }
    String policy = line.getOptionValue("policy", "reachloom");
    Map<String, Object> figures;
    if (mode.equals("virtual")) {
      VirtualFleet.Policy made =
          policy.equals("reachloom")
              ? (actions, model, g) -> new QueryScheduler(actions)
              : Baseline.named(policy);
      if (made == null) {
        throw new ParseException("--policy: '" + policy + "' is not known");
      }
      figures = new VirtualFleet(plan, made).play(script);
    } else {
      figures = sockets(line, plan, script);
    }
    Map<String, Object> origin = new LinkedHashMap<>();
    origin.put("mode", mode);
    origin.put("policy", policy);
    origin.put("script", script.name());
    origin.put("plan", plan);
    return Figures.report(line, origin, figures);
  }

  private static FaultSchedule script(String nameOrFile, ClusterPlan plan) throws ParseException {
    if (nameOrFile.equals(PauseSchedule.NAME)) {
      return PauseSchedule.draw(plan.seed(), plan.seconds(), plan.zones());
    }
    try {
      return FaultSchedule.of(nameOrFile);
    } catch (FaultSchedule.InvalidScriptException e) {
      throw new ParseException("--script: " + e.getMessage());
    }
  }

  private static Map<String, Object> sockets(
      CommandLine line, ClusterPlan plan, FaultSchedule script) throws Exception {
    boolean kept = line.hasOption("logs");
    Path folder =
        kept
            ? Files.createDirectories(Path.of(line.getOptionValue("logs")))
            : Files.createTempDirectory("reachloom-fleet");
    try (ProcessFleet fleet =
        new ProcessFleet(
            plan, folder, Arguments.jar(line), Arguments.number(line, "heap-mb", 24, 8, 512))) {
      return fleet.play(script);
    } finally {
      if (!kept) {
        try (var files = Files.walk(folder)) {
          files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
      }
    }
  }
}
