package review;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered, run or signalled. */
final class Record implements AutoCloseable {
  private final PrintStream out;
  private final long startNanos = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintStream(file.toFile(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Milliseconds since the start of the run. */
  double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%10.1f  %s%n", nowMs(), String.format(format, arguments));
    out.flush();
  }

  /** Writes a line to the record and to standard output. */
  synchronized void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(format, arguments));
  }

  @Override
  public void close() {
    out.close();
  }
}
