package reachloom.gateway;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import reachloom.gateway.wire.ConnectionInput;

/**
 * The responses that were written to a connection and are not sent completely. When the connection
 * is closed, none is left: the transport does not report the end of every write.
 *
 * <p>Thread-safe.
 */
final class UnsentResponses {
  private static final AttributeKey UNSENT = new AttributeKey(UnsentResponses.class, "unsent");

  /** The unsent responses of all connections. */
  static final class Totals {
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicInteger count = new AtomicInteger();

    /** Returns the bytes of the responses, with their overhead. */
    long bytes() {
      return bytes.get();
    }

    /** Returns the number of responses. */
    int count() {
      return count.get();
    }
  }

  private final Totals totals;
  private final ConnectionInput input;
  private long bytes;
  private int count;

  /** The bytes with which the connection is charged as its unfinished work. */
  private long workBytes;

  private boolean closed;

  private UnsentResponses(Totals totals, ConnectionInput input) {
    this.totals = totals;
    this.input = input;
  }

  /** Returns the unsent responses of a connection; to be called on the event loop's thread. */
  static UnsentResponses of(IoSession session, Totals totals) {
    if (session.getAttribute(UNSENT) instanceof UnsentResponses unsent) {
      return unsent;
    }
    UnsentResponses unsent = new UnsentResponses(totals, ConnectionInput.of(session));
    session.setAttribute(UNSENT, unsent);
    session.getCloseFuture().addListener(future -> unsent.close());
    return unsent;
  }

  /**
   * Adds a response that is about to be written.
   *
   * @param responseBytes its bytes with their overhead
   * @param isWork whether the connection is charged with it
   */
  synchronized void add(int responseBytes, boolean isWork) {
    if (closed) {
      return;
    }
    change(responseBytes, 1);
    if (isWork) {
      workBytes += responseBytes;
      input.charge(responseBytes);
    }
  }

  /** Removes a response that was added, once it is sent or its write has failed. */
  synchronized void remove(int responseBytes, boolean isWork) {
    if (closed) {
      return;
    }
    change(-responseBytes, -1);
    if (isWork) {
      workBytes -= responseBytes;
      input.release(responseBytes);
    }
  }

  private synchronized void close() {
    closed = true;
    change(-bytes, -count);
    input.release(workBytes);
    workBytes = 0;
  }

  private void change(long byBytes, int byCount) {
    bytes += byBytes;
    count += byCount;
    totals.bytes.addAndGet(byBytes);
    totals.count.addAndGet(byCount);
  }

  /** Returns the bytes of the responses, with their overhead. */
  synchronized long bytes() {
    return bytes;
  }
}
