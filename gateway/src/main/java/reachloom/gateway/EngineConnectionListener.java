package reachloom.gateway;

import reachloom.gateway.state.EngineConnection;
import reachloom.gateway.wire.EngineResponse;

/** Is told what becomes of the connections of a pool; called on the event loop's thread. */
interface EngineConnectionListener {
  /** A connection has been established: what waited for it can be written. */
  void onConnected(EngineConnection connection);

  /**
   * The endpoint list has changed for the engine of a connection.
   *
   * @param acceptsAttempts whether the engine may be sent new attempts
   */
  void onEndpointChanged(EngineConnection connection, boolean acceptsAttempts);

  /** The engine has sent a response. */
  void onResponse(EngineConnection connection, EngineResponse response);

  /**
   * A connection is closed: what is still open on it has to be ended.
   *
   * @param lost whether the transport has ended by itself; otherwise what was handed to it is still
   *     written
   */
  void onClosed(EngineConnection connection, boolean lost);
}
