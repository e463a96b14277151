package reachloom.lab.scale;

import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/**
 * Entry point of the laboratory's helper processes, which a scale run starts; not for operators.
 */
public final class HelperMain {
  static final String SYNTHETIC_GATEWAYS = "hollow";
  static final String CONTROL = "control";

  /** Work of a helper process until its standard input ends, and with it the run. */
  interface Role {
    /** Returns the command-line options of this role. */
    Options options();

    /** Does the work of this role until standard input ends. */
    void run(CommandLine line) throws Exception;
  }

  private HelperMain() {}

  /** Runs the role that the first argument names. */
  public static void main(String[] args) throws Exception {
    Role role = args[0].equals(SYNTHETIC_GATEWAYS) ? new SyntheticGatewayMain() : new ControlMain();
    role.run(new DefaultParser().parse(role.options(), Arrays.copyOfRange(args, 1, args.length)));
    Runtime.getRuntime().halt(0);
  }
}
