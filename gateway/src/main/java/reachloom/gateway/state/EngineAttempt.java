package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.future.WriteFuture;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.scheduler.api.LoadReport;

/** One attempt of a request. */
public final class EngineAttempt {
  public final ClientRequest request;
  public final int number;
  public final String engine;
  public final long sentAt;

  /** When it is given up. */
  public final long until;

  /** How far it has come as far as the loop knows; {@link #reach()} asks the connection, too. */
  public AttemptProgress reach = AttemptProgress.NOT_CONNECTED;

  /** The write of its request, which tells whether it is whole on the wire. */
  public WriteFuture written;

  public EngineConnection link;
  public boolean ended;
  public Deadline timeout;

  /** The result as far as it has come, and what the engine told with it. */
  public final List<byte[]> pages = new ArrayList<>(1);

  public int pageCount;
  public int size;
  public long costMs;
  public double memoryMb;
  public LoadReport report;

  /** An attempt that starts now. */
  public EngineAttempt(ClientRequest request, int number, String engine, long sentAt, long until) {
    this.request = request;
    this.number = number;
    this.engine = engine;
    this.sentAt = sentAt;
    this.until = until;
  }

  /** How far it has come. */
  public AttemptProgress reach() {
    if (reach == AttemptProgress.NOT_WHOLE && written != null && written.isWritten()) {
      reach = AttemptProgress.OUT;
    }
    return reach;
  }
}
