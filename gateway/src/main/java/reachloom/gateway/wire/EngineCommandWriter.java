package reachloom.gateway.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes commands to engines. */
public final class EngineCommandWriter {
  private static final int USUAL_PRIORITY = 1;

  private EngineCommandWriter() {}

  /** Runs a statement; the key is null where the client gave none. */
  public static ByteBuffer ask(
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
    if (priority != USUAL_PRIORITY) {
      head.append(",weight=").append(priority);
    }
    byte[] line =
        head.append(' ')
            .append(statement.length())
            .append("\r\n")
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(line.length + statement.length() + 2)
        .put(line)
        .put(statement.array(), statement.from(), statement.length())
        .put((byte) '\r')
        .put((byte) '\n')
        .flip();
  }

  /** Gives a request up. */
  public static ByteBuffer quit(String id) {
    return line("QUIT " + id);
  }

  /** Sets the priority of a request that is out. */
  public static ByteBuffer priority(String id, int priority) {
    return line("PRIO " + id + ' ' + priority);
  }

  /** Asks for a page of the result. */
  public static ByteBuffer next(String id, int page) {
    return line("NEXT " + id + ' ' + page);
  }

  /** Says that no more pages are wanted. */
  public static ByteBuffer free(String id) {
    return line("FREE " + id);
  }

  /** A probe, which asks for a load report or only for a sign of life. */
  public static ByteBuffer probe(String tag, boolean report) {
    return line((report ? "INFO " : "NOOP ") + tag);
  }

  private static ByteBuffer line(String text) {
    return ByteBuffer.wrap((text + "\r\n").getBytes(StandardCharsets.UTF_8));
  }
}
