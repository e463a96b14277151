package reachloom.gateway.wire;

import java.util.List;
import reachloom.config.EngineMember;

/** A message of the change log; {@code whole} means that engines not named here are gone. */
public record EndpointListEvent(
    long number, boolean nothing, boolean whole, List<EngineMember> members) {}
