package reachloom.flowcontrol;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the unfinished work of all connections of a process, through a {@link FlowWindow} for
 * each.
 *
 * <p>Work is counted in bytes of memory: the bytes of a message, and an overhead for each message
 * and each response. A connection whose window is full is not read until the work that it has
 * caused is done. The work of all connections is done in the order in which it was read, so that
 * they take turns: none waits for more than a window of each other one. While much work is
 * unfinished, all windows shrink.
 *
 * <p>Thread-safe.
 */
public final class FlowController {
  /** What a message takes in memory beside its own bytes, in bytes. */
  public static final int MESSAGE_OVERHEAD_BYTES = 256;

  /** What an unsent response takes in memory beside its own bytes, in bytes. */
  public static final int RESPONSE_OVERHEAD_BYTES = 512;

  /** The unfinished work at which a client is not read, in bytes. */
  public static final long CLIENT_WINDOW_BYTES = 16 * 1024;

  /** The unfinished work at which an engine or the change log is not read, in bytes. */
  public static final long PEER_WINDOW_BYTES = 64 * 1024;

  /** Unfinished work of all connections, in bytes, beyond which windows and reads are small. */
  static final long MAX_PENDING_BYTES = 1 << 20;

  /** The size of a window while there is too much unfinished work, in bytes. */
  static final long MIN_WINDOW_BYTES = 2 * 1024;

  private final AtomicLong pendingBytes = new AtomicLong();

  /**
   * Creates the window of a new connection.
   *
   * @param windowBytes the unfinished work at which the connection is not read, in bytes
   */
  public FlowWindow openWindow(long windowBytes) {
    return new FlowWindow(this, windowBytes);
  }

  /** Returns the unfinished work of all connections in bytes. */
  public long pendingBytes() {
    return pendingBytes.get();
  }

  /** Returns whether more work is unfinished than the limit. */
  boolean isOverloaded() {
    return pendingBytes.get() >= MAX_PENDING_BYTES;
  }

  /** Adds unfinished work; a negative number removes it. */
  void add(long bytes) {
    pendingBytes.addAndGet(bytes);
  }
}
