package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Logs when the gateway falls behind its connections: a long iteration of the event loop, many
 * messages that wait for it, or many responses that are not sent. At most one line per interval.
 *
 * <p>Confined to the event loop's thread.
 */
final class OverloadLog {
  private static final Logger LOG = System.getLogger(OverloadLog.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long BYTES_PER_MB = 1 << 20;
  private static final long INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

  /** A tenth of a second is what a rule allows for an event to have its effect. */
  private static final long LONG_ITERATION_NANOS = 100 * NANOS_PER_MILLI;

  private static final int MANY_MESSAGES = 2_000;

  private final EventLoop loop;
  private final ResponseWriter responses;
  private long loggedAtNanos;

  OverloadLog(EventLoop loop, ResponseWriter responses) {
    this.loop = loop;
    this.responses = responses;
    loggedAtNanos = loop.now(); // the iterations of a start are long
  }

  /** Logs the state of the gateway if it is behind; to be called several times a second. */
  void sample() {
    long longestNanos = loop.takeLongestIteration();
    boolean behind =
        longestNanos > LONG_ITERATION_NANOS
            || loop.queuedTasks() > MANY_MESSAGES
            || responses.unsent().count() > MANY_MESSAGES;
    if (!behind || loop.now() - loggedAtNanos < INTERVAL_NANOS) {
      return;
    }
    loggedAtNanos = loop.now();
    Runtime memory = Runtime.getRuntime();
    LOG.log(
        Level.WARNING,
        "the gateway is behind: {0} tasks of {1} bytes wait for the event loop, whose longest"
            + " iteration took {2} ms; {3} responses of {4} bytes are unsent; {5} of {6} MB of heap"
            + " in use",
        Integer.toString(loop.queuedTasks()),
        Integer.toString(loop.queuedBytes()),
        Long.toString(longestNanos / NANOS_PER_MILLI),
        Integer.toString(responses.unsent().count()),
        Long.toString(responses.unsent().bytes()),
        Long.toString((memory.totalMemory() - memory.freeMemory()) / BYTES_PER_MB),
        Long.toString(memory.maxMemory() / BYTES_PER_MB));
  }
}
