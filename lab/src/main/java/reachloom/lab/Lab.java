package reachloom.lab;

import java.io.PrintWriter;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.lab.command.Command;
import reachloom.lab.fleet.FleetCommand;
import reachloom.lab.gossip.GossipCommand;
import reachloom.lab.scale.ScaleCommand;
import reachloom.lab.slopes.SlopesCommand;
import reachloom.lab.soak.SoakCommand;

/** Entry point of the laboratory: runs the command that the first argument names. */
public final class Lab {
  private static final int EXIT_USAGE = 2;
  private static final int HELP_WIDTH_COLUMNS = 100;
  private static final Map<String, Command> COMMANDS = new LinkedHashMap<>();

  static {
    COMMANDS.put("demo", new Demo());
    COMMANDS.put("gossip", new GossipCommand());
    COMMANDS.put("fleet", new FleetCommand());
    COMMANDS.put("slopes", new SlopesCommand());
    COMMANDS.put("scale", new ScaleCommand());
    COMMANDS.put("soak", new SoakCommand());
  }

  private Lab() {}

  /** Runs one command and exits with its status, or with 2 if the command line is invalid. */
  public static void main(String[] args) throws Exception {
    System.exit(run(args));
  }

  static int run(String[] args) throws Exception {
    Command command = args.length == 0 ? null : COMMANDS.get(args[0]);
    boolean help = args.length > 0 && (args[0].equals("--help") || args[0].equals("-h"));
    if (command == null) {
      PrintWriter to = new PrintWriter(help ? System.out : System.err);
      to.println("usage: reachloom-lab COMMAND [options]; reachloom-lab COMMAND --help");
      COMMANDS.forEach((name, c) -> to.printf("  %-10s %s%n", name, c.purpose()));
      to.flush();
      return help ? 0 : EXIT_USAGE;
    }
    Options options = command.options().addOption("h", "help", false, "print this text");
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("Unrecognized word: " + line.getArgList().get(0));
      }
      if (line.hasOption("help")) {
        printUsage(args[0], options, new PrintWriter(System.out));
        return 0;
      }
      return command.run(line);
    } catch (ParseException e) {
      System.err.println("reachloom-lab: " + e.getMessage());
      printUsage(args[0], options, new PrintWriter(System.err));
      return EXIT_USAGE;
    }
  }

  private static void printUsage(String name, Options options, PrintWriter to) {
    new HelpFormatter()
        .printHelp(to, HELP_WIDTH_COLUMNS, "reachloom-lab " + name, "", options, 1, 2, "");
    to.flush();
  }
}
