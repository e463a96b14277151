package reachloom.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests the dependencies of the laboratory's packages: they have no cycles, and no package depends
 * on the entry point.
 */
class LabShapeTest {
  private static final Path SOURCE_FOLDER = Path.of("src/main/java/reachloom/lab");
  private static final Pattern PACKAGE_USE =
      Pattern.compile("\\breachloom\\.lab\\.([a-z]\\w*|[A-Z]\\w*)");

  /**
   * Returns the laboratory's packages with the other packages that each names; "" is the root
   * package, which has the entry point.
   */
  private static Map<String, Set<String>> dependencies() throws IOException {
    Map<String, Set<String>> dependencies = new TreeMap<>();
    try (Stream<Path> files = Files.walk(SOURCE_FOLDER)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        String ownPackage = SOURCE_FOLDER.relativize(file.getParent()).toString();
        Set<String> used = dependencies.computeIfAbsent(ownPackage, p -> new TreeSet<>());
        Matcher m = PACKAGE_USE.matcher(Files.readString(file));
        while (m.find()) {
          String other = Character.isUpperCase(m.group(1).charAt(0)) ? "" : m.group(1);
          if (!other.equals(ownPackage)) {
            used.add(other);
          }
        }
      }
    }
    return dependencies;
  }

  @Test
  void noPackageDependsOnEntryPoint() throws IOException {
    assertEquals(
        List.of(),
        dependencies().entrySet().stream().filter(e -> e.getValue().contains("")).toList());
  }

  @Test
  void packageDependenciesHaveNoCycles() throws IOException {
    Map<String, Set<String>> remaining = dependencies();
    assertTrue(
        remaining.containsKey("command") && remaining.containsKey("cluster"), remaining.toString());
    assertEquals(
        Set.of(),
        remaining.get("command"),
        "package command depends on no other package of the laboratory");
    for (boolean progress = true; progress; ) { // removes packages that depend on no remaining one
      List<String> independent = new ArrayList<>(remaining.keySet());
      independent.removeIf(p -> remaining.get(p).stream().anyMatch(remaining::containsKey));
      independent.forEach(remaining::remove);
      progress = !independent.isEmpty();
    }
    assertEquals(Map.of(), remaining, "these packages depend on each other in a cycle");
  }
}
