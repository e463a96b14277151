package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.junit.jupiter.api.Test;
import reachloom.gateway.wire.Sockets;
import reachloom.pause.PauseDetector;

/** Guards against a connect that succeeds just as it is abandoned and then blocks later ones. */
class EngineConnectTest {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  @Test
  void abandonedConnectDoesNotBlockLaterConnects() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    Sockets sockets = new Sockets(4, new PauseDetector());
    try (PausedPeer first = new PausedPeer();
        PausedPeer late = new PausedPeer();
        PausedPeer next = new PausedPeer()) {
      sockets
          .connector(
              new IoHandlerAdapter() {
                @Override
                public void sessionOpened(IoSession session) throws InterruptedException {
                  begun.countDown();
                  resume.await(); // the thread that creates sessions is busy
                }
              },
              TIMEOUT_NANOS)
          .connect(first.address());
      assertTrue(begun.await(10, TimeUnit.SECONDS));

      NioSocketConnector connector = sockets.connector(new IoHandlerAdapter(), TIMEOUT_NANOS);
      late.blockConnects();
      ConnectFuture abandoned = connector.connect(late.address());
      late.unblockConnects();
      late.accept();
      awaitNoConnects(); // it has succeeded, and its session is not created yet
      Sockets.giveUp(abandoned);
      resume.countDown();

      next.blockConnects();
      ConnectFuture second = connector.connect(next.address());
      next.unblockConnects();
      assertTrue(
          second.await(8, TimeUnit.SECONDS) && second.isConnected(), "the next connect succeeds");
      assertTrue(
          abandoned.await(8, TimeUnit.SECONDS)
              && (abandoned.isCanceled()
                  || abandoned.getSession().getCloseFuture().await(8, TimeUnit.SECONDS)),
          "the abandoned connection is closed");
      second.getSession().closeNow();
    } finally {
      resume.countDown();
    }
  }

  /** Waits until no connect is pending: the library's threads for connects end then. */
  private static void awaitNoConnects() throws InterruptedException {
    long until = System.nanoTime() + TIMEOUT_NANOS;
    while (Thread.getAllStackTraces().keySet().stream()
        .anyMatch(t -> t.getName().startsWith(NioSocketConnector.class.getSimpleName()))) {
      assertTrue(System.nanoTime() < until, "a connect is still pending");
      Thread.sleep(20);
    }
  }
}
