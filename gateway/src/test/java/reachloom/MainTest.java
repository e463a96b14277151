package reachloom;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sub-commands, their output and exit status. */
class MainTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) throws IOException, InterruptedException {
    return Main.run(args, new PrintStream(out, true), new PrintStream(err, true));
  }

  @Test
  void printsUsageToStandardErrorForUnknownOrMissingCommand()
      throws IOException, InterruptedException {
    assertEquals(2, run());
    assertEquals(2, run("unknown"));
    assertEquals(0, out.size());
    assertTrue(err.toString().contains("usage: reachloom"));
  }

  @Test
  void helpPrintsUsageToStandardOutput() throws IOException, InterruptedException {
    assertEquals(0, run("--help"));
    assertTrue(out.toString().contains("simulator-adapter"));
    assertTrue(out.toString().contains("warm-up"));
    assertFalse(out.toString().contains("benchlink"), "deprecated names are not listed");
    assertFalse(out.toString().contains("rehearse"));
    assertEquals(0, err.size());
  }

  @ParameterizedTest
  @CsvSource({"benchlink, simulator-adapter", "rehearse, warm-up"})
  void deprecatedCommandsWorkWithWarningOnStandardError(String deprecated, String present) {
    PrintStream errors = new PrintStream(err, true);
    assertEquals(present, Main.currentName(deprecated, errors));
    assertEquals(
        "reachloom: the command '" + deprecated + "' is deprecated; use '" + present + "'\n",
        err.toString());
    err.reset();
    assertEquals(present, Main.currentName(present, errors));
    assertEquals(0, err.size());
  }

  @Test
  void versionIsOneLine() throws Exception {
    assertEquals(0, run("version"));
    assertTrue(out.toString().matches("reachloom \\S+\\R"));
  }

  @Test
  void unknownOptionsAndExtraArgumentsAreUsageErrors() throws Exception {
    assertEquals(2, run("--strange"));
    assertEquals(2, run("version", "more"));
    assertEquals(2, run("check-config"));
    assertEquals(2, run("serve", "--settings"));
  }

  @Test
  void checkConfigPrintsClientIdleTimeoutIfSet(@TempDir Path folder) throws Exception {
    String start = "<reachloom xmlns=\"urn:reachloom:settings:1\">";
    Path set =
        Files.writeString(
            folder.resolve("s.xml"), start + "<clients idleTimeoutMs=\"5000\"/></reachloom>");
    assertEquals(0, run("check-config", set.toString()));
    assertTrue(
        out.toString()
            .endsWith("gossip off, clients idle for 5000 ms are closed" + System.lineSeparator()),
        out.toString());
    out.reset();
    Path none = Files.writeString(folder.resolve("n.xml"), start + "</reachloom>");
    assertEquals(0, run("check-config", none.toString()));
    assertTrue(
        out.toString().endsWith("good; gossip off" + System.lineSeparator()), out.toString());
  }

  @Test
  void checkConfigPrintsInvalidKey(@TempDir Path folder) throws Exception {
    Path file = Files.writeString(folder.resolve("c.json"), "{\"settings\":{\"classes\":[]}}");
    assertEquals(2, run("check-config", file.toString()));
    assertEquals(
        "reachloom: settings.classes: names no class" + System.lineSeparator(), err.toString());
  }
}
