package reachloom.lab.gossip;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.lab.command.Arguments;
import reachloom.lab.command.Command;
import reachloom.lab.command.Figures;
import reachloom.lab.gossip.VirtualRun.Lie;
import reachloom.lab.gossip.VirtualRun.Plan;

/** Measures gossip under crashes, joins, packet loss, lying instances and sick engines. */
public final class GossipCommand implements Command {
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int MAX_VIRTUAL_ENGINES = 1_000;

  /** The most engines in mode sockets, where each engine is a listener in this process. */
  private static final int MAX_ENGINES = 200;

  @Override
  public String purpose() {
    return "gossip between instances under failures, in simulated time";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(
            null,
            "mode",
            true,
            "virtual: simulated time and network (the default); "
                + "sockets: real gateways on loopback, with --sick and --junk")
        .addOption(null, "junk", true, "junk datagrams a second to one instance, on sockets (0)")
        .addOption(null, "instances", true, "instances that start together (8)")
        .addOption(null, "engines", true, "engines; 0 simulates membership alone (0)")
        .addOption(null, "gateways-down", true, "instances that crash, one after another (1)")
        .addOption(null, "sick", true, "engines that hang after a quarter of the time (0)")
        .addOption(null, "liars", true, "instances that lie about engines (0)")
        .addOption(null, "lie", true, "one, all, friend, flap or praise (all)")
        .addOption(null, "collude", false, "liars lie about the same engine")
        .addOption(null, "loss", true, "share of datagrams lost (0)")
        .addOption(null, "slow", true, "share of instances delayed by up to half a period (0)")
        .addOption(null, "join", true, "instances that join at once (0)")
        .addOption(null, "seconds", true, "seconds after the crashes (60)")
        .addOption(null, "rate", true, "queries a second at each instance (20)")
        .addOption(null, "cap", true, "bytes a second that each instance may send (4096)")
        .addOption(null, "period-ms", true, "milliseconds between two probes (1000)")
        .addOption(null, "seed", true, "seed of all random draws (1)")
        .addOption(null, "json", true, "file for the figures");
  }

  @Override
  public int run(CommandLine line) throws Exception {
    String mode = line.getOptionValue("mode", "virtual");
    if (!mode.equals("virtual") && !mode.equals("sockets")) {
      throw new ParseException("--mode: '" + mode + "' is neither virtual nor sockets");
    }
    Lie lie;
    try {
      lie = Lie.valueOf(line.getOptionValue("lie", "all").toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new ParseException(
          "--lie: '" + line.getOptionValue("lie") + "' is none of one, all, friend, flap, praise");
    }
    int instances = Arguments.number(line, "instances", 8, 4, 1_000);
    if (mode.equals("sockets")) {
      return sockets(line, Arguments.number(line, "engines", 0, 0, MAX_ENGINES));
    }
    int engines = Arguments.number(line, "engines", 0, 0, MAX_VIRTUAL_ENGINES);
    Plan plan =
        new Plan(
            instances,
            engines,
            Arguments.number(line, "gateways-down", 1, 0, instances - 4),
            Arguments.number(line, "sick", 0, 0, engines),
            Arguments.number(line, "liars", 0, 0, instances),
            line.hasOption("collude"),
            lie,
            Arguments.share(line, "loss", 0),
            Arguments.share(line, "slow", 0),
            Arguments.number(line, "join", 0, 0, 1_000),
            Arguments.number(line, "seconds", 60, 1, 3_600),
            Arguments.number(line, "seed", 1, 0, Integer.MAX_VALUE),
            Arguments.number(line, "cap", 4_096, 1_024, 1 << 20),
            Arguments.number(line, "period-ms", 1_000, 100, 60_000) * MILLISECOND,
            Arguments.number(line, "rate", 20, 1, 2_000));
    return report(line, mode, plan, new VirtualRun(plan).play());
  }

  /**
   * Runs real gateways on loopback with sick engines and junk; the other failures are available
   * only in simulated time.
   */
  private static int sockets(CommandLine line, int engines) throws Exception {
    int engineCount = Math.max(1, engines);
    SocketRun.Plan plan =
        new SocketRun.Plan(
            Arguments.number(line, "instances", 8, 1, 32),
            engineCount,
            Arguments.number(line, "sick", 0, 0, engineCount),
            Arguments.number(line, "junk", 0, 0, 50_000),
            Arguments.number(line, "seconds", 60, 4, 600),
            Arguments.number(line, "seed", 1, 0, Integer.MAX_VALUE));
    Path folder = Files.createTempDirectory("reachloom-gossip");
    try {
      return report(line, "sockets", plan, new SocketRun(plan, folder).play());
    } finally {
      try (var files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
  }

  private static int report(CommandLine line, String mode, Object plan, Map<String, Object> figures)
      throws IOException {
    Map<String, Object> origin = new LinkedHashMap<>();
    origin.put("mode", mode);
    origin.put("plan", plan);
    return Figures.report(line, origin, figures);
  }
}
