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

/** Dials that come up late, in the very moment in which they are given up. */
class EngineConnectTest {
  private static final long LONG = TimeUnit.SECONDS.toNanos(10);

  @Test
  void aDialGivenUpWhileItComesUpLeavesTheNextOnesAlone() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    Sockets sockets = new Sockets(4);
    try (PausedPeer any = new PausedPeer();
        PausedPeer late = new PausedPeer();
        PausedPeer next = new PausedPeer()) {
      sockets
          .connector(
              new IoHandlerAdapter() {
                @Override
                public void sessionOpened(IoSession session) throws InterruptedException {
                  begun.countDown();
                  goOn.await(); // the thread that makes sessions is busy
                }
              },
              LONG)
          .connect(any.address());
      assertTrue(begun.await(10, TimeUnit.SECONDS));

      NioSocketConnector connector = sockets.connector(new IoHandlerAdapter(), LONG);
      late.holdDials();
      ConnectFuture first = connector.connect(late.address());
      late.releaseDials();
      late.accept();
      awaitNoDials(); // it is up, and its session is still to be made
      Sockets.giveUp(first);
      goOn.countDown();

      next.holdDials();
      ConnectFuture second = connector.connect(next.address());
      next.releaseDials();
      assertTrue(
          second.await(8, TimeUnit.SECONDS) && second.isConnected(), "the next dial comes up");
      assertTrue(
          first.await(8, TimeUnit.SECONDS)
              && (first.isCanceled()
                  || first.getSession().getCloseFuture().await(8, TimeUnit.SECONDS)),
          "the one given up is closed");
      second.getSession().closeNow();
    } finally {
      goOn.countDown();
    }
  }

  /** The library's threads that wait for dials end once there are none. */
  private static void awaitNoDials() throws InterruptedException {
    long until = System.nanoTime() + LONG;
    while (Thread.getAllStackTraces().keySet().stream()
        .anyMatch(t -> t.getName().startsWith(NioSocketConnector.class.getSimpleName()))) {
      assertTrue(System.nanoTime() < until, "a dial is still on its way");
      Thread.sleep(20);
    }
  }
}
