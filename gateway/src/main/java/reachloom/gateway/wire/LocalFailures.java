package reachloom.gateway.wire;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * System calls that fail for lack of memory, buffers, descriptors or addresses on this machine.
 * They say nothing about the other side, and are temporary: the call is repeated. Counts them, and
 * logs them once in a while. Thread-safe.
 */
final class LocalFailures {
  private static final Logger LOG = System.getLogger(LocalFailures.class.getName());
  private static final long LOG_INTERVAL = 1_000_000_000; // nanoseconds

  /**
   * So long until the next try, in milliseconds: a call that goes on failing must not take the
   * processor.
   */
  private static final long PAUSE_MS = 2;

  /** What the system says of ENOBUFS, ENOMEM, EINTR and EAGAIN. */
  private static final Set<String> TEMPORARY =
      Set.of(
          "No buffer space available",
          "Cannot allocate memory",
          "Interrupted system call",
          "Resource temporarily unavailable");

  private final AtomicLong count = new AtomicLong();
  private final AtomicLong loggedAt = new AtomicLong(System.nanoTime() - LOG_INTERVAL);

  /**
   * Whether a read or write failed for want of something on this machine, and the connection still
   * stands.
   */
  static boolean isTemporary(IOException failure) {
    return failure.getMessage() != null && TEMPORARY.contains(failure.getMessage());
  }

  /**
   * Whether a dial failed before it left this machine: refusals, time-outs and hosts out of reach
   * have exceptions of their own, and a reset comes from the other side.
   */
  static boolean isOfThisMachine(Throwable failure) {
    if (failure instanceof ConnectException || failure instanceof NoRouteToHostException) {
      return false;
    }
    if (failure instanceof SocketException e) {
      return e.getMessage() == null || !e.getMessage().contains("reset");
    }
    return failure instanceof IOException e && isTemporary(e);
  }

  /** Notes a failure, and waits a moment, on a thread of the sockets. */
  void pause(String call, IOException failure) {
    note(call, failure);
    try {
      Thread.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Notes a failure. */
  void note(String call, Throwable failure) {
    long all = count.incrementAndGet();
    long now = System.nanoTime();
    long last = loggedAt.get();
    if (now - last >= LOG_INTERVAL && loggedAt.compareAndSet(last, now)) {
      LOG.log(
          Level.WARNING,
          "a system call failed on this machine, and is made again: {0}: {1}; {2} so far",
          call,
          failure.getMessage(),
          all);
    }
  }
}
