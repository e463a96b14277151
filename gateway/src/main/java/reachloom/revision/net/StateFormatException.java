package reachloom.revision.net;

/** Bytes that are not a state which an issuer has stored, or not one of this issuer. */
final class StateFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * What is wrong.
   *
   * @param field the field at fault
   * @param problem completes a sentence that begins with the file's name
   */
  StateFormatException(String field, String problem) {
    super(problem);
    this.field = field;
  }

  /** The field at fault. */
  String field() {
    return field;
  }
}
