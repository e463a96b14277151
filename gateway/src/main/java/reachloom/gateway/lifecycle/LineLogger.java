package reachloom.gateway.lifecycle;

import java.io.PrintStream;
import java.text.MessageFormat;
import java.time.temporal.ChronoUnit;
import java.util.ResourceBundle;
import reachloom.time.WallClock;

/**
 * Writes log lines to standard error, one each, at once. The platform's own logging resets itself
 * as soon as the process is told to stop, when the lines of the stop are still to come.
 */
public final class LineLogger extends System.LoggerFinder {
  private static final PrintStream ERR = System.err;
  private static final long SPAN_NANOS = 1_000_000_000; // nanoseconds

  /**
   * Lines of one logger in a span: a flood of faults must neither flood the log nor cost its CPU.
   */
  private static final int MAX_LINES = 10;

  @Override
  public System.Logger getLogger(String name, Module module) {
    return new Lines(name);
  }

  /** The lines of one logger; thread-safe. */
  private static final class Lines implements System.Logger {
    private final String name;
    private final String shortName;
    private long spanFrom = System.nanoTime();
    private int lines;

    Lines(String name) {
      this.name = name;
      shortName = name.substring(name.lastIndexOf('.') + 1);
    }

    @Override
    public String getName() {
      return name;
    }

    @Override
    public boolean isLoggable(Level level) {
      return level.getSeverity() >= Level.INFO.getSeverity() && level != Level.OFF;
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
      if (isLoggable(level) && room()) {
        write(level, message, thrown);
      }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... values) {
      if (!isLoggable(level) || !room()) {
        return;
      }
      write(
          level,
          values == null || values.length == 0 ? format : MessageFormat.format(format, values),
          null);
    }

    private synchronized boolean room() {
      long now = System.nanoTime();
      if (now - spanFrom >= SPAN_NANOS) {
        int left = lines - MAX_LINES;
        spanFrom = now;
        lines = 0;
        if (left > 0) {
          write(Level.WARNING, left + " more lines were left out", null);
        }
      }
      return ++lines <= MAX_LINES;
    }

    private void write(Level level, String message, Throwable thrown) {
      StringBuilder line =
          new StringBuilder()
              .append(WallClock.instant().truncatedTo(ChronoUnit.MILLIS))
              .append(' ')
              .append(level.getName())
              .append(' ')
              .append(shortName)
              .append(": ")
              .append(message.replaceAll("[\\r\\n]", " "));
      synchronized (ERR) {
        ERR.println(line);
        if (thrown != null) {
          thrown.printStackTrace(ERR);
        }
      }
    }
  }
}
