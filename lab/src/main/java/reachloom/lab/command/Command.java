package reachloom.lab.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the laboratory. */
public interface Command {
  /** Returns a one-line description of the command for the help text. */
  String purpose();

  /** Returns the command-line options that the command accepts. */
  Options options();

  /** Runs the command and returns the exit status. */
  int run(CommandLine line) throws Exception;
}
