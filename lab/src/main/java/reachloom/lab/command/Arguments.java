package reachloom.lab.command;

import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;

/** Parses and validates option values of the command line. */
public final class Arguments {
  private Arguments() {}

  /** Returns an option's integer from {@code min} to {@code max}, or the default if absent. */
  public static int number(CommandLine line, String option, int defaultValue, int min, int max)
      throws ParseException {
    String text = line.getOptionValue(option);
    if (text == null) {
      return defaultValue;
    }
    try {
      int value = Integer.parseInt(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported by the ParseException below
    }
    throw new ParseException(
        "--" + option + ": '" + text + "' is not a whole number from " + min + " to " + max);
  }

  /** Returns an option's share from 0 to 1, or the default if the option is absent. */
  public static double share(CommandLine line, String option, double defaultValue)
      throws ParseException {
    String text = line.getOptionValue(option);
    if (text == null) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && value <= 1) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported by the ParseException below
    }
    throw new ParseException("--" + option + ": '" + text + "' is not a share from 0 to 1");
  }

  /**
   * Returns the gateway's jar: the value of option {@code jar}, otherwise the jar that the build
   * leaves in {@code gateway/target}. Returns null if there is none; the gateway is then started
   * from the class path.
   */
  public static Path jar(CommandLine line) throws ParseException {
    if (line.hasOption("jar")) {
      Path given = Path.of(line.getOptionValue("jar"));
      if (!Files.isReadable(given)) {
        throw new ParseException("--jar: '" + given + "' can't be read");
      }
      return given;
    }
    Path own = Path.of(System.getProperty("java.class.path")).toAbsolutePath();
    Path built = own.getParent().resolve("../../gateway/target/reachloom.jar").normalize();
    return own.toString().endsWith(".jar") && Files.isReadable(built) ? built : null;
  }
}
