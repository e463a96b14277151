package reachloom.gateway;

import java.util.List;
import reachloom.config.EngineMember;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * Receives what a gateway observes of its engines, for example to spread it by gossip; called on
 * the event loop's thread.
 */
public interface EngineOutcomeListener {
  /**
   * The endpoint list has changed.
   *
   * @param complete whether engines that are not named here have been removed
   */
  void onEndpoints(boolean complete, List<EngineMember> members);

  /**
   * An attempt has ended.
   *
   * @param wanted false if its request had been answered, or its client had gone, before
   */
  void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted);
}
