package reachloom.gateway;

import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.wire.EngineResponse;

/** Receives the events of a pool's connections; called on the event loop's thread. */
interface EngineConnectionListener {
  /** A connection has been established: commands that waited for it can be written. */
  void onConnected(EngineConnection connection);

  /**
   * The endpoint list has changed for the engine of a connection.
   *
   * @param acceptsAttempts whether the engine may be sent new attempts
   */
  void onEndpointChanged(EngineConnection connection, boolean acceptsAttempts);

  /** A response of the engine was received. */
  void onResponse(EngineConnection connection, EngineResponse response);

  /**
   * A connection is closed: the attempts and health checks open on it have to be ended.
   *
   * @param lost whether the transport was lost; otherwise the gateway closes the connection, and
   *     pending writes are still sent
   */
  void onClosed(EngineConnection connection, boolean lost);
}
