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
 * A gateway's own file and the installation's revisions over it: what is in force after which
 * order.
 */
class ConfigurationReloaderTest {
  @TempDir Path folder;

  private final List<GatewayConfig> taken = new ArrayList<>();
  private Path file;
  private String own;
  private ConfigurationReloader configuration;

  @BeforeEach
  void start() throws Exception {
    try (var sample = GatewayConfig.class.getResourceAsStream("sample.json")) {
      own = new String(sample.readAllBytes(), StandardCharsets.UTF_8);
    }
    file = Files.writeString(folder.resolve("lb.json"), own);
    Map<String, String> environment =
        Map.of("LB_CONFIG", file.toString(), "LB_LISTEN", "127.0.0.1:4100");
    configuration =
        new ConfigurationReloader(
            GatewayConfig.fromEnvironment(environment),
            environment,
            null,
            (next, local) -> taken.add(next));
  }

  private String put(long number, String document) {
    return configuration.put(number, document.getBytes(StandardCharsets.UTF_8));
  }

  private int port() {
    return taken.get(taken.size() - 1).changeLog().getPort();
  }

  private static String moved(int port) {
    return "{\"changelog\":\"127.0.0.1:" + port + "\"}";
  }

  @Test
  void aRevisionIsLaidOverTheOwnFileAndStaysOverItWhenThatIsReadAgain() throws Exception {
    assertEquals("", put(1, moved(5001)));
    assertEquals(5001, port());
    Files.writeString(
        file,
        own.replaceFirst("\"changelog\"\\s*:\\s*\"[^\"]*\"", "\"changelog\":\"127.0.0.1:5009\""));
    configuration.reload();
    assertEquals(2, taken.size());
    assertEquals(5001, port());
    assertEquals("", put(2, "{}"));
    assertEquals(
        5009, port(), "a revision is the whole of what is laid over: the rest is the file's");
  }

  @Test
  void neverAnOlderOneOverANewerOne() {
    assertEquals("", put(5, moved(5005)));
    assertEquals("revision 5 is in force, which is newer", put(4, moved(5004)));
    assertEquals("revision 5 is in force, which is newer", put(5, moved(5004)));
    assertEquals(1, taken.size());
    assertEquals(5005, port());
  }

  @Test
  void whatDoesNotCheckIsRefusedWithItsKeyAndTheOneInForceStays() throws Exception {
    assertEquals("", put(1, moved(5001)));
    assertTrue(
        put(2, "{\"changelog\":\"nowhere\"}").startsWith("changelog: 'nowhere' is not an address"));
    assertTrue(put(3, "{\"known\":null}").startsWith("known: is missing"));
    assertTrue(put(4, "{\"seed\":\"1\"}").startsWith("seed: "));
    assertTrue(put(5, "{").startsWith("the document is not JSON: line 1"));
    assertEquals(1, taken.size());
    Files.writeString(file, "{");
    assertTrue(put(6, moved(5006)).contains("is not JSON"), "the own file is broken");
    configuration.reload();
    assertEquals(1, taken.size());
    Files.writeString(file, own);
    configuration.reload();
    assertEquals(5001, port(), "the one in force still stands over the file");
    assertEquals("", put(7, moved(5007)));
    assertEquals(5007, port());
  }
}
