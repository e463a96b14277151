package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import org.junit.jupiter.api.Test;

class LocalFailuresTest {
  @Test
  void distinguishesLocalFromRemoteFailures() {
    assertTrue(LocalFailures.isOfThisMachine(new SocketException("Too many open files")));
    assertTrue(LocalFailures.isOfThisMachine(new BindException("Cannot assign requested address")));
    assertTrue(LocalFailures.isOfThisMachine(new IOException("Cannot allocate memory")));
    assertFalse(LocalFailures.isOfThisMachine(new ConnectException("Connection refused")));
    assertFalse(LocalFailures.isOfThisMachine(new NoRouteToHostException("No route to host")));
    assertFalse(LocalFailures.isOfThisMachine(new SocketException("Connection reset")));
    assertFalse(LocalFailures.isOfThisMachine(null));
  }

  @Test
  void closedConnectionIsNotTemporary() {
    assertTrue(LocalFailures.isTemporary(new IOException("No buffer space available")));
    assertFalse(LocalFailures.isTemporary(new IOException("Connection reset by peer")));
    assertFalse(LocalFailures.isTemporary(new IOException("Broken pipe")));
    assertFalse(LocalFailures.isTemporary(new IOException((String) null)));
  }
}
