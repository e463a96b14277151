package reachloom.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A helper process of the laboratory that exchanges lines with it over standard input and output.
 * It ends when its input ends, and so with the laboratory, however the laboratory ends.
 */
final class HelperProcess implements AutoCloseable {
  private static final long EXIT_TIMEOUT_S = 10;
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-Xss256k",
          "-XX:+ExitOnOutOfMemoryError",
          "-Djava.net.preferIPv4Stack=true");

  private final Process process;
  private final PrintStream input;

  /**
   * Starts a process whose error output is appended to {@code log} and each line of whose output is
   * passed to {@code lineHandler}.
   */
  HelperProcess(int heapMb, Path log, Consumer<String> lineHandler, String... arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_FLAGS);
    command.addAll(
        List.of(
            "-Xmx" + heapMb + "m",
            "-cp",
            System.getProperty("java.class.path"),
            HelperMain.class.getName()));
    command.addAll(List.of(arguments));
    process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    input = new PrintStream(process.getOutputStream(), false, StandardCharsets.UTF_8);
    Thread reader = new Thread(() -> read(lineHandler), "reader of " + arguments[0]);
    reader.setDaemon(true);
    reader.start();
  }

  private void read(Consumer<String> lineHandler) {
    try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        lineHandler.accept(line);
      }
    } catch (IOException e) {
      // the process has ended
    }
  }

  /** In a helper process: passes each line of standard input to the handler until input ends. */
  static void readLines(Consumer<String> lineHandler) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      lineHandler.accept(line);
    }
  }

  /** In a helper process: writes a line to standard output. */
  static synchronized void printLine(String line) {
    System.out.println(line);
    System.out.flush();
  }

  /** Sends a line to the process; has no effect if the process has ended. */
  synchronized void sendLine(String line) {
    input.println(line);
    input.flush();
  }

  long pid() {
    return process.pid();
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Kills the process at once. */
  void kill() {
    process.destroyForcibly();
  }

  @Override
  public void close() {
    input.close();
    try {
      if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
