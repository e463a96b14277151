package reachloom.revision.net;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Signals that an issuer's store cannot be used; the store was not changed. The message names the
 * file and the problem in one line for an operator.
 */
public final class StoreException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Path file;
  private final String field;

  StoreException(Path file, String problem) {
    this(file, null, problem);
  }

  StoreException(Path file, String field, String problem) {
    super(file + ": " + problem);
    this.file = file;
    this.field = field;
  }

  /** Returns the file that cannot be used. */
  public Path file() {
    return file;
  }

  /** Returns the invalid field of the stored state, if the problem is in one field. */
  public Optional<String> field() {
    return Optional.ofNullable(field);
  }
}
