package reachloom.gateway;

import java.util.Optional;
import reachloom.gateway.state.EngineAttempt;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;

/** Is told what becomes of attempts and health checks; called on the event loop's thread. */
interface EngineClientListener {
  /**
   * Whether an attempt may still begin. Asked in the instant before its first byte is written: it
   * may have waited for a connection, or for one that was slow to take what was written before.
   */
  boolean mayStart(EngineAttempt attempt);

  /** An attempt has ended. */
  void onAttemptEnded(EngineAttempt attempt, AttemptOutcome outcome);

  /** The engine has reported on an attempt that is still running. */
  void onProgress(EngineAttempt attempt, ProgressKind kind, double amount);

  /**
   * A health check has ended.
   *
   * @param answered whether the engine answered that it is up
   * @param report the load report that came with the answer, if there was one
   */
  void onHealthCheck(String engine, boolean answered, Optional<LoadReport> report);
}
