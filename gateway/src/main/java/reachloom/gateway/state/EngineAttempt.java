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
  /** The request that it is an attempt for. */
  public final ClientRequest request;

  /** Its place among the attempts for the request, from 0. */
  public final int number;

  /** The name of the engine. */
  public final String engine;

  /** When it was forwarded, in the event loop's nanoseconds. */
  public final long sentAtNanos;

  /** When it times out, in the event loop's nanoseconds. */
  public final long deadlineNanos;

  /** The connection that carries it; null until one is found. */
  public EngineConnection connection;

  /** Whether it has ended; nothing more is to be done for it then. */
  public boolean ended;

  /** The timer that ends it at its deadline; null where it never began. */
  public Deadline timeout;

  /** The pages of the result that have come, in their order. */
  public final List<byte[]> pages = new ArrayList<>(1);

  /** How many pages the result has, as the first one told; 0 before it. */
  public int pageCount;

  /** Bytes of the pages that have come. */
  public int resultBytes;

  /** The work that the engine did for it, in milliseconds, as the result told. */
  public long costMs;

  /** The memory that it took at the engine, in MB, as the result told. */
  public double memoryMb;

  /** The latest load report that came with an answer to it; null without one. */
  public LoadReport loadReport;

  private AttemptProgress progress = AttemptProgress.NOT_CONNECTED;
  private WriteFuture requestWrite;

  /**
   * An attempt that starts now.
   *
   * @param sentAtNanos the present time, in the event loop's nanoseconds
   * @param deadlineNanos when it times out, on the same clock
   */
  public EngineAttempt(
      ClientRequest request, int number, String engine, long sentAtNanos, long deadlineNanos) {
    this.request = request;
    this.number = number;
    this.engine = engine;
    this.sentAtNanos = sentAtNanos;
    this.deadlineNanos = deadlineNanos;
  }

  /** Records that its request is about to be handed to the connection. */
  public void writeStarted() {
    progress = AttemptProgress.PARTLY_WRITTEN;
  }

  /** Records the write of its request, which tells when it is complete. */
  public void setRequestWrite(WriteFuture write) {
    requestWrite = write;
  }

  /** Records that the engine has answered: only what has come completely is answered. */
  public void answered() {
    if (progress == AttemptProgress.PARTLY_WRITTEN) {
      progress = AttemptProgress.SENT;
    }
  }

  /** Records that the first page of the result has come. */
  public void resultStarted(int pageCount, long costMs, double memoryMb) {
    progress = AttemptProgress.RECEIVING_RESULT;
    this.pageCount = pageCount;
    this.costMs = costMs;
    this.memoryMb = memoryMb;
  }

  /** Whether its request is completely written. */
  public boolean isRequestWritten() {
    return requestWrite.isWritten();
  }

  /** Whether its request has been handed to a connection. */
  public boolean isConnected() {
    return progress != AttemptProgress.NOT_CONNECTED;
  }

  /** How far it has come, as the connection knows by now. */
  public AttemptProgress progress() {
    if (progress == AttemptProgress.PARTLY_WRITTEN
        && requestWrite != null
        && requestWrite.isWritten()) {
      progress = AttemptProgress.SENT;
    }
    return progress;
  }
}
