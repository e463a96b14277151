package reachloom.gateway;

import java.util.List;
import java.util.Optional;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.state.EngineConnection;

/**
 * Chooses the connection to an engine on which an attempt or a health check is sent. Responses on a
 * connection are assigned by request id: one to an earlier attempt with the same id would be taken
 * for a response to this one.
 *
 * <p>Confined to the event loop's thread.
 */
final class EngineConnectionSelector {
  /**
   * What a connection is wanted for.
   *
   * @param requestId the id of the request, or empty for a health check
   * @param previousAttempts the attempts for the same request so far
   */
  record Use(String requestId, List<EngineAttempt> previousAttempts) {
    static final Use HEALTH_CHECK = new Use("", List.of());
  }

  private final int maxAttemptsPerConnection;

  EngineConnectionSelector(int maxAttemptsPerConnection) {
    this.maxAttemptsPerConnection = maxAttemptsPerConnection;
  }

  /**
   * Returns the best connection with capacity for one more attempt, which none of the previous
   * attempts has used.
   */
  Optional<EngineConnection> select(List<EngineConnection> connections, Use use) {
    EngineConnection best = null;
    for (EngineConnection connection : connections) {
      if (isAvailable(connection, use) && (best == null || isPreferred(connection, best, use))) {
        best = connection;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns whether a connection is used only if no other one is available: it is unresponsive, or
   * an attempt for an earlier request with the same id was withdrawn on it.
   */
  static boolean isAvoided(EngineConnection connection, Use use) {
    return connection.isUnresponsive() || connection.mayRespondToWithdrawn(use.requestId());
  }

  private boolean isAvailable(EngineConnection connection, Use use) {
    return connection.attemptCount() < maxAttemptsPerConnection
        && !connection.isClosing()
        && use.previousAttempts().stream().noneMatch(attempt -> attempt.connection == connection);
  }

  /** Prefers those not avoided, then established ones, then the one with fewest attempts. */
  private static boolean isPreferred(EngineConnection connection, EngineConnection other, Use use) {
    if (isAvoided(connection, use) != isAvoided(other, use)) {
      return !isAvoided(connection, use);
    }
    if (connection.isConnected() != other.isConnected()) {
      return connection.isConnected();
    }
    return connection.attemptCount() < other.attemptCount();
  }
}
