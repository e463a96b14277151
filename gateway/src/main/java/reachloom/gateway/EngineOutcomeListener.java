package reachloom.gateway;

import java.util.List;
import reachloom.config.EngineMember;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * Is told what a gateway learns of its engines, such as by gossip that passes it on; called on the
 * event loop's thread.
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
   * @param wanted false where its request had been answered, or its client had gone, before
   */
  void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted);
}
