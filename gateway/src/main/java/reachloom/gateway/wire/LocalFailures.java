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
 * Classifies failed system calls, and counts and logs those that fail on this machine, mostly for
 * lack of memory, buffers, descriptors or addresses. Such failures say nothing about the remote
 * side and are temporary: the call is retried. They are logged at most once per second.
 * Thread-safe.
 */
final class LocalFailures {
  private static final Logger LOG = System.getLogger(LocalFailures.class.getName());
  private static final long LOG_INTERVAL_NANOS = 1_000_000_000;

  /** Delay before a retry, so that a call that fails repeatedly does not occupy the processor. */
  private static final long RETRY_DELAY_MS = 2;

  /** The messages of ENOBUFS, ENOMEM, EINTR and EAGAIN. */
  private static final Set<String> TEMPORARY_ERRORS =
      Set.of(
          "No buffer space available",
          "Cannot allocate memory",
          "Interrupted system call",
          "Resource temporarily unavailable");

  private final AtomicLong count = new AtomicLong();
  private final AtomicLong loggedAt = new AtomicLong(System.nanoTime() - LOG_INTERVAL_NANOS);

  /**
   * Whether a read or write failed temporarily on this machine, so that the connection is still
   * usable.
   */
  static boolean isTemporary(IOException failure) {
    return failure.getMessage() != null && TEMPORARY_ERRORS.contains(failure.getMessage());
  }

  /**
   * Whether a connection attempt failed on this machine before anything was sent. Refused
   * connections, time-outs and unreachable hosts have exceptions of their own, and a reset comes
   * from the remote side.
   */
  static boolean isLocal(Throwable failure) {
    if (failure instanceof ConnectException || failure instanceof NoRouteToHostException) {
      return false;
    }
    if (failure instanceof SocketException e) {
      return e.getMessage() == null || !e.getMessage().contains("reset");
    }
    return failure instanceof IOException e && isTemporary(e);
  }

  /** Records a failure and waits before the retry, on a thread of the sockets. */
  void pause(String call, IOException failure) {
    record(call, failure);
    try {
      Thread.sleep(RETRY_DELAY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Counts a failure, and logs it unless another one was logged within the interval. */
  void record(String call, Throwable failure) {
    long total = count.incrementAndGet();
    long now = System.nanoTime();
    long last = loggedAt.get();
    if (now - last >= LOG_INTERVAL_NANOS && loggedAt.compareAndSet(last, now)) {
      LOG.log(
          Level.WARNING,
          "system call {0} failed on this machine and is retried: {1}; {2} such failures so far",
          call,
          failure.getMessage(),
          total);
    }
  }
}
