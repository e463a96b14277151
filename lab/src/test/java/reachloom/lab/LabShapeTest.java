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
 * The shape of the laboratory: its packages depend one way, the entry point on all and none on it.
 */
class LabShapeTest {
  private static final Path MAIN = Path.of("src/main/java/reachloom/lab");
  private static final Pattern USE = Pattern.compile("\\breachloom\\.lab\\.([a-z]\\w*|[A-Z]\\w*)");

  /**
   * Each package under the laboratory's, with what it names of the others; "" is the laboratory's
   * own.
   */
  private static Map<String, Set<String>> uses() throws IOException {
    Map<String, Set<String>> uses = new TreeMap<>();
    try (Stream<Path> files = Files.walk(MAIN)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        String own = MAIN.relativize(file.getParent()).toString();
        Set<String> of = uses.computeIfAbsent(own, p -> new TreeSet<>());
        Matcher m = USE.matcher(Files.readString(file));
        while (m.find()) {
          String other = Character.isUpperCase(m.group(1).charAt(0)) ? "" : m.group(1);
          if (!other.equals(own)) {
            of.add(other);
          }
        }
      }
    }
    return uses;
  }

  @Test
  void nothingDependsOnTheEntryPoint() throws IOException {
    assertEquals(
        List.of(), uses().entrySet().stream().filter(e -> e.getValue().contains("")).toList());
  }

  @Test
  void packagesDependOneWay() throws IOException {
    Map<String, Set<String>> left = uses();
    assertTrue(left.containsKey("command") && left.containsKey("cluster"), left.toString());
    assertEquals(
        Set.of(), left.get("command"), "options and figures need nothing else of the laboratory");
    for (boolean some = true; some; ) { // whoever needs nobody that is left goes
      List<String> free = new ArrayList<>(left.keySet());
      free.removeIf(p -> left.get(p).stream().anyMatch(left::containsKey));
      free.forEach(left::remove);
      some = !free.isEmpty();
    }
    assertEquals(Map.of(), left, "these go round in a circle");
  }
}
