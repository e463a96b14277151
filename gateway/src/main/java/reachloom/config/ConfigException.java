package reachloom.config;

import java.util.Optional;

/**
 * Thrown if a configuration is invalid. The message is one line for an operator: the location of
 * the fault, and what is wrong there.
 */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The key, file, or file and line at fault; null if it is in the message only. */
  private final String location;

  /**
   * Creates an exception whose message itself names the location of the fault.
   *
   * @param message what is wrong, as one line for an operator
   */
  public ConfigException(String message) {
    super(message);
    location = null;
  }

  /**
   * Creates an exception for a fault at the given location.
   *
   * @param location the key at fault, dotted below the first level, or the file, or file and line
   * @param problem what is wrong there
   */
  public ConfigException(String location, String problem) {
    super(location + ": " + problem);
    this.location = location;
  }

  /** Returns the key, file, or file and line at fault; empty if it is in the message only. */
  public Optional<String> location() {
    return Optional.ofNullable(location);
  }
}
