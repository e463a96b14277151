package reachloom.scheduler;

import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerSettings;

/** Cancels attempts if the settings allow it and another attempt or an answer can follow. */
final class AttemptCanceller {
  private final SchedulerActions actions;
  private final boolean mayCancel;

  /** Creates a canceller within the limits of the settings. */
  AttemptCanceller(SchedulerActions actions, SchedulerSettings settings) {
    this.actions = actions;
    this.mayCancel = settings.limits().cancel();
  }

  /** Cancels an attempt that has not ended, if its query is finished or may be retried. */
  void cancel(AttemptRecord attempt) {
    QueryRecord query = attempt.query;
    boolean isFree =
        query.isFinished()
            || !query.isStreaming() && query.queryClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
    if (isFree && !attempt.isEnded() && !attempt.isCancelled() && mayCancel) {
      attempt.cancel();
      actions.cancelAttempt(query.query.id(), attempt.number);
    }
  }
}
