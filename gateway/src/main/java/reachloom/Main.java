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
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.config.ConfigException;
import reachloom.config.GatewayConfig;
import reachloom.config.LocalSettings;
import reachloom.gateway.lifecycle.GatewayServer;
import reachloom.simulator.SimulatorAdapter;

/** Entry point: picks what is to be run by its sub-command. */
public final class Main {
  private static final int OK = 0;
  private static final int BAD_USE = 2;
  private static final int COLUMNS = 100;
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** What only operators use, with the libraries that takes, stays out of the gateway's jar. */
  private static final String TOOLS = "reachloom-tools.jar";

  private static final Map<String, String> TOOL =
      Map.of("gossip", "reachloom.tools.GossipTool", "revision", "reachloom.tools.RevisionTool");
  private static final String COMMANDS =
      String.join(
          System.lineSeparator(),
          "",
          "commands:",
          "  serve               one gateway on sockets, configured by the file that LB_CONFIG names",
          "  benchlink           decide for many gateways on the simulator's wire (standard input and output)",
          "  check-config FILE   read a configuration (JSON) or settings (XML) and say what is wrong with it",
          "  rehearse            start with a made-up configuration on loopback, then stop (see deploy)",
          "  gossip COMMAND      keys, certificates and status of gossip; needs "
              + TOOLS
              + " beside this jar",
          "  revision COMMAND    an issuer of the configuration, and documents for it; needs "
              + TOOLS
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

  static int run(String[] args, PrintStream out, PrintStream err)
      throws IOException, InterruptedException {
    String tool = args.length == 0 ? null : TOOL.get(args[0]);
    if (tool != null) {
      return tools(tool, Arrays.copyOfRange(args, 1, args.length), out, err);
    }
    Options options =
        new Options()
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
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, args);
    } catch (ParseException e) {
      err.println("reachloom: " + e.getMessage());
      usage(options, err);
      return BAD_USE;
    }
    List<String> words = line.getArgList();
    String command = words.isEmpty() ? "" : words.get(0);
    int expected = command.equals("check-config") ? 2 : 1;
    if (line.hasOption("help") || command.equals("help")) {
      usage(options, out);
      return OK;
    }
    if (words.size() != expected) {
      usage(options, err);
      return BAD_USE;
    }
    try {
      switch (command) {
        case "serve" -> {
          Map<String, String> environment = System.getenv();
          return new GatewayServer(
                  GatewayConfig.fromEnvironment(environment),
                  environment,
                  line.getOptionValue("settings"))
              .run();
        }
        case "rehearse" -> {
          return new GatewayServer(GatewayConfig.sample(), Map.of(), null).rehearse();
        }
        case "benchlink" -> {
          return new SimulatorAdapter(err).serve(System.in, out);
        }
        case "check-config" -> {
          out.println(words.get(1) + ": good; " + checked(words.get(1)));
          return OK;
        }
        case "version" -> {
          String version = Main.class.getPackage().getImplementationVersion();
          out.println("reachloom " + (version == null ? "unpackaged" : version));
          return OK;
        }
        default -> {
          usage(options, err);
          return BAD_USE;
        }
      }
    } catch (ConfigException e) {
      err.println("reachloom: " + e.getMessage());
      return BAD_USE;
    }
  }

  /** Runs a tool of the jar beside this one, or of the build's folder. */
  private static int tools(String tool, String[] args, PrintStream out, PrintStream err)
      throws IOException {
    try {
      Path here = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      Path beside = here.resolveSibling(TOOLS);
      Path built = here.resolve("../../../tools/target").resolve(TOOLS).normalize();
      Path jar = Files.exists(beside) ? beside : built;
      if (!Files.exists(jar)) {
        err.println("reachloom: " + TOOLS + " is not beside " + here);
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
      err.println("reachloom: " + TOOLS + " can't be used: " + e);
      return BAD_USE;
    }
  }

  /**
   * What a file of either form tells; XML by its ending, since neither form can be taken for the
   * other.
   */
  private static String checked(String file) throws ConfigException {
    if (file.endsWith(".xml")) {
      LocalSettings local = LocalSettings.read(file, Map.of());
      String idle =
          local.clientIdleTimeoutNanos().isEmpty()
              ? ""
              : ", clients idle for "
                  + local.clientIdleTimeoutNanos().getAsLong() / MILLISECOND
                  + " ms are closed";
      return local
              .gossip()
              .map(
                  g ->
                      "gossip on at "
                          + g.listen()
                          + ", cluster "
                          + g.cluster()
                          + ", "
                          + g.seeds().size()
                          + " seeds")
              .orElse("gossip off")
          + idle;
    }
    GatewayConfig config = GatewayConfig.fromFile(Path.of(file), Map.of());
    return config.name()
        + " at "
        + config.listen()
        + ", "
        + config.knownEngines().size()
        + " engines known, "
        + config.names().classes().size()
        + " classes";
  }

  private static void usage(Options options, PrintStream to) {
    PrintWriter writer = new PrintWriter(to);
    HelpFormatter help = new HelpFormatter();
    help.printHelp(writer, COLUMNS, "reachloom COMMAND", COMMANDS, options, 1, 2, "");
    writer.flush();
  }
}
