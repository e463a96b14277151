package reachloom.tools;

/**
 * Runs {@code reachloom revision} in a separate process from the test's class path, because the
 * jars are built only after the tests.
 */
final class RunRevisionTool {
  private RunRevisionTool() {}

  /** Runs the tool and exits with its status. */
  public static void main(String[] args) {
    System.exit(RevisionTool.run(args, System.out, System.err));
  }
}
