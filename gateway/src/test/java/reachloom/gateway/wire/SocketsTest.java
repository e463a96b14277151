package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

/** The limit of client connections that {@link Sockets} holds. */
class SocketsTest {
  @Test
  void acceptsNoMoreClientsThanLimit() throws Exception {
    InetSocketAddress address;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = (InetSocketAddress) free.getLocalSocketAddress();
    }
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
