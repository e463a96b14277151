package reachloom.revision.net;

import java.nio.file.Path;

/** A document in the spool that cannot be proposed; the message tells an operator why. */
final class RejectedDocumentException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Path file;
  private final SpoolRejection rejection;

  RejectedDocumentException(Path file, SpoolRejection rejection, String message) {
    super(message);
    this.file = file;
    this.rejection = rejection;
  }

  /** Where the document lies now. */
  Path file() {
    return file;
  }

  /** The kind of its result. */
  SpoolRejection rejection() {
    return rejection;
  }
}
