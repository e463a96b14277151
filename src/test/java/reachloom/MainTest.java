package reachloom;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** Sub-commands, their output and exit status. */
class MainTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) throws IOException, InterruptedException {
    return Main.run(args, new PrintStream(out, true), new PrintStream(err, true));
  }

  @Test
  void unknownOrMissingCommandsPrintUsageOnStandardError() throws IOException, InterruptedException {
    assertEquals(2, run());
    assertEquals(2, run("unheard"));
    assertEquals(0, out.size());
    assertTrue(err.toString().contains("usage: reachloom"));
  }

  @Test
  void helpPrintsUsageOnStandardOutput() throws IOException, InterruptedException {
    assertEquals(0, run("--help"));
    assertTrue(out.toString().contains("benchlink"));
    assertEquals(0, err.size());
  }
}
