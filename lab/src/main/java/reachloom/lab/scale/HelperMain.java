package reachloom.lab.scale;

import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/**
 * Entry point of the processes that a scale run starts of the laboratory itself; not for operators.
 */
public final class HelperMain {
  static final String HOLLOW = "hollow";
  static final String CONTROL = "control";

  /** What such a process does until its input ends, and with it the run. */
  interface Role {
    /** What it may be told. */
    Options options();

    /** Plays its part. */
    void run(CommandLine line) throws Exception;
  }

  private HelperMain() {}

  /** Plays the part that the first word names. */
  public static void main(String[] args) throws Exception {
    Role role = args[0].equals(HOLLOW) ? new SyntheticGatewayMain() : new ControlMain();
    role.run(new DefaultParser().parse(role.options(), Arrays.copyOfRange(args, 1, args.length)));
    Runtime.getRuntime().halt(0);
  }
}
