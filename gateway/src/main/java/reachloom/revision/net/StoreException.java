package reachloom.revision.net;

import java.nio.file.Path;
import java.util.Optional;

/**
 * An issuer's store cannot be used; nothing of it was changed. The message names the file and what
 * is wrong with it, as one line for an operator.
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

  /** The file at fault. */
  public Path file() {
    return file;
  }

  /** The field of the stored state at fault, where it is one field. */
  public Optional<String> field() {
    return Optional.ofNullable(field);
  }
}
