package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerEvents;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * Passes events on to a scheduler and catches its exceptions: an exception is logged and affects
 * only the subject of the event, not the process. Confined to the event loop's thread.
 */
final class GuardedScheduler implements SchedulerEvents {
  private static final Logger LOG = GatewayService.LOG;

  private final SchedulerEvents scheduler;

  GuardedScheduler(SchedulerEvents scheduler) {
    this.scheduler = scheduler;
  }

  @Override
  public void onStart(long now, long seed, SchedulerSettings settings) {
    guard(() -> scheduler.onStart(now, seed, settings));
  }

  @Override
  public void onEndpoints(long now, boolean complete, List<EngineEndpoint> entries) {
    guard(() -> scheduler.onEndpoints(now, complete, entries));
  }

  @Override
  public void onEndpointsUnavailable(long now) {
    guard(() -> scheduler.onEndpointsUnavailable(now));
  }

  @Override
  public void onQuery(long now, Query query) {
    guard(() -> scheduler.onQuery(now, query));
  }

  @Override
  public void onStreaming(long now, String query, int attempt) {
    guard(() -> scheduler.onStreaming(now, query, attempt));
  }

  /**
   * {@inheritDoc} Returns false if the scheduler fails: an attempt that is not approved never
   * starts.
   */
  @Override
  public boolean mayStart(long now, String query, int attempt) {
    try {
      return scheduler.mayStart(now, query, attempt);
    } catch (RuntimeException e) {
      logFailure(e);
      return false;
    }
  }

  @Override
  public void onProgress(long now, ProgressReport report) {
    guard(() -> scheduler.onProgress(now, report));
  }

  @Override
  public void onAttemptEnded(long now, AttemptResult result) {
    guard(() -> scheduler.onAttemptEnded(now, result));
  }

  @Override
  public void onClientGone(long now, String query) {
    guard(() -> scheduler.onClientGone(now, query));
  }

  @Override
  public void onTimer(long now, long token) {
    guard(() -> scheduler.onTimer(now, token));
  }

  @Override
  public void onPeerReport(long now, String engine, double level) {
    guard(() -> scheduler.onPeerReport(now, engine, level));
  }

  @Override
  public void onHealthCheck(long now, String engine, boolean answered, LoadReport report) {
    guard(() -> scheduler.onHealthCheck(now, engine, answered, report));
  }

  private static void guard(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      logFailure(e);
    }
  }

  private static void logFailure(RuntimeException e) {
    LOG.log(Level.ERROR, "the scheduler threw an exception while handling an event", e);
  }
}
