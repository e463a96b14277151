package reachloom.lab.scale;

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

/** All processes of a scale run end with the laboratory, whether it is killed or terminated. */
class ScaleEndsTest {
  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void processesEndWithLaboratory(boolean killed) throws Exception {
    Process lab =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "reachloom.lab.Lab",
                "scale",
                "--gateways",
                "3",
                "--real",
                "1",
                "--engines",
                "2",
                "--zones",
                "1",
                "--regions",
                "1",
                "--control",
                "1",
                "--seconds",
                "120",
                "--settle",
                "0",
                "--rate",
                "1",
                "--no-gossip",
                "--logs",
                folder.toString())
            .redirectOutput(folder.resolve("out").toFile())
            .start();
    List<ProcessHandle> started = List.of();
    try (BufferedReader errorOutput =
        new BufferedReader(new InputStreamReader(lab.getErrorStream()))) {
      String line = errorOutput.readLine();
      while (line != null && !line.contains("gateways are ready")) {
        line = errorOutput.readLine();
      }
      assertTrue(line != null && line.startsWith("3 of 3"), "not all gateways were ready: " + line);
      started =
          lab.descendants().filter(p -> p.info().command().orElse("").endsWith("java")).toList();
      assertEquals(
          3,
          started.size(),
          "expected a gateway, a process with two synthetic gateways, a control machine");
      if (killed) {
        lab.destroyForcibly();
      } else {
        lab.destroy();
      }
      assertTrue(lab.waitFor(20, TimeUnit.SECONDS), "the laboratory did not end within 20 s");
      for (ProcessHandle p : started) {
        p.onExit().get(20, TimeUnit.SECONDS);
      }
    } finally {
      lab.destroyForcibly();
      started.forEach(ProcessHandle::destroyForcibly);
    }
  }
}
