package reachloom.tools;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.config.ConfigException;

/**
 * A command-line tool with several commands: parses their options, prints usage and errors, and
 * returns the exit status. Confined to one thread.
 */
final class CommandLineTool {
  /** Exit status of a command that succeeded. */
  static final int OK = 0;

  /** Exit status of a command that failed. */
  static final int FAILED = 1;

  /** Exit status for invalid options or settings. */
  static final int BAD_USAGE = 2;

  private static final int USAGE_COLUMNS = 100;

  /**
   * The action of a command. A checked exception ends it with {@link #FAILED} or {@link
   * #BAD_USAGE}; an unchecked one is passed on.
   */
  interface Action {
    /** Runs the command with the given options; returns the exit status. */
    int run(CommandLine options) throws Exception;
  }

  private record Command(Options options, Action action) {}

  private final String program;
  private final PrintStream out;
  private final PrintStream err;
  private final Function<Exception, String> failureText;
  private final Map<String, Command> commands = new LinkedHashMap<>();

  /**
   * Creates a tool without commands.
   *
   * @param program the name of the program, such as {@code reachloom gossip}
   * @param out receives help that was requested
   * @param err receives errors, and usage if no known command is named
   * @param failureText returns the text to print for an exception that ends a command with {@link
   *     #FAILED}
   */
  CommandLineTool(
      String program, PrintStream out, PrintStream err, Function<Exception, String> failureText) {
    this.program = program;
    this.out = out;
    this.err = err;
    this.failureText = failureText;
  }

  /** Adds a command; usage lists them in this order. */
  CommandLineTool add(String name, Options options, Action action) {
    commands.put(name, new Command(options, action));
    return this;
  }

  /**
   * Runs the command that the first argument names, or prints usage.
   *
   * @return the exit status
   */
  int run(String[] args) {
    Command command = args.length == 0 ? null : commands.get(args[0]);
    if (command == null) {
      boolean help = args.length > 0 && args[0].equals("--help");
      printUsage(help ? out : err);
      return help ? OK : BAD_USAGE;
    }
    try {
      return command.action().run(parse(command, args));
    } catch (ParseException | ConfigException e) {
      printError(args[0], e.getMessage());
      return BAD_USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    } catch (RuntimeException e) {
      throw e;
    } catch (Exception e) {
      printError(args[0], failureText.apply(e));
      return FAILED;
    }
  }

  private static CommandLine parse(Command command, String[] args) throws ParseException {
    String[] arguments = Arrays.copyOfRange(args, 1, args.length);
    CommandLine line = new DefaultParser().parse(command.options(), arguments);
    if (!line.getArgList().isEmpty()) {
      throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
    }
    return line;
  }

  private void printUsage(PrintStream to) {
    PrintWriter writer = new PrintWriter(to);
    commands.forEach(
        (name, command) ->
            new HelpFormatter()
                .printHelp(
                    writer, USAGE_COLUMNS, program + " " + name, "", command.options(), 1, 2, ""));
    writer.flush();
  }

  private void printError(String command, String text) {
    err.println(program + " " + command + ": " + text);
  }

  /**
   * Returns the value of a required option.
   *
   * @throws ParseException if it is missing or blank
   */
  static String required(CommandLine options, String name) throws ParseException {
    String value = options.getOptionValue(name, "");
    if (value.isBlank()) {
      throw new ParseException("--" + name + ": is missing");
    }
    return value;
  }
}
