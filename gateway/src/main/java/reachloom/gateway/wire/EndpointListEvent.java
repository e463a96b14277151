package reachloom.gateway.wire;

import java.util.List;
import reachloom.config.EngineMember;

/**
 * An event of the change log.
 *
 * @param number the number of the event; for a heartbeat, of the last event before it
 * @param kind the meaning of {@code members}
 * @param members the engines in the event
 */
public record EndpointListEvent(long number, Kind kind, List<EngineMember> members) {
  /** The kinds of events. */
  public enum Kind {
    /** The endpoint list has not changed. */
    HEARTBEAT,
    /** The event has the complete list: engines that are not in it have been removed. */
    COMPLETE_LIST,
    /** The engines in the event have changed. */
    CHANGES
  }

  /** Whether the event reports no change. */
  public boolean isHeartbeat() {
    return kind == Kind.HEARTBEAT;
  }

  /** Whether the event has the complete list, so that engines not in it have been removed. */
  public boolean isComplete() {
    return kind == Kind.COMPLETE_LIST;
  }
}
