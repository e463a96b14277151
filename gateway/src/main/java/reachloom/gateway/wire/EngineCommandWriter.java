package reachloom.gateway.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes commands to engines: one line each; a statement follows the line of a request. */
public final class EngineCommandWriter {
  private static final int DEFAULT_PRIORITY = 1;
  private static final String LINE_END = "\r\n";

  private EngineCommandWriter() {}

  /**
   * Encodes the command to run a statement.
   *
   * @param id the request's id
   * @param queryClass the name of the query's class
   * @param budgetMs the remaining time of the attempt, in milliseconds
   * @param key the idempotency key; null if the client gave none
   * @param priority the query's priority; the default, 1, is not written
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

  /** Encodes the command to cancel a request. */
  public static ByteBuffer cancel(String id) {
    return line("QUIT " + id);
  }

  /** Encodes the command to change the priority of a running request. */
  public static ByteBuffer setPriority(String id, int priority) {
    return line("PRIO " + id + ' ' + priority);
  }

  /** Encodes the command to fetch a page of a result; pages are numbered from 0. */
  public static ByteBuffer fetchPage(String id, int page) {
    return line("NEXT " + id + ' ' + page);
  }

  /** Encodes the command to release a result, of which no more pages will be fetched. */
  public static ByteBuffer releaseResult(String id) {
    return line("FREE " + id);
  }

  /**
   * Encodes the command to check an engine's health.
   *
   * @param tag the id that the response repeats
   * @param loadReport whether the engine is to report its load
   */
  public static ByteBuffer checkHealth(String tag, boolean loadReport) {
    return line((loadReport ? "INFO " : "NOOP ") + tag);
  }

  private static ByteBuffer line(String text) {
    return ByteBuffer.wrap((text + LINE_END).getBytes(StandardCharsets.UTF_8));
  }
}
