package reachloom.config;

import java.util.Optional;

/**
 * Configuration that can't be used. The message is one line for an operator: where the fault is,
 * and what is wrong there.
 */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The key, file, or file and line at fault; null where the message names none. */
  private final String location;

  /**
   * A fault whose message names its place in its own words.
   *
   * @param message what is wrong, as one line for an operator
   */
  public ConfigException(String message) {
    super(message);
    location = null;
  }

  /**
   * A fault at one place.
   *
   * @param location the key at fault, dotted below the first level, or the file, or file and line
   * @param problem what is wrong there
   */
  public ConfigException(String location, String problem) {
    super(location + ": " + problem);
    this.location = location;
  }

  /** The key, file, or file and line at fault; empty where only the message tells. */
  public Optional<String> location() {
    return Optional.ofNullable(location);
  }
}
