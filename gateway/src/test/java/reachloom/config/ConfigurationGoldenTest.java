package reachloom.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Configuration, settings and merge patch files under {@code golden/config}: a valid file must
 * yield exactly the values in the {@code .values} file of its name, an invalid one exactly its line
 * in {@code error-lines.txt}. The resources were written by commit 09d85ed; operators and tools
 * rely on both.
 *
 * <p>Values are compared by position, without the names of types and components, so that renames in
 * the code do not change the resources.
 */
class ConfigurationGoldenTest {
  private static final Path ROOT = Path.of("src/test/resources/golden/config");
  private static final String VALUES = ".values";
  private static final Locale DEFAULT_LOCALE = Locale.getDefault();

  /** The messages of the JDK's validator depend on the locale. */
  @BeforeAll
  static void useEnglishMessages() {
    Locale.setDefault(Locale.ENGLISH);
  }

  @AfterAll
  static void restoreLocale() {
    Locale.setDefault(DEFAULT_LOCALE);
  }

  static Stream<Path> validFiles() throws IOException {
    return files().filter(ConfigurationGoldenTest::isValid);
  }

  static Stream<Path> invalidFiles() throws IOException {
    return files().filter(file -> !isValid(file));
  }

  private static Stream<Path> files() throws IOException {
    try (Stream<Path> all = Files.walk(ROOT)) {
      return all
          .filter(file -> file.toString().matches(".*\\.(json|xml)"))
          .sorted()
          .toList()
          .stream();
    }
  }

  private static boolean isValid(Path file) {
    return file.getFileName().toString().startsWith("good-");
  }

  /** Returns the error line of each invalid file, by its path relative to {@link #ROOT}. */
  private static Map<String, String> errorLines() throws IOException {
    Map<String, String> lines = new TreeMap<>();
    for (String line : Files.readAllLines(ROOT.resolve("error-lines.txt"))) {
      String[] parts = line.split(" \\| ", 2);
      lines.put(parts[0], parts[1]);
    }
    return lines;
  }

  @ParameterizedTest
  @MethodSource("validFiles")
  void validFileYieldsRecordedValues(Path file) throws Exception {
    Path values = file.resolveSibling(file.getFileName() + VALUES);
    assertEquals(Files.readString(values), describe(read(file)));
  }

  @ParameterizedTest
  @MethodSource("invalidFiles")
  void invalidFileYieldsRecordedErrorLine(Path file) throws IOException {
    ConfigException error = assertThrows(ConfigException.class, () -> read(file));
    assertEquals(errorLines().get(ROOT.relativize(file).toString()), error.getMessage());
  }

  @Test
  void eachRecordedErrorLineHasAFile() throws IOException {
    List<String> files = invalidFiles().map(file -> ROOT.relativize(file).toString()).toList();
    assertEquals(files, List.copyOf(errorLines().keySet()));
    assertEquals(105, files.size());
    assertEquals(12, validFiles().count());
  }

  @Test
  void missingOrUnnamedFileYieldsErrorLine() {
    Path absent = ROOT.resolve("gateway/absent.json");
    assertEquals(
        absent + ": cannot be read (NoSuchFileException)",
        assertThrows(ConfigException.class, () -> GatewayConfig.fromFile(absent, Map.of()))
            .getMessage());
    assertEquals(
        "LB_CONFIG: the environment does not name the configuration file",
        assertThrows(ConfigException.class, () -> GatewayConfig.fromEnvironment(Map.of()))
            .getMessage());
    String absentSettings = ROOT.resolve("settings/absent.xml").toString();
    assertEquals(
        absentSettings + ": cannot be read (NoSuchFileException)",
        assertThrows(ConfigException.class, () -> LocalSettings.read(absentSettings, Map.of()))
            .getMessage());
  }

  @Test
  void reloadNamesRecordedSettingsKeys() throws Exception {
    LocalSettings old = settings("good-gossip.xml");
    LocalSettings next = settings("good-all-keys.xml");
    assertEquals(
        List.of(
            "gossip cluster",
            "gossip listen",
            "gossip periodMs",
            "gossip bytesPerSecond",
            "gossip configuration"),
        old.changesNeedingRestart(next));
    assertEquals(
        List.of(
            "clients idleTimeoutMs",
            "gossip identity",
            "gossip authority",
            "gossip revoked",
            "gossip seed"),
        old.changesAppliedAtOnce(next));
    assertEquals(List.of("gossip"), old.changesNeedingRestart(settings("good-empty.xml")));
    GatewayConfig configuration = gateway("good-defaults.json");
    assertEquals(
        List.of("limits.sockets", "settings"),
        configuration.changesNeedingRestart(gateway("good-all-keys.json")));
  }

  private static LocalSettings settings(String name) throws ConfigException {
    return LocalSettings.read(ROOT.resolve("settings").resolve(name).toString(), Map.of());
  }

  private static GatewayConfig gateway(String name) throws ConfigException {
    return GatewayConfig.fromFile(ROOT.resolve("gateway").resolve(name), Map.of());
  }

  private static Object read(Path file) throws ConfigException, IOException {
    return switch (file.getParent().getFileName().toString()) {
      case "gateway" -> GatewayConfig.fromFile(file, Map.of());
      case "settings" -> LocalSettings.read(file.toString(), Map.of());
      case "document" -> MergePatch.read(Files.readAllBytes(file));
      default -> throw new AssertionError(file + ": no reader for its folder");
    };
  }

  /** Formats a record with one line for each of its components. */
  private static String describe(Object value) throws ReflectiveOperationException {
    StringBuilder text = new StringBuilder();
    for (Object component : components(value)) {
      text.append(format(component)).append('\n');
    }
    return text.toString();
  }

  private static List<Object> components(Object value) throws ReflectiveOperationException {
    List<Object> values = new ArrayList<>();
    for (RecordComponent component : value.getClass().getRecordComponents()) {
      component.getAccessor().setAccessible(true);
      values.add(component.getAccessor().invoke(value));
    }
    return values;
  }

  private static String format(Object value) throws ReflectiveOperationException {
    if (value == null || value.equals(Optional.empty()) || value.equals(OptionalLong.empty())) {
      return "absent";
    }
    if (value instanceof Optional<?> present) {
      return format(present.get());
    }
    if (value instanceof OptionalLong present) {
      return Long.toString(present.getAsLong());
    }
    if (value instanceof Record) {
      return joined(components(value), "(", ")");
    }
    if (value instanceof List<?> list) {
      return joined(list, "[", "]");
    }
    if (value instanceof Enum<?> constant) { // the name may change, the position may not
      return "#" + constant.ordinal();
    }
    if (value instanceof InetSocketAddress address) {
      return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
    if (value instanceof Path path) {
      Path folder = ROOT.toAbsolutePath();
      return path.startsWith(folder) ? folder.relativize(path).toString() : path.toString();
    }
    return value.toString();
  }

  private static String joined(List<?> values, String open, String close)
      throws ReflectiveOperationException {
    List<String> texts = new ArrayList<>();
    for (Object value : values) {
      texts.add(format(value));
    }
    return texts.stream().collect(Collectors.joining(", ", open, close));
  }
}
