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
 * A process of the laboratory itself that serves the run: it is told lines and tells lines. It ends
 * with its input, and so with the laboratory however that ends.
 */
final class HelperProcess implements AutoCloseable {
  private static final long PATIENCE_S = 10;
  private static final List<String> FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-Xss256k",
          "-XX:+ExitOnOutOfMemoryError",
          "-Djava.net.preferIPv4Stack=true");

  private final Process process;
  private final PrintStream to;

  /** Starts a part of the run; its log goes to that file, what it tells to the hearer. */
  HelperProcess(int heapMb, Path log, Consumer<String> heard, String... words) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(FLAGS);
    command.addAll(
        List.of(
            "-Xmx" + heapMb + "m",
            "-cp",
            System.getProperty("java.class.path"),
            HelperMain.class.getName()));
    command.addAll(List.of(words));
    process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    to = new PrintStream(process.getOutputStream(), false, StandardCharsets.UTF_8);
    Thread reader = new Thread(() -> read(heard), "heard of " + words[0]);
    reader.setDaemon(true);
    reader.start();
  }

  private void read(Consumer<String> heard) {
    try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        heard.accept(line);
      }
    } catch (IOException e) {
      // it has ended
    }
  }

  /** In such a process: hears each line that it is told until the input ends. */
  static void follow(Consumer<String> told) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      told.accept(line);
    }
  }

  /** In such a process: tells a line. */
  static synchronized void say(String line) {
    System.out.println(line);
    System.out.flush();
  }

  /** Tells it a line; nothing where it has ended. */
  synchronized void tell(String line) {
    to.println(line);
    to.flush();
  }

  long pid() {
    return process.pid();
  }

  boolean runs() {
    return process.isAlive();
  }

  /** Ends it at once. */
  void kill() {
    process.destroyForcibly();
  }

  @Override
  public void close() {
    to.close();
    try {
      if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
