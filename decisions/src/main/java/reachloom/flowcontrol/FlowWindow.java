package reachloom.flowcontrol;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The unfinished work of one connection: its messages that are not handled yet, and the responses
 * to them that are not sent yet. A full window pauses reading from the connection; it is read again
 * once half of the window is free.
 *
 * <p>{@link #charge} and {@link #release} may be called from any thread, the other methods from the
 * thread that reads the connection.
 */
public final class FlowWindow {
  /** The first read of a connection, in bytes. */
  static final int INITIAL_READ_BYTES = 2 * 1024;

  /** The smallest read, in bytes. */
  static final int MIN_READ_BYTES = 512;

  /** The largest read, in bytes. */
  static final int MAX_READ_BYTES = 8 * 1024;

  /** The work that one read is meant to cause, in bytes. */
  private static final long READ_WORK_BYTES = 8 * 1024;

  private static final int RESUME_DIVISOR = 2;

  private final FlowController controller;
  private final long windowBytes;
  private final AtomicLong pendingBytes = new AtomicLong();
  private final AtomicBoolean paused = new AtomicBoolean();
  private int nextReadBytes = INITIAL_READ_BYTES;

  FlowWindow(FlowController controller, long windowBytes) {
    this.controller = controller;
    this.windowBytes = windowBytes;
  }

  /** Adds unfinished work, in bytes. */
  public void charge(long bytes) {
    pendingBytes.addAndGet(bytes);
    controller.add(bytes);
  }

  /**
   * Removes work that is finished, in bytes.
   *
   * @return whether reading was paused and has to be resumed now
   */
  public boolean release(long bytes) {
    controller.add(-bytes);
    return pendingBytes.addAndGet(-bytes) <= resumeAtBytes() && paused.compareAndSet(true, false);
  }

  /** Returns whether all work of the connection is finished. */
  public boolean isEmpty() {
    return pendingBytes.get() == 0;
  }

  /**
   * Pauses reading if the window is full.
   *
   * @return whether the connection must not be read until {@link #release} returns true
   */
  public boolean pauseIfFull() {
    if (pendingBytes.get() < fullAtBytes()) {
      return false;
    }
    paused.set(true);
    // Another thread may have finished the work before it could see that reading is paused.
    boolean resumed = pendingBytes.get() <= resumeAtBytes() && paused.compareAndSet(true, false);
    return !resumed;
  }

  private long fullAtBytes() {
    return controller.isOverloaded()
        ? Math.min(windowBytes, FlowController.MIN_WINDOW_BYTES)
        : windowBytes;
  }

  private long resumeAtBytes() {
    return fullAtBytes() / RESUME_DIVISOR;
  }

  /** Returns the most bytes that may be read from the connection at once. */
  public int readLimit() {
    return controller.isOverloaded() ? MIN_READ_BYTES : nextReadBytes;
  }

  /**
   * Records a read, so that a connection with many small messages is read in smaller steps than one
   * with large messages.
   *
   * @param bytes the bytes that were read
   * @param messages the messages that these bytes have completed
   */
  public void recordRead(int bytes, int messages) {
    long workBytes = bytes + (long) messages * FlowController.MESSAGE_OVERHEAD_BYTES;
    long next = READ_WORK_BYTES * bytes / Math.max(1, workBytes);
    nextReadBytes = (int) Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, next));
  }
}
