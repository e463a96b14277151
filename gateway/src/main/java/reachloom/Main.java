package reachloom;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.config.ConfigException;
import reachloom.config.GatewayConfig;
import reachloom.config.GossipSettings;
import reachloom.config.LocalSettings;
import reachloom.gateway.lifecycle.GatewayServer;
import reachloom.simulator.SimulatorAdapter;

/** Entry point of the command line: runs the sub-command that is its first argument. */
public final class Main {
  private static final int OK = 0;
  private static final int USAGE_ERROR = 2;
  private static final int HELP_WIDTH_COLUMNS = 100;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  /**
   * The jar of commands that only operators use, so that the gateway's jar has none of their code.
   */
  private static final String TOOLS_JAR = "reachloom-tools.jar";

  private static final Map<String, String> TOOL_CLASSES =
      Map.of("gossip", "reachloom.tools.GossipTool", "revision", "reachloom.tools.RevisionTool");

  /** The present names of commands by their deprecated names, which still work. */
  private static final Map<String, String> DEPRECATED_COMMANDS =
      Map.of("benchlink", "simulator-adapter", "rehearse", "warm-up");

  private static final String COMMANDS =
      String.join(
          System.lineSeparator(),
          "",
          "commands:",
          "  serve               run a gateway, configured by the file that LB_CONFIG names",
          "  simulator-adapter   run the schedulers of many gateways for the simulator (standard input and output)",
          "  check-config FILE   validate a configuration (JSON) or settings (XML) file",
          "  warm-up             start with a sample configuration on loopback, then stop (see deploy)",
          "  gossip COMMAND      manage keys and certificates of gossip, show its status; needs "
              + TOOLS_JAR
              + " beside this jar",
          "  revision COMMAND    run an issuer of configuration revisions, check and issue documents; needs "
              + TOOLS_JAR
              + " too",
          "  version             print the version",
          "",
          "options:");

  private Main() {}

  /** Runs one sub-command and exits with its status. */
  public static void main(String[] args) throws IOException, InterruptedException {
    int status = run(args, System.out, System.err);
    System.out.flush();
    System.exit(status);
  }

  /** Runs one sub-command and returns its exit status. */
  static int run(String[] args, PrintStream out, PrintStream err)
      throws IOException, InterruptedException {
    String tool = args.length == 0 ? null : TOOL_CLASSES.get(args[0]);
    if (tool != null) {
      return runTool(tool, Arrays.copyOfRange(args, 1, args.length), out, err);
    }
    Options options = options();
    try {
      return run(new DefaultParser().parse(options, args), options, out, err);
    } catch (ParseException e) {
      err.println("reachloom: " + e.getMessage());
      printUsage(options, err);
      return USAGE_ERROR;
    } catch (ConfigException e) {
      err.println("reachloom: " + e.getMessage());
      return USAGE_ERROR;
    }
  }

  private static Options options() {
    return new Options()
        .addOption("h", "help", false, "print this help")
        .addOption(
            Option.builder()
                .longOpt("settings")
                .hasArg()
                .argName("FILE")
                .desc(
                    "settings file of the installation (XML) for serve; default: the file that "
                        + LocalSettings.FILE_VARIABLE
                        + " names")
                .build());
  }

  private static int run(CommandLine line, Options options, PrintStream out, PrintStream err)
      throws IOException, InterruptedException, ConfigException {
    List<String> arguments = line.getArgList();
    String command = arguments.isEmpty() ? "" : arguments.get(0);
    if (line.hasOption("help") || command.equals("help")) {
      printUsage(options, out);
      return OK;
    }
    int expected = command.equals("check-config") ? 2 : 1;
    if (arguments.size() != expected) {
      printUsage(options, err);
      return USAGE_ERROR;
    }
    switch (currentName(command, err)) {
      case "serve":
        return serve(Optional.ofNullable(line.getOptionValue("settings")));
      case "warm-up":
        return new GatewayServer(GatewayConfig.sample(), Map.of(), Optional.empty()).warmUp();
      case "simulator-adapter":
        return new SimulatorAdapter(err).serve(System.in, out);
      case "check-config":
        out.println(arguments.get(1) + ": good; " + describe(arguments.get(1)));
        return OK;
      case "version":
        String version = Main.class.getPackage().getImplementationVersion();
        out.println("reachloom " + (version == null ? "unpackaged" : version));
        return OK;
      default:
        printUsage(options, err);
        return USAGE_ERROR;
    }
  }

