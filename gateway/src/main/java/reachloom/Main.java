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

/** The command line: runs the sub-command that it names. */
public final class Main {
  private static final int OK = 0;
  private static final int BAD_USE = 2;
  private static final int COLUMNS = 100;
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** Commands that only operators use, with their libraries, stay out of the gateway's jar. */
  private static final String TOOLS_JAR = "reachloom-tools.jar";

  private static final Map<String, String> TOOL_CLASSES =
      Map.of("gossip", "reachloom.tools.GossipTool", "revision", "reachloom.tools.RevisionTool");

  /** Former names of commands, which still work. */
  private static final Map<String, String> DEPRECATED_COMMANDS =
      Map.of("benchlink", "simulator-adapter", "rehearse", "warm-up");

  private static final String COMMANDS =
      String.join(
          System.lineSeparator(),
          "",
          "commands:",
          "  serve               one gateway on sockets, configured by the file that LB_CONFIG names",
          "  simulator-adapter   decide for many gateways on the simulator's wire (standard input and output)",
          "  check-config FILE   read a configuration (JSON) or settings (XML) and say what is wrong with it",
          "  warm-up             start with a made-up configuration on loopback, then stop (see deploy)",
          "  gossip COMMAND      keys, certificates and status of gossip; needs "
              + TOOLS_JAR
              + " beside this jar",
          "  revision COMMAND    an issuer of the configuration, and documents for it; needs "
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
      return BAD_USE;
    } catch (ConfigException e) {
      err.println("reachloom: " + e.getMessage());
      return BAD_USE;
    }
  }

  private static Options options() {
    return new Options()
        .addOption("h", "help", false, "print this text")
        .addOption(
            Option.builder()
                .longOpt("settings")
                .hasArg()
                .argName("FILE")
                .desc(
                    "serve with the settings of an installation (XML); else those that "
                        + LocalSettings.VARIABLE
                        + " names")
                .build());
  }

  private static int run(CommandLine line, Options options, PrintStream out, PrintStream err)
      throws IOException, InterruptedException, ConfigException {
    List<String> words = line.getArgList();
    String command = words.isEmpty() ? "" : words.get(0);
    if (line.hasOption("help") || command.equals("help")) {
      printUsage(options, out);
      return OK;
    }
    int expected = command.equals("check-config") ? 2 : 1;
    if (words.size() != expected) {
      printUsage(options, err);
      return BAD_USE;
    }
    switch (currentName(command, err)) {
      case "serve":
        return serve(Optional.ofNullable(line.getOptionValue("settings")));
      case "warm-up":
        return new GatewayServer(GatewayConfig.sample(), Map.of(), Optional.empty()).warmUp();
      case "simulator-adapter":
        return new SimulatorAdapter(err).serve(System.in, out);
      case "check-config":
        out.println(words.get(1) + ": good; " + describe(words.get(1)));
        return OK;
      case "version":
        String version = Main.class.getPackage().getImplementationVersion();
        out.println("reachloom " + (version == null ? "unpackaged" : version));
        return OK;
      default:
        printUsage(options, err);
        return BAD_USE;
    }
  }

  /** The present name of a command; one line on standard error tells of it where it has changed. */
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

  /** Runs a tool of the jar beside this one, or of the build's directory. */
  private static int runTool(String tool, String[] args, PrintStream out, PrintStream err)
      throws IOException {
    try {
      Path here = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      Path beside = here.resolveSibling(TOOLS_JAR);
      Path built = here.resolve("../../../tools/target").resolve(TOOLS_JAR).normalize();
      Path jar = Files.exists(beside) ? beside : built;
      if (!Files.exists(jar)) {
        err.println("reachloom: " + TOOLS_JAR + " is not beside " + here);
        return BAD_USE;
      }
      try (URLClassLoader loader =
          new URLClassLoader(new URL[] {jar.toUri().toURL()}, Main.class.getClassLoader())) {
        return (int)
            Class.forName(tool, true, loader)
                .getMethod("run", String[].class, PrintStream.class, PrintStream.class)
                .invoke(null, args, out, err);
      }
    } catch (URISyntaxException | ReflectiveOperationException e) {
      err.println("reachloom: " + TOOLS_JAR + " can't be used: " + e);
      return BAD_USE;
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
                + settings.clientIdleTimeoutNanos().getAsLong() / MILLISECOND
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

  private static void printUsage(Options options, PrintStream to) {
    PrintWriter writer = new PrintWriter(to);
    HelpFormatter help = new HelpFormatter();
    help.printHelp(writer, COLUMNS, "reachloom COMMAND", COMMANDS, options, 1, 2, "");
    writer.flush();
  }
}
