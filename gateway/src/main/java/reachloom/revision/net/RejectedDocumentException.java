package reachloom.revision.net;

import java.nio.file.Path;

/**
 * Signals a document in the spool that cannot be proposed; the message states the reason for an
 * operator.
 */
final class RejectedDocumentException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Path file;
  private final SpoolRejection rejection;

  RejectedDocumentException(Path file, SpoolRejection rejection, String message) {
    super(message);
    this.file = file;
    this.rejection = rejection;
  }

  /** Returns the current file of the document. */
  Path file() {
    return file;
  }

  /** Returns the kind of the document's result. */
  SpoolRejection rejection() {
    return rejection;
  }
}
