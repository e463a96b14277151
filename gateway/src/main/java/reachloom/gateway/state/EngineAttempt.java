package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.future.WriteFuture;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.scheduler.api.LoadReport;

/**
 * One attempt to have a request served by an engine, from the scheduler's {@code forward} to its
 * outcome. Confined to the event loop's thread.
 */
public final class EngineAttempt {
  /** The request of this attempt. */
  public final ClientRequest request;

  /** The number of this attempt among those for the request, from 0. */
  public final int number;

  /** The name of the engine. */
  public final String engine;

  /** When the scheduler forwarded the attempt, in nanoseconds on the event loop's clock. */
  public final long forwardedAtNanos;

  /** When the attempt times out, in nanoseconds on the event loop's clock. */
  public final long deadlineNanos;

  /** The connection of the attempt; null until one is assigned. */
  public EngineConnection connection;

  /** Whether the attempt has ended. */
  public boolean ended;

  /** The timer that ends the attempt at its deadline; null if it was never started. */
  public Deadline timeout;

  /** The received pages of the result, in order. */
  public final List<byte[]> pages = new ArrayList<>(1);

  /** The number of pages of the result, as stated by the first one; 0 before it is received. */
  public int pageCount;

  /** The bytes of the received pages. */
  public int resultBytes;

  /** The engine's cost of the attempt in milliseconds, as stated by the result. */
  public long costMs;

  /** The memory that the attempt took at the engine, in MB, as stated by the result. */
  public double memoryMb;

  /** The latest load report received with a response to the attempt; null without one. */
  public LoadReport loadReport;

  private AttemptProgress progress = AttemptProgress.NOT_WRITTEN;
  private WriteFuture requestWrite;

  /**
   * Creates an attempt that starts now.
   *
   * @param forwardedAtNanos the current time, in nanoseconds on the event loop's clock
   * @param deadlineNanos when the attempt times out, on the same clock
   */
  public EngineAttempt(
      ClientRequest request, int number, String engine, long forwardedAtNanos, long deadlineNanos) {
    this.request = request;
    this.number = number;
    this.engine = engine;
    this.forwardedAtNanos = forwardedAtNanos;
    this.deadlineNanos = deadlineNanos;
  }

  /** Records that the request is about to be written to the connection. */
  public void writeStarted() {
    progress = AttemptProgress.PARTLY_WRITTEN;
  }

  /** Records the future that completes when the request is written. */
  public void setRequestWrite(WriteFuture write) {
    requestWrite = write;
  }

  /** Records that the engine has responded, which implies that it received the whole request. */
  public void responseReceived() {
    if (progress == AttemptProgress.PARTLY_WRITTEN) {
      progress = AttemptProgress.SENT;
    }
  }

  /** Records that the first page of the result was received. */
  public void resultStarted(int pageCount, long costMs, double memoryMb) {
    progress = AttemptProgress.RECEIVING_RESULT;
    this.pageCount = pageCount;
    this.costMs = costMs;
    this.memoryMb = memoryMb;
  }

  /** Returns whether the request is completely written. */
  public boolean isRequestWritten() {
    return requestWrite.isWritten();
  }

  /** Returns whether the request has been handed to an established connection. */
  public boolean isWriteStarted() {
    return progress != AttemptProgress.NOT_WRITTEN;
  }

  /** Returns the progress of the attempt, updated from the state of its write. */
  public AttemptProgress progress() {
    if (progress == AttemptProgress.PARTLY_WRITTEN
        && requestWrite != null
        && requestWrite.isWritten()) {
      progress = AttemptProgress.SENT;
    }
    return progress;
  }
}
