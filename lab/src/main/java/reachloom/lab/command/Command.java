package reachloom.lab.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the laboratory. */
public interface Command {
  /** What it is for, in one line. */
  String purpose();

  /** What it may be told. */
  Options options();

  /** Runs it; gives the exit status. */
  int run(CommandLine line) throws Exception;
}
