package reachloom.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.lab.fleet.FleetCommand;
import reachloom.lab.gossip.GossipCommand;
import reachloom.lab.slopes.SlopesCommand;

/** Entry point of the laboratory: picks a command by its name. */
public final class Lab {
  private static final int BAD_USE = 2;
  private static final int COLUMNS = 100;
  private static final Map<String, Command> COMMANDS = new LinkedHashMap<>();

  static {
    COMMANDS.put("demo", new Demo());
    COMMANDS.put("gossip", new GossipCommand());
    COMMANDS.put("fleet", new FleetCommand());
    COMMANDS.put("slopes", new SlopesCommand());
  }

  /** One command of the laboratory. */
  public interface Command {
    /** What it is for, in one line. */
    String purpose();

    Options options();

    /** Runs it; gives the exit status. */
    int run(CommandLine line) throws Exception;
  }

  private Lab() {
  }

  /** Runs one command and exits with its status: 2 for a call that can't be understood. */
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
      return help ? 0 : BAD_USE;
    }
    Options options = command.options().addOption("h", "help", false, "print this text");
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("Unrecognized word: " + line.getArgList().get(0));
      }
      if (line.hasOption("help")) {
        usage(args[0], options, new PrintWriter(System.out));
        return 0;
      }
      return command.run(line);
    } catch (ParseException e) {
      System.err.println("reachloom-lab: " + e.getMessage());
      usage(args[0], options, new PrintWriter(System.err));
      return BAD_USE;
    }
  }

  private static void usage(String name, Options options, PrintWriter to) {
    new HelpFormatter().printHelp(to, COLUMNS, "reachloom-lab " + name, "", options, 1, 2, "");
    to.flush();
  }

  /** A whole number from {@code least} to {@code most} that an option gives, or the standard. */
  public static int number(CommandLine line, String option, int standard, int least, int most)
      throws ParseException {
    String text = line.getOptionValue(option);
    if (text == null) {
      return standard;
    }
    try {
      int value = Integer.parseInt(text);
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw new ParseException("--" + option + ": '" + text + "' is not a whole number from " + least + " to "
        + most);
  }

  /** A share from 0 to 1 that an option gives, or the standard. */
  public static double share(CommandLine line, String option, double standard) throws ParseException {
    String text = line.getOptionValue(option);
    if (text == null) {
      return standard;
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && value <= 1) {
        return value;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw new ParseException("--" + option + ": '" + text + "' is not a share from 0 to 1");
  }

  /** Prints the figures, and writes them with what led to them as JSON where the option asks for it. */
  public static int tell(CommandLine line, Map<String, Object> origin, Map<String, Object> figures)
      throws IOException {
    figures.forEach((name, value) -> System.out.printf("%-22s %s%n", name, value));
    if (line.hasOption("json")) {
      Map<String, Object> whole = new LinkedHashMap<>(origin);
      whole.put("figures", figures);
      Files.writeString(Path.of(line.getOptionValue("json")),
          new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(whole) + "\n");
    }
    return 0;
  }
}
