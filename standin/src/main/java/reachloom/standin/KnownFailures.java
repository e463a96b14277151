package reachloom.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Skips the tests that {@code KNOWN-RED.txt} at the root of the repository lists, and prints each
 * one. A line has the form {@code Class#method: cause (issue)}; the file has at most three lines.
 * With the system property {@code known.red} set to {@code run} the listed tests run like all
 * others.
 */
public final class KnownFailures implements ExecutionCondition {
  /** The maximum number of lines of the list. */
  public static final int MAX_ENTRIES = 3;

  private static final String FILE = "KNOWN-RED.txt";
  private static final String ROOT_MARK = ".ci";

  @Override
  public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
    if (context.getTestMethod().isEmpty() || "run".equals(System.getProperty("known.red"))) {
      return ConditionEvaluationResult.enabled("not listed");
    }
    String name =
        context.getRequiredTestClass().getSimpleName()
            + "#"
            + context.getRequiredTestMethod().getName();
    Optional<String> listed =
        listed().stream().filter(line -> line.startsWith(name + ":")).findFirst();
    listed.ifPresent(line -> System.out.println("KNOWN RED, passed over: " + line));
    return listed
        .map(ConditionEvaluationResult::disabled)
        .orElseGet(() -> ConditionEvaluationResult.enabled("not listed"));
  }

  /**
   * Returns the lines of the list. The list is empty if the file is missing or if no parent of the
   * working directory is the root of the repository.
   */
  static List<String> listed() {
    Path folder = Path.of("").toAbsolutePath();
    while (folder != null && !Files.isDirectory(folder.resolve(ROOT_MARK))) {
      folder = folder.getParent();
    }
    return folder == null ? List.of() : lines(folder.resolve(FILE));
  }

  /**
   * Returns the lines of a list file; none if the file is missing.
   *
   * @throws IllegalStateException if there are more than {@link #MAX_ENTRIES}
   */
  public static List<String> lines(Path file) {
    if (!Files.exists(file)) {
      return List.of();
    }
    try {
      List<String> lines =
          Files.readAllLines(file).stream().filter(line -> !line.isBlank()).toList();
      if (lines.size() > MAX_ENTRIES) {
        throw new IllegalStateException(
            file + " holds " + lines.size() + " lines; " + MAX_ENTRIES + " at most");
      }
      return lines;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
