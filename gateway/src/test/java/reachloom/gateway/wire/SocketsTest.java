package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Test;
import reachloom.pause.PauseDetector;
import reachloom.time.MonotonicClock;

/** The limit of client connections that {@link Sockets} holds, and what counts as a pause. */
class SocketsTest {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final long LONG_TASK_MS = 1_500;

  /** What a busy machine may take from the threads of a process without suspending it. */
  private static final long MAX_DELAY_MS = 700;

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  /** The time of requests that came in a long task of the event loop was cut by its length. */
  @Test
  void longTaskOfEventLoopIsNoPauseOfProcess() throws Exception {
    MonotonicClock clock = new MonotonicClock();
    PauseDetector pauses = new PauseDetector();
    Sockets sockets = new Sockets(4, pauses);
    sockets.listen(freeAddress(), new IoHandlerAdapter());
    try {
      pauses.report(clock.now()); // the event loop's last report before the task
      Thread.sleep(LONG_TASK_MS);
      long now = clock.now();
      long earliest = pauses.earliestArrival(now - 1, now);
      long earlyMs = (now - earliest) / NANOS_PER_MILLISECOND;
      assertTrue(earlyMs < MAX_DELAY_MS, "counts as arrived " + earlyMs + " ms ago");
    } finally {
      sockets.unbind();
    }
  }

  @Test
  void acceptsNoMoreClientsThanLimit() throws Exception {
    InetSocketAddress address = freeAddress();
    LinkedBlockingQueue<IoSession> opened = new LinkedBlockingQueue<>();
    Sockets sockets = new Sockets(4, new PauseDetector());
    sockets.listen(
        address,
        new IoHandlerAdapter() {
          @Override
          public void sessionOpened(IoSession session) {
            opened.add(session);
          }
        });
    List<Socket> clients = new ArrayList<>();
    try {
      for (int i = 0; i < 12; i++) {
        clients.add(new Socket(address.getAddress(), address.getPort()));
      }
      ConcurrentLinkedQueue<IoSession> held = new ConcurrentLinkedQueue<>();
      for (int i = 0; i < 4; i++) {
        held.add(opened.poll(10, TimeUnit.SECONDS));
      }
      assertEquals(null, opened.poll(300, TimeUnit.MILLISECONDS), "the fifth connection waits");
      for (int i = 0; i < 8; i++) { // each closed connection admits another one
        held.poll().closeNow();
        held.add(opened.poll(10, TimeUnit.SECONDS));
      }
    } finally {
      sockets.unbind();
      for (Socket client : clients) {
        client.close();
      }
    }
  }
}
