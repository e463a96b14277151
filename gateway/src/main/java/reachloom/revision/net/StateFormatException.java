package reachloom.revision.net;

/** Signals stored bytes that are not the state of this issuer. */
final class StateFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * Creates the exception.
   *
   * @param field the invalid field
   * @param problem the problem, worded to follow the file's name
   */
  StateFormatException(String field, String problem) {
    super(problem);
    this.field = field;
  }

  /** Returns the invalid field. */
  String field() {
    return field;
  }
}
