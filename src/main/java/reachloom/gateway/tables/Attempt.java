package reachloom.gateway.tables;

import java.util.ArrayList;
import java.util.List;
import reachloom.Decisions.Report;
import reachloom.gateway.tables.Deadlines.Deadline;

/** One attempt of a request. */
public final class Attempt {
  public final Request request;
  public final int number;
  public final String engine;
  public final long sentAt;
  /** When it is given up. */
  public final long until;
  public Reach reach = Reach.NOT_CONNECTED;
  public Link link;
  public boolean ended;
  public Deadline timeout;
  /** The result as far as it has come, and what the engine told with it. */
  public final List<byte[]> pages = new ArrayList<>(1);
  public int pageCount;
  public int size;
  public long costMs;
  public double memoryMb;
  public Report report;

  /** An attempt that starts now. */
  public Attempt(Request request, int number, String engine, long sentAt, long until) {
    this.request = request;
    this.number = number;
    this.engine = engine;
    this.sentAt = sentAt;
    this.until = until;
  }
}
