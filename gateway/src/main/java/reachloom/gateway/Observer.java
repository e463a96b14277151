package reachloom.gateway;

import java.util.List;
import reachloom.Decisions.Outcome;
import reachloom.config.Member;

/** Hears, on the loop, what a gateway learns of its engines. */
public interface Observer {
  /** News of the list of engines; {@code whole} means that those not named are gone. */
  void engines(boolean whole, List<Member> members);

  /** An attempt is over; {@code wanted} is false where its request was over before. */
  void ended(String engine, Outcome outcome, boolean wanted);
}
