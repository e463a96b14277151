package reachloom.gateway;

import java.util.Optional;
import reachloom.gateway.state.EngineAttempt;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;

/**
 * Receives the events of attempts and health checks from {@link EngineClient}; called on the event
 * loop's thread.
 */
interface EngineClientListener {
  /**
   * Returns whether an attempt may still start. Called immediately before its first byte is
   * written: it may have waited for the connection to be established, or for earlier writes.
   */
  boolean mayStart(EngineAttempt attempt);

  /**
   * Returns whether an attempt has to wait until the input of its client is read, since the client
   * may be gone; {@link EngineClient#onClientInputRead} follows.
   */
  boolean awaitsClientInput(EngineAttempt attempt);

  /** An attempt has ended. */
  void onAttemptEnded(EngineAttempt attempt, AttemptOutcome outcome);

  /** The engine has reported the progress of a running attempt. */
  void onProgress(EngineAttempt attempt, ProgressKind kind, double amount);

  /**
   * A health check has ended.
   *
   * @param up whether the engine responded that it is up
   * @param report the load report of the response, if it had one
   */
  void onHealthCheck(String engine, boolean up, Optional<LoadReport> report);
}
