package reachloom.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the gateways end with the laboratory that started them, even if it is killed. */
class RigEndsTest {
  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void gatewaysEndWithTheLaboratory(boolean killed) throws Exception {
    Process lab =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "reachloom.lab.Lab",
                "fleet",
                "--gateways",
                "2",
                "--engines",
                "2",
                "--zones",
                "1",
                "--seconds",
                "120",
                "--load",
                "5",
                "--logs",
                folder.toString())
            .redirectOutput(folder.resolve("out").toFile())
            .start();
    List<ProcessHandle> started = List.of();
    try (BufferedReader stderr = new BufferedReader(new InputStreamReader(lab.getErrorStream()))) {
      String line = stderr.readLine();
      while (line != null && !line.contains("gateways are ready")) {
        line = stderr.readLine();
      }
      assertTrue(line != null && line.startsWith("2 of 2"), line);
      started =
          lab.descendants().filter(p -> p.info().command().orElse("").endsWith("java")).toList();
      assertEquals(2, started.size(), "the gateways are children of the laboratory's process");
      if (killed) {
        lab.destroyForcibly();
      } else {
        lab.destroy();
      }
      assertTrue(lab.waitFor(20, TimeUnit.SECONDS));
      for (ProcessHandle p : started) {
        p.onExit().get(20, TimeUnit.SECONDS);
      }
    } finally {
      lab.destroyForcibly();
      started.forEach(ProcessHandle::destroyForcibly);
    }
  }
}
