package reachloom.gateway.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes commands to engines: one line each, with a statement behind that of a request. */
public final class EngineCommandWriter {
  private static final int DEFAULT_PRIORITY = 1;
  private static final String LINE_END = "\r\n";

  private EngineCommandWriter() {}

  /**
   * Runs a statement.
   *
   * @param id the request's id
   * @param queryClass the name of the query's class
   * @param budgetMs what is left of the attempt's time, in milliseconds
   * @param key the idempotency key; null where the client gave none
   * @param priority the query's priority; 1 is the default and not written
   */
  public static ByteBuffer run(
      String id, String queryClass, long budgetMs, String key, int priority, Bytes statement) {
    StringBuilder head =
        new StringBuilder("ASK ")
            .append(id)
            .append(" queue=")
            .append(queryClass)
            .append(",budget=")
            .append(budgetMs);
    if (key != null) {
      head.append(",uniq=").append(key);
    }
    if (priority != DEFAULT_PRIORITY) {
      head.append(",weight=").append(priority);
    }
    head.append(' ').append(statement.length()).append(LINE_END);
    byte[] line = head.toString().getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(line.length + statement.length() + LINE_END.length())
        .put(line)
        .put(statement.array(), statement.from(), statement.length())
        .put((byte) '\r')
        .put((byte) '\n')
        .flip();
  }

  /** Cancels a request. */
  public static ByteBuffer cancel(String id) {
    return line("QUIT " + id);
  }

  /** Changes the priority of a request that is running. */
  public static ByteBuffer setPriority(String id, int priority) {
    return line("PRIO " + id + ' ' + priority);
  }

  /** Asks for a page of a result, by its place from 0. */
  public static ByteBuffer fetchPage(String id, int page) {
    return line("NEXT " + id + ' ' + page);
  }

  /** Releases a result: no more of its pages are wanted. */
  public static ByteBuffer releaseResult(String id) {
    return line("FREE " + id);
  }

  /**
   * Checks the engine's health.
   *
   * @param tag the id that the response bears
   * @param loadReport whether the engine is to report its load
   */
  public static ByteBuffer checkHealth(String tag, boolean loadReport) {
    return line((loadReport ? "INFO " : "NOOP ") + tag);
  }

  private static ByteBuffer line(String text) {
    return ByteBuffer.wrap((text + LINE_END).getBytes(StandardCharsets.UTF_8));
  }
}
