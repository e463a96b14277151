package reachloom.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import reachloom.gateway.state.EngineConnection;

/**
 * The ids of requests with an attempt that was cancelled at an engine a short time ago. A request
 * with such an id must not be forwarded to another engine yet: it could start there before the
 * cancellation has arrived, and would run twice. Limits the number of ids.
 *
 * <p>Confined to the event loop's thread.
 */
final class CancelledIds {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** More than can be cancelled within {@link #ARRIVAL_NANOS}. */
  private static final int MAX_IDS = 4_096;

  /** Within this time after it was sent, a cancellation has arrived and the engine has read it. */
  private static final long ARRIVAL_NANOS = 50 * NANOS_PER_MILLI;

  /** A cancellation on its way to an engine. */
  private static final class Cancellation {
    private static final long UNSENT = Long.MAX_VALUE;

    private final EngineConnection connection;
    private volatile long sentAtNanos = UNSENT;

    Cancellation(EngineConnection connection) {
      this.connection = connection;
    }

    boolean isSent() {
      return sentAtNanos != UNSENT;
    }

    /** Returns whether the engine has read the cancellation, or has lost its connection. */
    boolean hasArrived(long nowNanos) {
      return connection.isClosed() || isSent() && nowNanos - sentAtNanos >= ARRIVAL_NANOS;
    }
  }

  private final EventLoop loop;
  private final Map<String, Cancellation> cancellations = new LinkedHashMap<>();

  CancelledIds(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Adds the id of a request for which a cancellation was just written.
   *
   * @param connection the connection to which it was written last
   */
  void add(String id, EngineConnection connection) {
    removeArrived();
    Cancellation cancellation = new Cancellation(connection);
    cancellations.remove(id);
    cancellations.put(id, cancellation);
    connection.lastWrite().addListener(written -> cancellation.sentAtNanos = loop.now());
  }

  private void removeArrived() {
    long now = loop.now();
    Iterator<Cancellation> oldestFirst = cancellations.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean arrived = oldestFirst.next().hasArrived(now);
      if (!arrived && cancellations.size() < MAX_IDS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /**
   * Returns when to ask again whether a request with an id may be forwarded; empty if it may now.
   */
  OptionalLong blockedUntilNanos(String id) {
    Cancellation cancellation = cancellations.get(id);
    long now = loop.now();
    if (cancellation == null || cancellation.hasArrived(now)) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(
        (cancellation.isSent() ? cancellation.sentAtNanos : now) + ARRIVAL_NANOS);
  }

  /** Returns the number of ids. */
  int size() {
    return cancellations.size();
  }
}
