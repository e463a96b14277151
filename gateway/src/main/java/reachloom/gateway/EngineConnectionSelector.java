package reachloom.gateway;

import java.util.List;
import java.util.Optional;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.EngineConnection;

/**
 * Chooses the connection to an engine on which an attempt or a health check is sent.
 *
 * <p>Confined to the event loop's thread.
 */
final class EngineConnectionSelector {
  private final int maxAttemptsPerConnection;

  EngineConnectionSelector(int maxAttemptsPerConnection) {
    this.maxAttemptsPerConnection = maxAttemptsPerConnection;
  }

  /**
   * Returns the best connection with capacity for one more attempt. Connections of earlier attempts
   * for the same request are excluded: a late response to an earlier attempt would be taken for a
   * response to this one.
   *
   * @param previousAttempts the attempts for the same request so far; empty for a health check
   */
  Optional<EngineConnection> select(
      List<EngineConnection> connections, List<EngineAttempt> previousAttempts) {
    EngineConnection best = null;
    for (EngineConnection connection : connections) {
      if (isAvailable(connection, previousAttempts)
          && (best == null || isPreferred(connection, best))) {
        best = connection;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isAvailable(EngineConnection connection, List<EngineAttempt> previousAttempts) {
    return connection.attemptCount() < maxAttemptsPerConnection
        && !connection.isClosing()
        && previousAttempts.stream().noneMatch(attempt -> attempt.connection == connection);
  }

  /** Prefers responsive connections, then established ones, then the one with fewest attempts. */
  private static boolean isPreferred(EngineConnection connection, EngineConnection other) {
    if (connection.isUnresponsive() != other.isUnresponsive()) {
      return !connection.isUnresponsive();
    }
    if (connection.isConnected() != other.isConnected()) {
      return connection.isConnected();
    }
    return connection.attemptCount() < other.attemptCount();
  }
}
