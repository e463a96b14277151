package reachloom.simulator;

/** Thrown if a line on standard input violates the simulator's protocol. */
final class MalformedBatchException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedBatchException(String message) {
    super(message);
  }
}
