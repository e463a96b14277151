package reachloom.gateway;

import java.util.List;
import reachloom.config.EngineMember;
import reachloom.scheduler.api.AttemptOutcome;

/** Hears, on the loop, what a gateway learns of its engines. */
public interface EngineOutcomeListener {
  /** News of the list of engines; {@code whole} means that those not named are gone. */
  void onEndpoints(boolean whole, List<EngineMember> members);

  /** An attempt is over; {@code wanted} is false where its request was over before. */
  void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted);
}
