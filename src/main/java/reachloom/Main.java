package reachloom;

import java.io.IOException;
import java.io.PrintStream;
import reachloom.benchlink.BenchLink;

/** Entry point: picks the front by its sub-command. */
public final class Main {
  private static final String USAGE = String.join(System.lineSeparator(),
      "usage: reachloom COMMAND",
      "",
      "commands:",
      "  benchlink   decide for many gateways on the simulator's wire (standard input and output)",
      "  --help      print this text");

  private Main() {
  }

  /** Runs one sub-command and exits with its status. */
  public static void main(String[] args) throws IOException {
    int status = run(args, System.out, System.err);
    System.out.flush();
    System.exit(status);
  }

  static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
    String command = args.length == 1 ? args[0] : "";
    return switch (command) {
      case "benchlink" -> new BenchLink(err).serve(System.in, out);
      case "--help", "-h", "help" -> {
        out.println(USAGE);
        yield 0;
      }
      default -> {
        err.println(USAGE);
        yield 2;
      }
    };
  }
}
