package reachloom.gateway.lifecycle;

import java.io.PrintStream;
import java.text.MessageFormat;
import java.time.temporal.ChronoUnit;
import java.util.ResourceBundle;
import reachloom.time.WallClock;

/**
 * Writes each log record to standard error as one line, unbuffered, followed by the stack trace of
 * its exception, if any. The platform's own logging resets itself on SIGTERM, before the shutdown
 * is logged.
 */
public final class LineLogger extends System.LoggerFinder {
  private static final PrintStream ERR = System.err;
  private static final long WINDOW_NANOS = 1_000_000_000;

  /**
   * The most lines per logger and window, so that a flood of errors does not flood the log or cost
   * CPU time for it.
   */
  private static final int MAX_LINES_PER_WINDOW = 10;

  @Override
  public System.Logger getLogger(String name, Module module) {
    return new RateLimitedLogger(name);
  }

  /** A logger that drops lines beyond its limit per window; thread-safe. */
  private static final class RateLimitedLogger implements System.Logger {
    private final String name;
    private final String shortName;
    private long windowStartNanos = System.nanoTime();
    private int linesInWindow;

    RateLimitedLogger(String name) {
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
      if (isLoggable(level) && tryAcquireLine()) {
        write(level, message, thrown);
      }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... values) {
      if (!isLoggable(level) || !tryAcquireLine()) {
        return;
      }
      write(
          level,
          values == null || values.length == 0 ? format : MessageFormat.format(format, values),
          null);
    }

    /** Counts a line; returns false if it exceeds the limit of the window. */
    private synchronized boolean tryAcquireLine() {
      long now = System.nanoTime();
      if (now - windowStartNanos >= WINDOW_NANOS) {
        int dropped = linesInWindow - MAX_LINES_PER_WINDOW;
        windowStartNanos = now;
        linesInWindow = 0;
        if (dropped > 0) {
          write(
              Level.WARNING,
              dropped + " log lines were dropped: more than " + MAX_LINES_PER_WINDOW + " in 1 s",
              null);
        }
      }
      return ++linesInWindow <= MAX_LINES_PER_WINDOW;
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
