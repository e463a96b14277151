package reachloom.gateway.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.GatewayConfig;

/**
 * Which configuration is in force after reloads of the gateway's own file and revisions of the
 * installation, in any order.
 */
class ConfigurationReloaderTest {
  @TempDir Path folder;

  private final List<GatewayConfig> applied = new ArrayList<>();
  private Path file;
  private String content;
  private ConfigurationReloader configuration;

  @BeforeEach
  void start() throws Exception {
    try (var sample = GatewayConfig.class.getResourceAsStream("sample.json")) {
      content = new String(sample.readAllBytes(), StandardCharsets.UTF_8);
    }
    file = Files.writeString(folder.resolve("lb.json"), content);
    Map<String, String> environment =
        Map.of("LB_CONFIG", file.toString(), "LB_LISTEN", "127.0.0.1:4100");
    configuration =
        new ConfigurationReloader(
            GatewayConfig.fromEnvironment(environment),
            environment,
            null,
            (next, local) -> applied.add(next));
  }

  private String put(long number, String document) {
    return configuration.put(number, document.getBytes(StandardCharsets.UTF_8));
  }

  private int appliedPort() {
    return applied.get(applied.size() - 1).changeLog().getPort();
  }

  private static String changeLogPatch(int port) {
    return "{\"changelog\":\"127.0.0.1:" + port + "\"}";
  }

  @Test
  void revisionStaysMergedOverReloadedFile() throws Exception {
    assertEquals("", put(1, changeLogPatch(5001)));
    assertEquals(5001, appliedPort());
    Files.writeString(
        file,
        content.replaceFirst(
            "\"changelog\"\\s*:\\s*\"[^\"]*\"", "\"changelog\":\"127.0.0.1:5009\""));
    configuration.reload();
    assertEquals(2, applied.size());
    assertEquals(5001, appliedPort());
    assertEquals("", put(2, "{}"));
    assertEquals(
        5009,
        appliedPort(),
        "a revision replaces the previous one: keys it lacks are taken from the file");
  }

  @Test
  void rejectsOlderRevision() {
    assertEquals("", put(5, changeLogPatch(5005)));
    assertEquals("revision 5 is in force, which is newer", put(4, changeLogPatch(5004)));
    assertEquals("revision 5 is in force, which is newer", put(5, changeLogPatch(5004)));
    assertEquals(1, applied.size());
    assertEquals(5005, appliedPort());
  }

  @Test
  void rejectsInvalidRevisionNamingItsKey() throws Exception {
    assertEquals("", put(1, changeLogPatch(5001)));
    assertTrue(
        put(2, "{\"changelog\":\"nowhere\"}").startsWith("changelog: 'nowhere' is not an address"));
    assertTrue(put(3, "{\"known\":null}").startsWith("known: is missing"));
    assertTrue(put(4, "{\"seed\":\"1\"}").startsWith("seed: "));
    assertTrue(put(5, "{").startsWith("the document is not JSON: line 1"));
    assertEquals(1, applied.size());
    Files.writeString(file, "{");
    assertTrue(put(6, changeLogPatch(5006)).contains("is not JSON"), "the own file is broken");
    configuration.reload();
    assertEquals(1, applied.size());
    Files.writeString(file, content);
    configuration.reload();
    assertEquals(5001, appliedPort(), "the revision in force is still merged over the file");
    assertEquals("", put(7, changeLogPatch(5007)));
    assertEquals(5007, appliedPort());
  }
}
