package reachloom.simulator;

/** A line on standard input that the wire does not allow. */
final class MalformedBatchException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedBatchException(String message) {
    super(message);
  }
}
