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
    assertTrue(LocalFailures.isLocal(new SocketException("Too many open files")));
    assertTrue(LocalFailures.isLocal(new BindException("Cannot assign requested address")));
    assertTrue(LocalFailures.isLocal(new IOException("Cannot allocate memory")));
    assertFalse(LocalFailures.isLocal(new ConnectException("Connection refused")));
    assertFalse(LocalFailures.isLocal(new NoRouteToHostException("No route to host")));
    assertFalse(LocalFailures.isLocal(new SocketException("Connection reset")));
    assertFalse(LocalFailures.isLocal(null));
  }

  @Test
  void closedConnectionIsNotTemporary() {
    assertTrue(LocalFailures.isTemporary(new IOException("No buffer space available")));
    assertFalse(LocalFailures.isTemporary(new IOException("Connection reset by peer")));
    assertFalse(LocalFailures.isTemporary(new IOException("Broken pipe")));
    assertFalse(LocalFailures.isTemporary(new IOException((String) null)));
  }
}