  /**
   * Returns the present name of a command, and prints a warning if the given name is deprecated.
   */
  static String currentName(String command, PrintStream err) {
    String name = DEPRECATED_COMMANDS.get(command);
    if (name == null) {
      return command;
    }
    err.println("reachloom: the command '" + command + "' is deprecated; use '" + name + "'");
    return name;
  }

  private static int serve(Optional<String> settingsFile)
      throws InterruptedException, ConfigException {
    Map<String, String> environment = System.getenv();
    GatewayConfig config = GatewayConfig.fromEnvironment(environment);
    return new GatewayServer(config, environment, settingsFile).run();
  }

  /**
   * Runs a tool from the tools jar in the directory of this jar, or else in the build directory.
   */
  private static int runTool(String tool, String[] args, PrintStream out, PrintStream err)
      throws IOException {
    try {
      Path ownJar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      Path deployed = ownJar.resolveSibling(TOOLS_JAR);
      Path built = ownJar.resolve("../../../tools/target").resolve(TOOLS_JAR).normalize();
      Path jar = Files.exists(deployed) ? deployed : built;
      if (!Files.exists(jar)) {
        err.println("reachloom: " + TOOLS_JAR + " not found: expected at " + deployed);
        return USAGE_ERROR;
      }
      try (URLClassLoader loader =
          new URLClassLoader(new URL[] {jar.toUri().toURL()}, Main.class.getClassLoader())) {
        return (int)
            Class.forName(tool, true, loader)
                .getMethod("run", String[].class, PrintStream.class, PrintStream.class)
                .invoke(null, args, out, err);
      }
    } catch (URISyntaxException | ReflectiveOperationException e) {
      err.println("reachloom: cannot run a command from " + TOOLS_JAR + ": " + e);
      return USAGE_ERROR;
    }
  }

  /** Describes a valid file: settings if its name ends in {@code .xml}, else a configuration. */
  private static String describe(String file) throws ConfigException {
    return file.endsWith(".xml")
        ? describe(LocalSettings.read(file, Map.of()))
        : describe(GatewayConfig.fromFile(Path.of(file), Map.of()));
  }

  private static String describe(LocalSettings settings) {
    String idle =
        settings.clientIdleTimeoutNanos().isEmpty()
            ? ""
            : ", clients idle for "
                + settings.clientIdleTimeoutNanos().getAsLong() / NANOS_PER_MILLISECOND
                + " ms are closed";
    return settings.gossip().map(Main::describe).orElse("gossip off") + idle;
  }

  private static String describe(GossipSettings gossip) {
    return "gossip on at "
        + gossip.listen()
        + ", cluster "
        + gossip.cluster()
        + ", "
        + gossip.seeds().size()
        + " seeds";
  }

  private static String describe(GatewayConfig config) {
    return config.name()
        + " at "
        + config.listen()
        + ", "
        + config.knownEngines().size()
        + " engines known, "
        + config.names().classes().size()
        + " classes";
  }

  private static void printUsage(Options options, PrintStream stream) {
    PrintWriter writer = new PrintWriter(stream);
    HelpFormatter help = new HelpFormatter();
    help.printHelp(writer, HELP_WIDTH_COLUMNS, "reachloom COMMAND", COMMANDS, options, 1, 2, "");
    writer.flush();
  }
}
