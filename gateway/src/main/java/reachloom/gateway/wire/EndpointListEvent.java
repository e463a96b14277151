package reachloom.gateway.wire;

import java.util.List;
import reachloom.config.EngineMember;

/**
 * An event of the change log.
 *
 * @param number the number of the event; for a heartbeat, of the last event before it
 * @param kind what the engines named here mean
 * @param members the engines that it names
 */
public record EndpointListEvent(long number, Kind kind, List<EngineMember> members) {
  /** What an event says of the endpoint list. */
  public enum Kind {
    /** Nothing has changed. */
    HEARTBEAT,
    /** The list is complete: engines that are not named have been removed. */
    COMPLETE_LIST,
    /** The engines that are named have changed. */
    CHANGES
  }

  /** Whether it says only that nothing has changed. */
  public boolean isHeartbeat() {
    return kind == Kind.HEARTBEAT;
  }

  /** Whether engines that are not named have been removed. */
  public boolean isComplete() {
    return kind == Kind.COMPLETE_LIST;
  }
}
