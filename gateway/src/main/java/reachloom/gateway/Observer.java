package reachloom.gateway;

import java.util.List;
import reachloom.config.Member;
import reachloom.scheduler.api.AttemptOutcome;

/** Hears, on the loop, what a gateway learns of its engines. */
public interface Observer {
  /** News of the list of engines; {@code whole} means that those not named are gone. */
  void engines(boolean whole, List<Member> members);

  /** An attempt is over; {@code wanted} is false where its request was over before. */
  void ended(String engine, AttemptOutcome outcome, boolean wanted);
}
